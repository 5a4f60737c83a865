"""Bundle holders against an oracle, under faults in virtual time."""

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
PLACES = (*LAYOUT, simulation.PLATFORM)
IN_FORCE_S = 4.0
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
    """What has been rolled out, and the newest that each node accepted."""

    hash_by_version: dict = attrs.field(factory=dict)
    newest: int = 0
    reached: dict = attrs.field(factory=dict)

    def check(self, cluster):
        for address, node in cluster.nodes.items():
            accepted = [bundle.version for bundle in node.accepted]
            assert accepted == sorted(set(accepted)), (address, accepted)
            assert node.version == (accepted[-1] if accepted else 0)
            for bundle in node.accepted:
                found = bundles.content_from_bundle(bundle).hash
                assert found == self.hash_by_version[bundle.version]


class Machine(stateful.RuleBasedStateMachine):
    """Roll-outs and faults; after quiet time every node is up to date."""

    make_holder = bundles.BundleHolder

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
        one=strategies.sampled_from(PLACES),
        other=strategies.sampled_from(PLACES),
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
        self.cluster.deliver_later(address, event)

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
        self.cluster.deliver_later(address, event)

    @stateful.rule(heal_first=strategies.booleans())
    def settle(self, heal_first):
        if heal_first:
            self.heal()
            self.disturb_platform(False, False, 0.0)
            self.wake()
        expected = list(self._expected())
        self.cluster.run(IN_FORCE_S)
        for component, version in expected:
            for address, node in self._reachable(component):
                assert node.version >= version, address

    @stateful.invariant()
    def never_an_older_version(self):
        self.oracle.check(self.cluster)

    def _expected(self):
        for component in self.cluster.components():
            reachable = self._reachable(component)
            known = [node.version for _, node in reachable]
            if simulation.PLATFORM in component:
                known.append(self.oracle.newest)
            yield component, max(known, default=0)

    def _reachable(self, component):
        out = self.cluster.out()
        return [
            (address, node)
            for address, node in self.cluster.nodes.items()
            if node.domain in component and address not in out
        ]


TestMachine = Machine.TestCase
TestMachine.settings = hypothesis.settings(stateful_step_count=30)


class _ForgetfulStore(_store.Store):
    """Planted fault: takes any other version for a newer one."""

    def compare(self, version, content_hash):
        if version != self.version:
            return _store.Verdict.ACCEPTED
        return super().compare(version, content_hash)


def _forgetful_holder(directory, trusted):
    holder = bundles.BundleHolder(directory, trusted)
    holder._store = _ForgetfulStore(trusted)
    return holder


class ForgetfulMachine(Machine):
    make_holder = staticmethod(_forgetful_holder)


def test_oracle_catches_a_holder_without_the_monotone_check():
    # Finding the fault is enough here; shrinking it takes minutes.
    planted = hypothesis.settings(
        TestMachine.settings,
        phases=(hypothesis.Phase.generate,),
        report_multiple_bugs=False,
        print_blob=False,
    )
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(ForgetfulMachine, settings=planted)


def test_news_spreads_within_the_stated_time_by_deltas():
    cluster = make_cluster(1)
    first = conftest.make_content(1)
    publish(cluster, first)
    cluster.run(IN_FORCE_S)
    assert versions(cluster) == {1}
    cluster.sent.clear()
    publish(cluster, conftest.make_content(2), first)
    cluster.run(IN_FORCE_S)
    assert versions(cluster) == {2}
    kinds = {type(message) for message, _ in cluster.sent}
    assert bundles.BundleDelta in kinds
    assert bundles.BundleWhole not in kinds


def test_new_node_takes_the_bundle_from_peers_while_the_platform_is_down():
    cluster = make_cluster(1)
    publish(cluster, conftest.make_content(1))
    cluster.run(IN_FORCE_S)
    cluster.platform.down = True
    cluster.start('paraiso:0', 'paraiso')
    cluster.run(1.0)
    assert cluster.nodes['paraiso:0'].version == 1


def test_second_body_at_one_version_is_counted_and_not_taken():
    cluster = make_cluster(1)
    publish(cluster, conftest.make_content(1))
    cluster.run(IN_FORCE_S)
    publish(cluster, conftest.make_content(1, rank=7))
    cluster.run(IN_FORCE_S)
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


def _of_another_line(head):
    content = conftest.make_content(2, name='other')
    return OPERATORS.head(content)


@pytest.mark.parametrize(
    'forge', [_unapproved, _self_approved, _of_another_line]
)
def test_forged_rows_are_refused(forge):
    cluster = make_cluster(1)
    publish(cluster, conftest.make_content(1))
    cluster.run(IN_FORCE_S)
    head = forge(OPERATORS.head(conftest.make_content(2)))
    cluster.platform.lie = cluster.platform.make_row(head)
    cluster.run(IN_FORCE_S)
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
    cluster.platform.lie = attrs.evolve(
        cluster.platform.make_row(OPERATORS.head(content)), value=value
    )
    cluster.run(2.0)
    assert versions(cluster) == {0}


def test_domain_that_starts_at_once_spreads_its_first_reads():
    cluster = simulation.Cluster({'escazu': 60}, OPERATORS.trusted, 1)
    cluster.run(0.7)
    reads = [n.holder.dump()['table_reads'] for n in cluster.nodes.values()]
    assert sum(reads) == 0
    publish(cluster, conftest.make_content(1))
    cluster.run(IN_FORCE_S)
    assert versions(cluster) == {1}
    reads = [n.holder.dump()['table_reads'] for n in cluster.nodes.values()]
    assert sum(reads) < 60


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_news_reaches_a_large_domain_in_time(seed):
    cluster = simulation.Cluster({'escazu': 100}, OPERATORS.trusted, seed)
    publish(cluster, conftest.make_content(1))
    cluster.run(IN_FORCE_S)
    publish(cluster, conftest.make_content(2), conftest.make_content(1))
    cluster.run(2.5)
    assert versions(cluster) == {2}


def test_isolated_node_catches_up_once_healed():
    cluster = simulation.Cluster({'escazu': 60}, OPERATORS.trusted, 1)
    publish(cluster, conftest.make_content(1))
    cluster.run(IN_FORCE_S)
    # One that polls would find the news in the table itself.
    cluster.isolated = {
        next(
            address
            for address, node in cluster.nodes.items()
            if not node.holder.dump()['is_poller']
        )
    }
    publish(cluster, conftest.make_content(2), conftest.make_content(1))
    cluster.run(IN_FORCE_S)
    assert versions(cluster) == {1, 2}
    cluster.isolated = set()
    cluster.run(IN_FORCE_S)
    assert versions(cluster) == {2}


def test_platform_that_never_answers_holds_few_reads():
    cluster = make_cluster(1)
    cluster.platform.loses_answers = True
    cluster.run(60.0)
    dumps = [n.holder.dump() for n in cluster.nodes.values()]
    assert 0 < max(dump['platform_waiting'] for dump in dumps) <= 4


def test_few_nodes_poll_once_in_force():
    cluster = simulation.Cluster({'escazu': 30}, OPERATORS.trusted, 1)
    publish(cluster, conftest.make_content(1))
    cluster.run(IN_FORCE_S)
    polls = [n.holder.dump()['is_poller'] for n in cluster.nodes.values()]
    assert sum(polls) == 3
