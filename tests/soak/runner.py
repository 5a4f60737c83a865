"""Randomized soak: real processes, faults from outside, promises checked.

    python -m tests.soak.runner --seeds 1-50 [--seconds 8] [--planned]

Each seed is a plan of faults that come in series and overlap. It ends with
status 1 if a promise was broken; logs of that seed are kept.
"""

import argparse
import json
import pathlib
import shutil
import signal
import sys
import tempfile

import gevent

from tests.soak import place as soak_place

#: Seconds until everything has to be served again after the last fault.
RECOVERY_S = 15.0

#: Seconds of load by which recovery is judged, and the least share served.
JUDGED_S = 2.0
LEAST_SERVED = 0.95

#: Services of the targets; those of one row call the next.
SERVICES = ('front', 'front', 'archive', 'archive', 'dues')
CALLS_BY_SERVICE = {'front': 'read', 'dues': 'read'}
ROUTES = {'page': 'front', 'read': 'archive', 'pay': 'dues'}


class Soak:
    """One seed: its plan, its load and its faults.

    Parameters
    ----------
    place : Place
        Where it runs.
    seed : int
        Seed of the plan.
    seconds : float
        How long faults come.
    planned_only : bool
        Whether only planned work comes: stops, configurations, leaving.
    """

    def __init__(self, place, seed, seconds, planned_only):
        self.place = place
        self.random = soak_place.random_for(seed)
        self.seconds = seconds
        self.planned_only = planned_only
        self.version = 1
        self.log = []
        self._busy = set()

    def run(self):
        """Play the seed and return the promises that were broken."""
        place = self.place
        place.configure(self.version, **ROUTES)
        place.start_all()
        started_at = gevent.get_hub().loop.now()
        until = started_at + self.seconds
        clients = self._load(until)
        faults = [gevent.spawn(self._faults, until) for _ in range(3)]
        gevent.joinall(faults, raise_error=True)
        gevent.joinall(clients, raise_error=True)
        place.heal()
        self._restart_what_ended()
        lines = self._recover()
        return lines + place.broken_promises(self.planned_only)

    def _load(self, until):
        return [
            gevent.spawn(soak_place.Client(self.place, ip, prefix).run, until)
            for ip in self.place.ips
            for prefix in ROUTES
        ]

    def _note(self, what, *details):
        now = round(gevent.get_hub().loop.now(), 2)
        self.log.append((now, what, *details))

    def _faults(self, until):
        kinds = [self._stop, self._configure, self._leave]
        if not self.planned_only:
            kinds += [
                self._kill,
                self._pause,
                self._harm_peer,
                self._harm_store,
                self._reset,
                self._store,
            ]
        while gevent.get_hub().loop.now() < until:
            gevent.sleep(self.random.uniform(0.0, 0.8))
            self.random.choice(kinds)(self.random.uniform(0.1, 2.5))

    def _node(self):
        """Return a node that no other fault stops now, or None."""
        free = [ip for ip in self.place.ips if ip not in self._busy]
        # One at least goes on, or there is nothing to see.
        return self.random.choice(free) if len(free) > 2 else None

    def _kill(self, for_s):
        ip = self._node()
        if ip is None:
            return
        self._busy.add(ip)
        self._note('kill', ip)
        self.place.signal(ip, signal.SIGKILL)
        self.place.wait_for_exit(ip)
        gevent.sleep(0.3 * for_s)
        self.place.start(ip)
        self._busy.discard(ip)

    def _stop(self, _for_s):
        ip = self._node()
        if ip is None:
            return
        self._busy.add(ip)
        self._note('stop', ip)
        self.place.signal(ip, signal.SIGTERM)
        if self.random.random() < 0.3:
            self.place.signal(ip, signal.SIGHUP)
        self.place.wait_for_exit(ip)
        self.place.start(ip)
        self._busy.discard(ip)

    def _pause(self, for_s):
        ip = self._node()
        if ip is None:
            return
        self._busy.add(ip)
        self._note('pause', ip, round(for_s, 2))
        paused_at = gevent.get_hub().loop.now()
        self.place.signal(ip, signal.SIGSTOP)
        gevent.sleep(for_s)
        self.place.signal(ip, signal.SIGCONT)
        self.place.pauses_by_ip[ip].append(
            (paused_at, gevent.get_hub().loop.now())
        )
        self._busy.discard(ip)

    def _harm(self, harmed, ip, for_s):
        modes = ('pass', 'delay', 'hold', 'drop')
        harmed.forward = self.random.choice(modes)
        harmed.backward = self.random.choice(modes)
        self._note('harm', ip, harmed.forward, harmed.backward)
        gevent.sleep(for_s)
        harmed.heal()

    def _harm_peer(self, for_s):
        ip = self.random.choice(self.place.ips)
        self._harm(self.place.peer_proxies[ip], ip, for_s)

    def _harm_store(self, for_s):
        ip = self.random.choice(self.place.ips)
        self._harm(self.place.store_proxies[ip], f'store of {ip}', for_s)

    def _reset(self, _for_s):
        ip = self.random.choice(self.place.ips)
        self._note('reset', ip)
        self.place.peer_proxies[ip].reset()

    def _store(self, for_s):
        if self.random.random() < 0.3:
            self._note('compact')
            self.place.store.compact()
            return
        self.place.store.mode = self.random.choice(('busy', 'silent', 'lost'))
        self._note('store', self.place.store.mode)
        gevent.sleep(for_s)
        self.place.store.mode = 'up'

    def _configure(self, _for_s):
        self.version += self.random.randint(1, 9)
        self._note('configure', self.version)
        routes = dict(ROUTES)
        if self.random.random() < 0.5:
            routes['page'] = 'archive'
        self.place.configure(self.version, **routes)

    def _leave(self, _for_s):
        """Let one of two targets of a service leave, once."""
        ip = self.place.ips[1]
        if ip not in self.place.left_at:
            self._note('leave', ip)
            self.place.leave(ip)

    def _restart_what_ended(self):
        for ip in self.place.ips:
            if self.place.has_exited(ip):
                self._note('found ended', ip)
                self.place.start(ip)

    def _recover(self):
        """Return lines about what is not served after the faults."""
        end = gevent.get_hub().loop.now() + RECOVERY_S
        share = 0.0
        while gevent.get_hub().loop.now() < end:
            before = len(self.place.sent)
            until = gevent.get_hub().loop.now() + JUDGED_S
            gevent.joinall(self._load(until), raise_error=True)
            statuses = [sent.status for sent in self.place.sent[before:]]
            share = statuses.count(200) / max(1, len(statuses))
            if share >= LEAST_SERVED:
                return []
        return [f'recover: {share:.2f} served {RECOVERY_S:.0f} s later']


