"""Bundle holders under faults in virtual time, checked by an oracle."""

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from rosemarycrank import bundles
from rosemarycrank.bundles import _store
from rosemarycrank import kernel
from tests.bundles import conftest
from tests.bundles import simulation

LAYOUT = {'escazu': 4, 'alajuela': 4, 'paraiso': 2}
LINK_ENDPOINTS = (*LAYOUT, simulation.PLATFORM)
#: Time within which a roll-out is in force on all nodes that it can reach.
MAX_SPREAD_S = 4.0
ADDRESSES = tuple(
    f'{d}:{n}' for d, count in LAYOUT.items() for n in range(count)
)
OPERATORS = conftest.make_operators('ana', 'berta')


def make_cluster(seed, make_holder=None):
    return simulation.Cluster(LAYOUT, OPERATORS.trusted, seed, make_holder)


def publish(cluster, content, base=None):
    head = OPERATORS.head(content)
    cluster.platform.publish(head, content, base, cluster.now)
    return head


def versions(cluster):
    return {node.version for node in cluster.nodes.values()}


@attrs.define
class Oracle:
    """Checks the nodes against the bundles that were rolled out.

    Each node must accept versions in increasing order, and only bundles
    that were rolled out.
    """

    hash_by_version: dict = attrs.field(factory=dict)
    newest: int = 0
    reached: dict = attrs.field(factory=dict)

    def check(self, cluster):
        for address, node in cluster.nodes.items():
            accepted = [bundle.version for bundle in node.accepted]
            assert accepted == sorted(set(accepted)), (
                f'{address} returned to an older version: {accepted}'
            )
            assert node.version == (accepted[-1] if accepted else 0)
            for bundle in node.accepted:
                found = bundles.content_from_bundle(bundle).hash
                assert found == self.hash_by_version[bundle.version]


class Machine(stateful.RuleBasedStateMachine):
    """Roll-outs and faults in random order.

    No node ever returns to an older version. `settle` checks that after
    `MAX_SPREAD_S` all connected nodes have the newest version among them.
    Each example ends with `teardown`, which delivers every older answer to
    nodes that have a newer version, whatever the rules before it did.
    """

    make_holder = bundles.BundleHolder
    cluster = None

    @stateful.initialize(seed=strategies.integers(0, 2**32 - 1))
    def start(self, seed):
        self.cluster = make_cluster(seed, type(self).make_holder)
        self.oracle = Oracle()
        self.contents = []
        self.replays = []

    @stateful.rule()
    def roll_out(self):
        version = self.oracle.newest + 1
        content = conftest.make_content(version)
        base = self.contents[-1] if self.contents else None
        head = publish(self.cluster, content, base)
        self.contents.append(content)
        self.replays.append(bundles.BundleWhole(head, content.sections))
        self.oracle.newest = version
        self.oracle.hash_by_version[version] = content.hash

    @stateful.rule(seconds=strategies.floats(0.02, 1.5))
    def run(self, seconds):
        self.cluster.run(seconds)

    @stateful.rule(
        one=strategies.sampled_from(LINK_ENDPOINTS),
        other=strategies.sampled_from(LINK_ENDPOINTS),
    )
    def cut(self, one, other):
        self.cluster.cuts.add(frozenset((one, other)))

    @stateful.rule()
    def heal(self):
        self.cluster.cuts.clear()
        self.cluster.isolated = set()

    @stateful.rule(address=strategies.sampled_from(ADDRESSES))
    def restart(self, address):
        self.cluster.start(address, address.partition(':')[0])

    @stateful.rule(domain=strategies.sampled_from(tuple(LAYOUT)))
    def replace_domain(self, domain):
        for address in self.cluster.addresses(lambda d: d == domain):
            self.cluster.start(address, domain)

    @stateful.rule(address=strategies.sampled_from(ADDRESSES))
    def pause(self, address):
        self.cluster.paused = {address}

    @stateful.rule(
        addresses=strategies.sets(strategies.sampled_from(ADDRESSES))
    )
    def isolate(self, addresses):
        self.cluster.isolated = addresses

    @stateful.rule()
    def wake(self):
        self.cluster.paused = set()

    @stateful.rule(
        down=strategies.booleans(),
        loses_answers=strategies.booleans(),
        lag_s=strategies.floats(0.0, 1.0),
    )
    def disturb_platform(self, down, loses_answers, lag_s):
        self.cluster.platform.down = down
        self.cluster.platform.loses_answers = loses_answers
        self.cluster.platform.lag_s = lag_s

    @stateful.precondition(lambda self: self.replays)
    @stateful.rule(
        data=strategies.data(), address=strategies.sampled_from(ADDRESSES)
    )
    def replay_old_answer(self, data, address):
        whole = data.draw(strategies.sampled_from(self.replays))
        event = kernel.Received('escazu:0', whole)
        self.cluster.schedule_delivery(address, event)

    @stateful.precondition(lambda self: len(self.replays) > 1)
    @stateful.rule(address=strategies.sampled_from(ADDRESSES))
    def deliver_out_of_order(self, address):
        for whole in reversed(self.replays[-2:]):
            self._deliver(address, whole)

    @stateful.rule(
        address=strategies.sampled_from(ADDRESSES),
        ahead=strategies.integers(1, 3),
        approved=strategies.booleans(),
    )
    def send_forged(self, address, ahead, approved):
        content = conftest.make_content(self.oracle.newest + ahead, rank=9)
        head = bundles.unsigned_head(content).sign(
            'ana', OPERATORS.private_keys['ana']
        )
        if approved:
            head = attrs.evolve(head, approver=head.author)
        whole = bundles.BundleWhole(head, content.sections)
        event = kernel.Received('escazu:0', whole)
        self.cluster.schedule_delivery(address, event)

    @stateful.rule(heal_first=strategies.booleans())
    def settle(self, heal_first):
        if heal_first:
            self.heal()
            self.disturb_platform(False, False, 0.0)
            self.wake()
        expected = list(self._expected())
        self.cluster.run(MAX_SPREAD_S)
        self.oracle.check(self.cluster)
        for component, version in expected:
            for address, node in self._reachable(component):
                assert node.version >= version, address

    @stateful.invariant()
    def never_an_older_version(self):
        self.oracle.check(self.cluster)

    def teardown(self):
        if self.cluster is None:
            return
        self.roll_out()
        self.roll_out()
        self.settle(heal_first=True)
        for older in self.replays[:-1]:
            for address in ADDRESSES:
                self._deliver(address, older)
        self.oracle.check(self.cluster)

    def _deliver(self, address, whole):
        """Deliver an answer before any that is scheduled later."""
        event = kernel.Received('escazu:0', whole)
        self.cluster.schedule_delivery(address, event)
        self.cluster.run(simulation.STEP_S)

    def _expected(self):
        for component in self.cluster.components():
            reachable = self._reachable(component)
            known = [node.version for _, node in reachable]
            if simulation.PLATFORM in component:
                known.append(self.oracle.newest)
            yield component, max(known, default=0)

    def _reachable(self, component):
        unavailable = self.cluster.unavailable()
        return [
            (address, node)
            for address, node in self.cluster.nodes.items()
            if node.domain in component and address not in unavailable
        ]


