"""Starts, stops, kills and pauses the processes of a benchmark or test."""

import collections
import itertools
import json
import random
import select
import signal
import socket
import subprocess
import time

from benchmarks import _builds

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
KILL_TIMEOUT_S = 10.0
LISTEN_PORTS = range(12000, 32000)
_POLL_INTERVAL_S = 0.02
_STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)

#: Ports that `free_addresses` has returned in this process.
_issued_ports = set()


class StartError(Exception):
    """A process ended, or did not report that it is ready in time."""


def free_addresses(count):
    """Return addresses on the loopback interface whose ports are free.

    The ports are below the system's ephemeral port range. Otherwise an
    outgoing connection could take a port before the process listens on it.
    No port is returned twice: one that was returned earlier may not be
    listened on yet, and would still look free.

    Parameters
    ----------
    count : int
        Number of addresses.

    Returns
    -------
    list of str
        Distinct addresses, as ``host:port``.

    Raises
    ------
    StartError
        If too few ports are left.
    """
    candidates = [port for port in LISTEN_PORTS if port not in _issued_ports]
    random.SystemRandom().shuffle(candidates)
    ports = list(itertools.islice(filter(_is_free, candidates), count))
    if len(ports) < count:
        raise StartError(
            f'{count} free ports are needed, {len(ports)} are left'
        )
    _issued_ports.update(ports)
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
        Name of the process in errors and in the name of its log file.
    module : str
        Module to run.
    arguments : list of str
        Command-line arguments of the module.
    folder : pathlib.Path
        Folder of the log file, to which standard error is written.
    build : Build, default=OWN_BUILD
        Build whose module is run.

    Attributes
    ----------
    ready_line : dict
        Fields of the line that the process prints when it is ready;
        empty until then.
    """

    def __init__(
        self, name, module, arguments, folder, build=_builds.OWN_BUILD
    ):
        self.name = name
        self.ready_line = {}
        self.log_path = folder / f'{name}.log'
        with self.log_path.open('ab') as log:
            # In a new session the process does not receive the SIGINT of
            # the terminal's Ctrl-C: the parent stops its processes in order.
            self._popen = subprocess.Popen(
                [build.python, '-m', module, *arguments],
                cwd=build.checkout,
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
        """Wait until the process prints the line that reports it ready.

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
            If the process ends first or the wait times out.
        """
        readable, _, _ = select.select([self._popen.stdout], [], [], timeout_s)
        line = self._popen.stdout.readline() if readable else b''
        if not line:
            log = self.log_path.read_text()[-2000:]
            raise StartError(
                f'{self.name} did not report that it is ready; log:\n{log}'
            )
        self.ready_line = json.loads(line)
        return self.ready_line

    def output(self, timeout_s):
        """Wait until the process ends and return its remaining output.

        Parameters
        ----------
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        str
            Standard output, without what was read before.

        Raises
        ------
        subprocess.TimeoutExpired
            If the process does not end in time.
        """
        output_bytes, _ = self._popen.communicate(timeout=timeout_s)
        return output_bytes.decode()

    def terminate(self):
        """Send SIGTERM, which requests a graceful stop."""
        self.send(signal.SIGTERM)

    def kill(self):
        """Send SIGKILL and wait until the process has ended."""
        self.send(signal.SIGKILL)
        self.wait(KILL_TIMEOUT_S)

    def pause(self):
        """Suspend the process."""
        self.send(signal.SIGSTOP)

    def resume(self):
        """Continue the process after `pause`."""
        self.send(signal.SIGCONT)

    def send(self, signal_number):
        """Send a signal to the process if it still runs."""
        # Popen sends no signal after it has reaped the process, so a
        # process id that the system reuses never receives one.
        self._popen.send_signal(signal_number)

    def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Wait until the process ends.

        Parameters
        ----------
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        int or None
            Exit status; None if the wait times out.
        """
        deadline = time.monotonic() + timeout_s
        while self.exit_status is None and time.monotonic() < deadline:
            time.sleep(_POLL_INTERVAL_S)
        return self.exit_status


class ProcessGroup:
    """Context manager that starts processes and kills them on exit.

    Processes that still run when the context is left are killed, also when
    it is left because of SIGINT or SIGTERM.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the log files.
    other_build : Build, default=None
        Build that every second process of a module runs; None to run one
        build only.
    """

    def __init__(self, folder, other_build=None):
        self.folder = folder.resolve()
        self.processes = []
        self._other_build = other_build
        self._counts_by_module = collections.Counter()
        self._previous_handlers = {}
        self._defers_signals = False
        self._deferred_signal = None

    def __enter__(self):
        for signal_number in _STOP_SIGNALS:
            self._previous_handlers[signal_number] = signal.signal(
                signal_number, self._on_signal
            )
        return self

    def __exit__(self, *exception_info):
        self._defers_signals = True
        self.kill_all()
        for signal_number, handler in self._previous_handlers.items():
            signal.signal(signal_number, handler)

    def start(self, name, module, arguments):
        """Start a process without waiting until it is ready.

        Parameters
        ----------
        name : str
            Name of the process.
        module : str
            Module to run.
        arguments : iterable of str
            Command-line arguments of the module.

        Returns
        -------
        Process
            The process.
        """
        # A signal handled after the process is started and before it is
        # added to the list would leave the process running.
        self._defers_signals = True
        build = self._next_build(module)
        process = Process(name, module, list(arguments), self.folder, build)
        self.processes.append(process)
        self._defers_signals = False
        if self._deferred_signal is not None:
            raise SystemExit(128 + self._deferred_signal)
        return process

    def stop(self, processes, timeout_s=STOP_TIMEOUT_S):
        """Stop processes gracefully and concurrently.

        Parameters
        ----------
        processes : iterable of Process
            Processes to stop.
        timeout_s : float
            Longest wait for all processes together, in seconds.

        Returns
        -------
        list of str
            Names of the processes that did not end with status 0 in time.
        """
        processes = list(processes)
        for process in processes:
            process.terminate()
        deadline = time.monotonic() + timeout_s
        return [
            process.name
            for process in processes
            if process.wait(max(0.0, deadline - time.monotonic())) != 0
        ]

    def kill_all(self):
        """Kill all processes that still run and wait until they end."""
        for process in self.processes:
            if process.exit_status is None:
                process.send(signal.SIGKILL)
        for process in self.processes:
            process.wait(KILL_TIMEOUT_S)

    def _next_build(self, module):
        self._counts_by_module[module] += 1
        if self._other_build and self._counts_by_module[module] % 2 == 0:
            return self._other_build
        return _builds.OWN_BUILD

    def _on_signal(self, signal_number, frame):
        if self._defers_signals:
            self._deferred_signal = signal_number
        else:
            raise SystemExit(128 + signal_number)