def play(seed, directory, seconds, planned_only=False):
    """Play one seed.

    Parameters
    ----------
    seed : int
        The seed.
    directory : pathlib.Path
        Where settings and logs go.
    seconds : float
        How long faults come.
    planned_only : bool, default=False
        Whether only planned work comes.

    Returns
    -------
    tuple of (list of str, Soak)
        Broken promises, and what was done.
    """
    prefix = f'127.3.{1 + seed % 250}'
    place = soak_place.Place(directory, prefix, SERVICES, CALLS_BY_SERVICE)
    soak = Soak(place, seed, seconds, planned_only)
    try:
        return soak.run(), soak
    finally:
        place.close()


def _seeds(text):
    first, _, last = text.partition('-')
    return range(int(first), int(last or first) + 1)


def _end_on_signals():
    """Let SIGTERM and SIGINT end what this process has started."""
    main_greenlet = gevent.getcurrent()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(
            number, gevent.kill, main_greenlet, SystemExit(1)
        )


def main():
    """Play the seeds of the command line."""
    _end_on_signals()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=_seeds, default=range(1, 4))
    parser.add_argument('--seconds', type=float, default=8.0)
    parser.add_argument('--planned', action='store_true')
    options = parser.parse_args()
    broken = 0
    for seed in options.seeds:
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        lines, soak = play(seed, directory, options.seconds, options.planned)
        served = sum(sent.status == 200 for sent in soak.place.sent)
        print(
            json.dumps(
                {
                    'seed': seed,
                    'sent': len(soak.place.sent),
                    'served': served,
                    'faults': len(soak.log),
                    'broken': lines[:5],
                }
            ),
            flush=True,
        )
        if lines:
            broken += 1
            (directory / 'faults.json').write_text(json.dumps(soak.log))
            print(f'logs of seed {seed}: {directory}', flush=True)
        else:
            shutil.rmtree(directory)
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    main()