TestMachine = Machine.TestCase
TestMachine.settings = hypothesis.settings(stateful_step_count=30)


class _NonMonotonicStore(_store.Store):
    """Injected fault: treats all other versions, older ones too, as newer."""

    def compare(self, version, content_hash):
        if version != self.version:
            return _store.Verdict.ACCEPTED
        return super().compare(version, content_hash)


def _make_non_monotonic_holder(directory, trusted_keys):
    holder = bundles.BundleHolder(directory, trusted_keys)
    holder._store = _NonMonotonicStore(trusted_keys)
    return holder


class NonMonotonicMachine(Machine):
    make_holder = staticmethod(_make_non_monotonic_holder)


def test_oracle_catches_a_holder_without_the_monotone_check():
    # Without shrinking, which takes minutes: any failing example will do.
    fault_settings = hypothesis.settings(
        TestMachine.settings,
        phases=(hypothesis.Phase.generate,),
        report_multiple_bugs=False,
        print_blob=False,
    )
    with pytest.raises(AssertionError, match='returned to an older version'):
        stateful.run_state_machine_as_test(
            NonMonotonicMachine, settings=fault_settings
        )


def test_new_version_spreads_in_time_by_deltas():
    cluster = make_cluster(1)
    first = conftest.make_content(1)
    publish(cluster, first)
    cluster.run(MAX_SPREAD_S)
    assert versions(cluster) == {1}
    cluster.sent.clear()
    publish(cluster, conftest.make_content(2), first)
    cluster.run(MAX_SPREAD_S)
    assert versions(cluster) == {2}
    kinds = {type(message) for message, _ in cluster.sent}
    assert bundles.BundleDelta in kinds
    assert bundles.BundleWhole not in kinds


def test_new_node_gets_the_bundle_from_peers_while_the_platform_is_down():
    cluster = make_cluster(1)
    publish(cluster, conftest.make_content(1))
    cluster.run(MAX_SPREAD_S)
    cluster.platform.down = True
    cluster.start('paraiso:0', 'paraiso')
    cluster.run(1.0)
    assert cluster.nodes['paraiso:0'].version == 1


