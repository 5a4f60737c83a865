"""Starts, stops, kills and pauses the processes of a scenario."""

import json
import random
import select
import signal
import socket
import subprocess
import sys
import time

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
KILL_TIMEOUT_S = 10.0
LISTENING_PORTS = range(12000, 32000)
_POLL_S = 0.02
_STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


class StartError(Exception):
    """A process ended or stayed silent instead of being ready."""


def free_addresses(count):
    """Return addresses on the loopback interface whose ports are free.

    The ports lie below those that the system gives to outgoing
    connections, so that none of these takes one before it is listened on.

    Parameters
    ----------
    count : int
        How many.

    Returns
    -------
    list of str
        Different ``host:port``.
    """
    chooser = random.SystemRandom()
    ports = set()
    while len(ports) < count:
        port = chooser.choice(LISTENING_PORTS)
        if port not in ports and _is_free(port):
            ports.add(port)
    return [f'127.0.0.1:{port}' for port in ports]


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


class Process:
    """A Python module that runs as a process.

    Parameters
    ----------
    name : str
        Name of its log file and in errors.
    module : str
        Module to run.
    arguments : list of str
        Its arguments.
    folder : pathlib.Path
        Folder of the log file, which takes its standard error.

    Attributes
    ----------
    ready_line : dict
        What it printed when it was ready; empty before.
    """

    def __init__(self, name, module, arguments, folder):
        self.name = name
        self.ready_line = {}
        self.log_path = folder / f'{name}.log'
        with self.log_path.open('ab') as log:
            # A session of its own keeps a terminal's Ctrl-C from it: the
            # parent stops it in order.
            self._popen = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=log,
                start_new_session=True,
            )

    @property
    def pid(self):
        """Process id."""
        return self._popen.pid

    @property
    def exit_status(self):
        """Exit status; None while it runs."""
        return self._popen.poll()

    def wait_ready(self, timeout_s=READY_TIMEOUT_S):
        """Wait for the line that says that it is ready.

        Parameters
        ----------
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        dict
            The line's fields.

        Raises
        ------
        StartError
            If it ended or the time ran out.
        """
        readable, _, _ = select.select([self._popen.stdout], [], [], timeout_s)
        line = self._popen.stdout.readline() if readable else b''
        if not line:
            log = self.log_path.read_text()[-2000:]
            raise StartError(f'{self.name}: not ready\n{log}')
        self.ready_line = json.loads(line)
        return self.ready_line

    def output(self, timeout_s):
        """Wait for the end and return what else it printed.

        Parameters
        ----------
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        str
            Standard output.
        """
        printed, _ = self._popen.communicate(timeout=timeout_s)
        return printed.decode()

    def terminate(self):
        """Ask it to stop."""
        self.send(signal.SIGTERM)

    def kill(self):
        """End it at once, and wait for that."""
        self.send(signal.SIGKILL)
        self.wait(KILL_TIMEOUT_S)

    def pause(self):
        """Suspend it."""
        self.send(signal.SIGSTOP)

    def resume(self):
        """Let it go on after `pause`."""
        self.send(signal.SIGCONT)

    def send(self, number):
        """Send it a signal, if it still runs."""
        # Popen sends nothing once the process was waited for, so its id is
        # never used after it may belong to another process.
        self._popen.send_signal(number)

    def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Wait for its end.

        Parameters
        ----------
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        int or None
            Exit status; None if the time ran out.
        """
        give_up_at = time.monotonic() + timeout_s
        while self.exit_status is None and time.monotonic() < give_up_at:
            time.sleep(_POLL_S)
        return self.exit_status


class ProcessGroup:
    """The processes of a scenario; a context manager.

    All that still run when the context is left are killed, also when it is
    left because of SIGINT or SIGTERM.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the log files.
    """

    def __init__(self, folder):
        self.folder = folder
        self.processes = []
        self._previous_handlers = {}
        self._holds_signals = False
        self._held_signal = None

    def __enter__(self):
        for number in _STOP_SIGNALS:
            self._previous_handlers[number] = signal.signal(
                number, self._on_signal
            )
        return self

    def __exit__(self, *error):
        self._holds_signals = True
        self.kill_all()
        for number, handler in self._previous_handlers.items():
            signal.signal(number, handler)

    def start(self, name, module, arguments):
        """Start a process without waiting until it is ready.

        Parameters
        ----------
        name : str
            Name of the process.
        module : str
            Module to run.
        arguments : iterable of str
            Its arguments.

        Returns
        -------
        Process
            The process.
        """
        # A signal between the start and the note of it would leave the
        # process behind.
        self._holds_signals = True
        process = Process(name, module, list(arguments), self.folder)
        self.processes.append(process)
        self._holds_signals = False
        if self._held_signal is not None:
            raise SystemExit(128 + self._held_signal)
        return process

    def stop(self, processes, timeout_s=STOP_TIMEOUT_S):
        """Stop processes gracefully, all at once.

        Parameters
        ----------
        processes : iterable of Process
            Which.
        timeout_s : float
            Longest wait for all of them, in seconds.

        Returns
        -------
        list of str
            Names of those that did not end with status 0 in time.
        """
        processes = list(processes)
        for process in processes:
            process.terminate()
        give_up_at = time.monotonic() + timeout_s
        return [
            process.name
            for process in processes
            if process.wait(max(0.0, give_up_at - time.monotonic())) != 0
        ]

    def kill_all(self):
        """Kill all that still run."""
        for process in self.processes:
            if process.exit_status is None:
                process.send(signal.SIGKILL)
        for process in self.processes:
            process.wait(KILL_TIMEOUT_S)

    def _on_signal(self, number, frame):
        if self._holds_signals:
            self._held_signal = number
        else:
            raise SystemExit(128 + number)
