"""Starts of the local target in any order: clocks, late heartbeats, restarts.

One target at a time runs beside a node. Its clock jumps between its starts,
its heartbeats but for the first one may come late, also those of its leaving,
and the node may be replaced. Two guarantees hold:

- After a leaving is acknowledged, the target gets no requests while it lives.
- A target that stays gets requests some seconds after its last late heartbeat.
"""

import heapq
import itertools
import random

import attrs
import pytest

from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _registration

HEARTBEAT_INTERVAL_S = 1.5
#: Longest delay of a late heartbeat, and time in which late ones come of one
#: start, in seconds.
MAX_DELAY_S = 5.0
#: Time after which a target that stays gets requests, in seconds: that of a
#: confirmation with the intervals before and after it.
IN_USE_S = 3 * HEARTBEAT_INTERVAL_S + MAX_DELAY_S
#: Largest jump of the time of day, in seconds.
MAX_JUMP_S = 30.0
STARTS = 12


@attrs.define(eq=False)
class _Target:
    """One start of a target."""

    instance: str
    born_ms: int
    started_at: float
    sequence: int = 0
    state: str = 'ready'
    is_alive: bool = True
    has_acknowledged_leaving: bool = False

    def heartbeat(self):
        self.sequence += 1
        return _registration.Heartbeat(
            self.instance,
            'archive',
            '10.0.0.1:80',
            'a',
            4,
            self.state,
            self.born_ms,
            self.sequence,
        )


class _Machine:
    """A target, the node beside it, and what other nodes know of it."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.directory = _directory.Directory()
        self.target = None
        self.last_late_at = 0.0
        self._starts_left = STARTS
        self._events = []
        self._numbers = itertools.count()
        self._start_node()

    def _start_node(self):
        self.registration = _registration.Registration(
            'n1', self.directory.merge, now=lambda: self.now
        )
        for record in self.directory.records():
            self.registration.learn(record)

    def after(self, delay_s, act):
        """Act after a delay."""
        entry = (self.now + delay_s, next(self._numbers), act)
        heapq.heappush(self._events, entry)

    def run(self):
        """Play the starts one after another."""
        self._start_target('i1')
        while self._events:
            self.now, _, act = heapq.heappop(self._events)
            act()
            self._check()

    def _start_target(self, instance):
        self._starts_left -= 1
        jump_s = self.rng.uniform(-MAX_JUMP_S, MAX_JUMP_S)
        born_ms = int(1e6 + 1000 * (self.now + jump_s))
        target = self.target = _Target(instance, born_ms, self.now)
        self._send(target)
        life_s = self.rng.choice([1.0, 4.0, 20.0])
        self.after(life_s, lambda: self._leave(target))

    def _send(self, target):
        """Send heartbeats as long as the target lives."""
        if not target.is_alive:
            return
        heartbeat = target.heartbeat()
        is_first = heartbeat.sequence == 1
        if not is_first and self.rng.random() < 0.2:
            delay_s = self.rng.uniform(0.0, MAX_DELAY_S)
            self.last_late_at = max(self.last_late_at, self.now + delay_s)
            self.after(delay_s, lambda: self._report(target, heartbeat))
        else:
            self._report(target, heartbeat)
        self.after(HEARTBEAT_INTERVAL_S, lambda: self._send(target))

    def _report(self, target, heartbeat):
        is_acknowledged = self.registration.report(heartbeat)
        if heartbeat.state == 'draining' and is_acknowledged:
            target.has_acknowledged_leaving = True

    def _leave(self, target):
        how = self.rng.choice(['crash', 'draining', 'withdrawal'])
        if how == 'crash':
            self._end(target)
            return
        target.state = 'draining'
        if how == 'draining':
            self._report(target, target.heartbeat())
        else:
            self._withdraw(target)
        self.after(2.5, lambda: self._withdraw(target))
        self.after(2.8, lambda: self._end(target))
        if self.rng.random() < 0.3:
            self.after(self.rng.uniform(0.0, 2.0), self._start_node)

    def _withdraw(self, target):
        born_ms = self.rng.choice([0, target.born_ms])
        if self.registration.withdraw(target.instance, born_ms):
            target.has_acknowledged_leaving = True

    def _end(self, target):
        target.is_alive = False
        if self._starts_left:
            instance = self.rng.choice([target.instance, self._new_name()])
            self.after(
                self.rng.uniform(0.2, 3.0),
                lambda: self._start_target(instance),
            )

    def _new_name(self):
        return f'i{next(self._numbers)}'

    def _is_in_use(self, target):
        return any(
            record.instance == target.instance
            and record.state == _directory.READY
            for record in self.directory.records()
        )

    def _check(self):
        target = self.target
        if not target.is_alive:
            return
        if target.has_acknowledged_leaving:
            assert not self._is_in_use(target), 'requests after the leaving'
        elif target.state == 'ready':
            since = max(target.started_at, self.last_late_at)
            if self.now > since + IN_USE_S:
                assert self._is_in_use(target), 'no requests'


@pytest.mark.parametrize('seed', range(300))
def test_leaving_binds_and_targets_that_stay_are_used(seed):
    _Machine(seed).run()
