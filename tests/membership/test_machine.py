"""State machine that compares directories under faults with an oracle."""

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from rosemarycrank.membership import _table
from tests.membership import network as networks

DOMAINS = 'abc'
SIZE = 4
SEEDS = tuple(f'{domain}{number}:1' for domain in DOMAINS for number in (0, 1))
SERVICES = ('gallery', 'orders')
LEAVE_S = 3.0
SETTLE_S = 60.0

ADDRESSES = strategies.sampled_from(
    [f'{domain}{number}:1' for domain in DOMAINS for number in range(SIZE)]
)


@attrs.define
class Truth:
    """Actual state of a node that runs, with which views are compared."""

    member: networks.Member
    service: str = ''
    left_at: float | None = None
    paused: bool = False


class DirectoryMachine(stateful.RuleBasedStateMachine):
    """Starts, stops, pauses and cuts nodes in any order."""

    def __init__(self):
        super().__init__()
        self.network = networks.Network(seed=7, loss=0.05)
        self.truth_by_address = {}
        self.seen = {}
        self.disturbed_at = 0.0

    @stateful.initialize(size=strategies.integers(1, SIZE))
    def start_site(self, size):
        for domain in DOMAINS:
            for number in range(size):
                self._start(f'{domain}{number}:1', 'gallery')
        self.network.run(8)

    @stateful.rule(
        address=ADDRESSES, service=strategies.sampled_from(SERVICES)
    )
    def start_or_restart(self, address, service):
        if address in self.truth_by_address:
            self.network.kill(address)
        self._start(address, service)

    @stateful.rule(address=ADDRESSES)
    def kill(self, address):
        if address in self.truth_by_address:
            del self.truth_by_address[address]
            self.network.kill(address)
            self._disturb()

    @stateful.rule(address=ADDRESSES)
    def leave(self, address):
        truth = self.truth_by_address.get(address)
        if truth and truth.left_at is None and not truth.paused:
            truth.left_at = self.network.now
            truth.member.directory.leave()

    @stateful.rule(
        address=ADDRESSES, service=strategies.sampled_from(('', *SERVICES))
    )
    def announce(self, address, service):
        truth = self.truth_by_address.get(address)
        if truth and truth.left_at is None and not truth.paused:
            truth.service = service
            if service:
                truth.member.announce(service)
            else:
                truth.member.directory.set_local_target(None)

    @stateful.rule(address=ADDRESSES)
    def pause_or_wake(self, address):
        truth = self.truth_by_address.get(address)
        if truth is None:
            return
        truth.paused = not truth.paused
        self._disturb()
        if truth.paused:
            self.network.pause(address)
        else:
            self.network.resume(address)
            waited_s = self.network.now - truth.member.context.now
            assert waited_s < 1 or truth.member.directory.stale(
                self.network.now
            )

    @stateful.rule(domain=strategies.sampled_from(DOMAINS))
    def cut(self, domain):
        self._disturb()
        self.network.is_cut = lambda sender, receiver: (
            (sender[0] == domain) != (receiver[0] == domain)
        )

    @stateful.rule()
    def heal(self):
        self._disturb()
        self.network.is_cut = lambda sender, receiver: False

    @stateful.rule(duration_s=strategies.sampled_from((0.3, 1.0, 4.0, 20.0)))
    def run(self, duration_s):
        self.network.run(duration_s)

    @stateful.invariant()
    def news_never_goes_back(self):
        for member in self.network.by_address.values():
            for record in member.directory.records():
                key = member, record.address
                precedence = _table.precedence(record)
                assert precedence >= self.seen.get(key, precedence), record
                self.seen[key] = precedence

    @stateful.invariant()
    def targets_that_left_get_no_work(self):
        now = self.network.now
        left = {
            (address, truth.member.context.incarnation)
            for address, truth in self.truth_by_address.items()
            if truth.left_at is not None
            and now - max(truth.left_at, self.disturbed_at) > LEAVE_S
        }
        for truth in self.truth_by_address.values():
            if not truth.paused and truth.left_at is None:
                assert not left & self._targets(truth.member)

    def teardown(self):
        self.heal()
        for address, truth in self.truth_by_address.items():
            if truth.paused:
                self.pause_or_wake(address)
        self.network.loss = 0.0
        self.network.run(SETTLE_S)
        expected = {
            (address, truth.member.context.incarnation)
            for address, truth in self.truth_by_address.items()
            if truth.left_at is None and truth.service
        }
        for truth in self.truth_by_address.values():
            if truth.left_at is None:
                assert self._targets(truth.member) == expected

    def _targets(self, member):
        return {
            (target.address, target.incarnation)
            for service in SERVICES
            for target in member.directory.targets(service)
        }

    def _start(self, address, service):
        member = self.network.start(address, address[0], SEEDS)
        member.announce(service)
        self.truth_by_address[address] = Truth(member, service)
        self._disturb()

    def _disturb(self):
        # A node that has just started, or was paused or cut off, may not yet
        # have received a change. Until then the node of a target that left
        # refuses its calls.
        self.disturbed_at = self.network.now + 15.0


TestDirectory = DirectoryMachine.TestCase
TestDirectory.settings = hypothesis.settings(
    max_examples=25, stateful_step_count=20
)
