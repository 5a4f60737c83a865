"""Two builds in one deployment, as during a rolling upgrade."""

import json
import random

from benchmarks import _builds

#: Probability that a node is restarted with the other one of the two builds.
SWITCH_PROBABILITY = 0.8

#: Log events of data that a node could not decode.
INVALID_DATA_EVENTS = ('bad_frame', 'row_invalid', 'configuration_invalid')

#: Parts of the message of a `peer_lost` line that is caused by the format of
#: the peer's frames.
INVALID_FRAME_MESSAGES = ('invalid frame', 'bad frame', 'protocol')


class BuildSequence:
    """Chooses the build of each start of a node.

    At first about half of the nodes run each build. Each restart may switch
    the build of the node.

    Parameters
    ----------
    other_build : Build
        Build that runs beside the one under test.
    ips : list of str
        Addresses of the nodes.
    seed : int
        Seed of the choices.

    Attributes
    ----------
    current_by_ip : dict of str to Build
        Build of the latest start of each node.
    upgrades, downgrades : int
        Number of restarts that switched to the build under test, and from it
        to the other one.
    """

    def __init__(self, other_build, ips, seed):
        self.other_build = other_build
        self.current_by_ip = {}
        self.upgrades = 0
        self.downgrades = 0
        self._random = random.Random(f'builds-{seed}')
        count = self._random.choice((len(ips) // 2, (len(ips) + 1) // 2))
        self._first_other_ips = frozenset(self._random.sample(ips, count))

    def next_build(self, ip):
        """Return the build for the next start of a node."""
        previous = self.current_by_ip.get(ip)
        if previous is None:
            build = (
                self.other_build
                if ip in self._first_other_ips
                else _builds.OWN_BUILD
            )
        elif self._random.random() < SWITCH_PROBABILITY:
            build = self._switch(previous)
        else:
            build = previous
        self.current_by_ip[ip] = build
        return build

    def _switch(self, previous):
        if previous is _builds.OWN_BUILD:
            self.downgrades += 1
            return self.other_build
        self.upgrades += 1
        return _builds.OWN_BUILD


def find_invalid_data(log_path):
    """Return a line for each sign of undecodable data in the log of a node.

    Parameters
    ----------
    log_path : pathlib.Path
        Log of the node, with its standard error.

    Returns
    -------
    list of str
        Invalid frames and rows, and unhandled errors.
    """
    violations = []
    for text in log_path.read_text(errors='replace').splitlines():
        if text.startswith('Traceback') or _reports_invalid_data(text):
            violations.append(f'undecodable: {log_path.stem}: {text}')
    return violations


def _reports_invalid_data(text):
    if not text.startswith('{'):
        # Standard error is not structured.
        return False
    try:
        line = json.loads(text)
    except json.JSONDecodeError:
        # The process was killed while it wrote the line.
        return False
    event = line.get('event')
    if event == 'peer_lost':
        return any(part in line['message'] for part in INVALID_FRAME_MESSAGES)
    return event in INVALID_DATA_EVENTS