def test_second_body_of_a_version_is_counted_and_not_accepted():
    # Two signed bundles with the same version and different content.
    cluster = make_cluster(1)
    publish(cluster, conftest.make_content(1))
    cluster.run(MAX_SPREAD_S)
    publish(cluster, conftest.make_content(1, rank=7))
    cluster.run(MAX_SPREAD_S)
    accepted = [n.accepted for n in cluster.nodes.values()]
    assert {a[0].classes_by_name['read'].rank for a in accepted} == {0}
    counted = sum(
        node.kernel.context.counters.get('bundle.conflict', 0)
        for node in cluster.nodes.values()
    )
    assert counted > 0


def _unapproved(head):
    return attrs.evolve(head, approver=None)


def _self_approved(head):
    return attrs.evolve(head, approver=head.author)


def _with_another_name(head):
    content = conftest.make_content(2, name='other')
    return OPERATORS.head(content)


@pytest.mark.parametrize(
    'forge', [_unapproved, _self_approved, _with_another_name]
)
def test_forged_rows_are_refused(forge):
    cluster = make_cluster(1)
    publish(cluster, conftest.make_content(1))
    cluster.run(MAX_SPREAD_S)
    head = forge(OPERATORS.head(conftest.make_content(2)))
    cluster.platform.forged_row = cluster.platform.make_row(head)
    cluster.run(MAX_SPREAD_S)
    assert versions(cluster) == {1}
    dumps = [n.holder.dump() for n in cluster.nodes.values()]
    assert any(dump['last_error'] for dump in dumps)


@pytest.mark.parametrize(
    'value', [{}, {'head': 7}, {'head': {'name': 'x', 'version': 'y'}}]
)
def test_malformed_rows_and_bodies_do_no_harm(value):
    cluster = make_cluster(1)
    content = conftest.make_content(1)
    publish(cluster, content)
    cluster.platform.bodies[bundles.body_name(content.hash)] = b'{"a":'
    cluster.run(2.0)
    cluster.platform.forged_row = attrs.evolve(
        cluster.platform.make_row(OPERATORS.head(content)), value=value
    )
    cluster.run(2.0)
    assert versions(cluster) == {0}


def test_nodes_that_start_together_spread_their_first_reads():
    # Guards against all nodes of a restarted domain reading the platform at
    # the same time: they ask their peers first.
    cluster = simulation.Cluster({'escazu': 60}, OPERATORS.trusted, 1)
    cluster.run(0.7)
    reads = [n.holder.dump()['table_reads'] for n in cluster.nodes.values()]
    assert sum(reads) == 0
    publish(cluster, conftest.make_content(1))
    cluster.run(MAX_SPREAD_S)
    assert versions(cluster) == {1}
    reads = [n.holder.dump()['table_reads'] for n in cluster.nodes.values()]
    assert sum(reads) < 60


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_new_version_reaches_a_large_domain_in_time(seed):
    cluster = simulation.Cluster({'escazu': 100}, OPERATORS.trusted, seed)
    publish(cluster, conftest.make_content(1))
    cluster.run(MAX_SPREAD_S)
    publish(cluster, conftest.make_content(2), conftest.make_content(1))
    cluster.run(2.5)
    assert versions(cluster) == {2}


def test_isolated_node_catches_up_once_healed():
    cluster = simulation.Cluster({'escazu': 60}, OPERATORS.trusted, 1)
    publish(cluster, conftest.make_content(1))
    cluster.run(MAX_SPREAD_S)
    # A poller would read the new version from the table itself.
    cluster.isolated = {
        next(
            address
            for address, node in cluster.nodes.items()
            if not node.holder.dump()['is_poller']
        )
    }
    publish(cluster, conftest.make_content(2), conftest.make_content(1))
    cluster.run(MAX_SPREAD_S)
    assert versions(cluster) == {1, 2}
    cluster.isolated = set()
    cluster.run(MAX_SPREAD_S)
    assert versions(cluster) == {2}


def test_unanswered_reads_in_flight_are_bounded():
    # Guards against a growing number of reads in flight while the platform
    # never answers.
    cluster = make_cluster(1)
    cluster.platform.loses_answers = True
    cluster.run(60.0)
    dumps = [n.holder.dump() for n in cluster.nodes.values()]
    assert 0 < max(dump['platform_waiting'] for dump in dumps) <= 4


def test_few_nodes_poll_once_a_bundle_is_in_force():
    cluster = simulation.Cluster({'escazu': 30}, OPERATORS.trusted, 1)
    publish(cluster, conftest.make_content(1))
    cluster.run(MAX_SPREAD_S)
    are_pollers = [
        n.holder.dump()['is_poller'] for n in cluster.nodes.values()
    ]
    assert sum(are_pollers) == 3
