"""What a caller gets in each case; the world's oracle checks the runs."""

import pytest

from rosemarycrank import results
from tests.ledger import world as worlds

R = results.Result
KEY = 'client-key'


def issue(world, node):
    return world.act(node, node.ledger.issue, 1)[0]


def answers(world, *sent):
    """Settle the world and return the result of each send."""
    world.settle()
    return [send.answers[0].result for send in sent]


def platform_down(world, seconds):
    """Let time pass while no operation on the platform is answered."""
    for _ in range(round(seconds / 0.1)):
        while world.operations:
            world.answer(fault='down')
        while world.messages:
            world.deliver()
        for run in world.open_runs():
            world.finish_run(run, worlds.COMPLETE)
        world.advance(0.1)


def stop(world, node):
    """Stop a node as planned, until its process is gone."""
    world.act(node, node.ledger.start_drain)
    world.settle(rounds=5)
    assert node.ledger.is_idle()
    world.crash(node.kernel.context.address)


def refuse_once(world, node, key):
    """Submit a request that the upstream refuses."""
    sent = world.submit(node, key)
    while not world.open_runs():
        world.deliver_all()
    world.finish_run(world.open_runs()[0], worlds.NOT_RUN)
    assert answers(world, sent) == [R.UPSTREAM_REFUSED]


@pytest.mark.parametrize('issued', [False, True])
def test_resends_through_any_node_run_once(world, nodes, issued):
    key = issue(world, nodes[0]) if issued else KEY
    first = world.submit(nodes[0], key)
    assert answers(world, first) == [R.OK]
    again = [world.submit(node, key) for node in nodes]
    asked = [world.query(node, key) for node in nodes]
    assert set(answers(world, *again, *asked)) == {R.OK_KEPT}
    other = [world.submit(node, key, b'other') for node in nodes]
    assert set(answers(world, *other)) == {R.KEY_REUSED}
    assert len(world.runs) == 1
    assert world.writes == (0 if issued else 1)


def test_resends_join_the_running_request(world, nodes):
    key = issue(world, nodes[0])
    sent = [world.submit(node, key) for node in nodes]
    assert answers(world, *sent) == [R.OK, R.OK_KEPT, R.OK_KEPT]


def test_issued_keys_run_without_the_platform(world, nodes):
    keys = [issue(world, node) for node in nodes]
    sent = [world.submit(node, key) for node in nodes for key in keys]
    platform_down(world, 1.0)
    assert {send.answers[0].result for send in sent} == {R.OK, R.OK_KEPT}
    assert len(world.runs) == 3


@pytest.mark.parametrize('issued', [False, True])
def test_kept_answers_need_no_platform(world, nodes, issued):
    key = issue(world, nodes[0]) if issued else KEY
    answers(world, world.submit(nodes[0], key))
    again = world.submit(nodes[0], key)
    platform_down(world, 1.0)
    assert again.answers[0].result is R.OK_KEPT


@pytest.mark.parametrize('ask', [False, True])
def test_client_keys_are_not_run_without_the_platform(world, nodes, ask):
    if ask:
        sent = world.query(nodes[0], KEY)
    else:
        sent = world.submit(nodes[0], KEY)
    platform_down(world, 2.0)
    assert sent.answers[0].result is R.CLAIM_UNREADABLE
    assert not world.runs


@pytest.mark.parametrize('effect', ['lost', 'late'])
def test_lost_answer_to_a_claim_is_read_back(world, nodes, effect):
    sent = world.submit(nodes[0], KEY)
    world.answer()
    world.answer(fault=effect)
    assert not world.runs
    assert answers(world, sent) == [R.OK]


def test_racing_claims_have_one_owner(world, nodes):
    sent = [world.submit(node, KEY) for node in nodes]
    assert sorted(r.name for r in answers(world, *sent)) == [
        'OK',
        'OK_KEPT',
        'OK_KEPT',
    ]
    assert world.writes == 3


def test_paused_owner_still_owns(world, nodes):
    key = issue(world, nodes[0])
    nodes[0].paused = True
    early = world.submit(nodes[1], key)
    world.advance(100.0)
    assert early.answers[0].result is R.OWNER_UNREACHABLE
    nodes[0].paused = False
    assert answers(world, world.submit(nodes[1], key)) == [R.OK_KEPT]
    assert len(world.runs) == 1


def test_key_of_a_crashed_owner_is_unknown(world, nodes):
    keys = [issue(world, nodes[0]), KEY]
    answers(world, *(world.submit(nodes[0], key) for key in keys))
    address = nodes[0].kernel.context.address
    world.crash(address)
    silent = [world.submit(nodes[1], key) for key in keys]
    assert set(answers(world, *silent)) == {R.OWNER_UNREACHABLE}
    new = world.start(address)
    sent = [
        world.submit(node, key) for node in (new, nodes[1]) for key in keys
    ]
    sent += [
        world.query(node, key) for node in (new, nodes[1]) for key in keys
    ]
    assert set(answers(world, *sent)) == {R.OWNER_ENDED}


def test_planned_stop_hands_over(world, nodes):
    ran, unused = issue(world, nodes[0]), issue(world, nodes[0])
    answers(world, *(world.submit(nodes[0], key) for key in (KEY, ran)))
    refuse_once(world, nodes[0], 'refused')
    stop(world, nodes[0])
    kept = [world.submit(nodes[1], key) for key in (KEY, ran)]
    kept += [world.query(nodes[2], key) for key in (KEY, ran)]
    assert set(answers(world, *kept)) == {R.OK_KEPT}
    assert answers(world, world.query(nodes[1], unused)) == [R.KEY_NEVER_RAN]
    moved = [
        world.submit(node, key)
        for key in (unused, 'refused')
        for node in nodes[1:]
    ]
    assert sorted(r.name for r in answers(world, *moved)) == [
        'OK',
        'OK',
        'OK_KEPT',
        'OK_KEPT',
    ]


def test_planned_stop_without_the_platform_ends(world, nodes):
    key = issue(world, nodes[0])
    world.submit(nodes[0], key)
    platform_down(world, 0.5)
    world.act(nodes[0], nodes[0].ledger.start_drain)
    platform_down(world, 6.0)
    assert nodes[0].ledger.is_idle()
    world.crash(nodes[0].kernel.context.address)
    sent = world.submit(nodes[1], key)
    assert answers(world, sent) == [R.OWNER_UNREACHABLE]


@pytest.mark.parametrize('issued', [False, True])
def test_planned_stop_waits_for_what_runs(world, nodes, issued):
    key = issue(world, nodes[0])
    other = issue(world, nodes[0]) if issued else KEY
    sent = world.submit(nodes[0], key, timeout_s=60.0)
    world.act(nodes[0], nodes[0].ledger.start_drain)
    late = world.submit(nodes[0], other)
    world.deliver_all()
    world.advance(30.0)
    assert not nodes[0].ledger.is_idle()
    world.finish_run(world.open_runs()[0], worlds.COMPLETE)
    assert answers(world, sent, late) == [R.OK, R.LEAVING]
    assert nodes[0].ledger.is_idle()


def test_late_copy_of_a_refused_call_does_not_run(world, nodes):
    key = issue(world, nodes[0])
    sent = world.submit(nodes[1], key)
    world.deliver(keep=True)
    world.finish_run(world.runs[0], worlds.NOT_RUN)
    assert answers(world, sent) == [R.UPSTREAM_REFUSED]
    assert len(world.runs) == 1
    assert answers(world, world.submit(nodes[1], key)) == [R.OK]


def test_attempts_of_a_key_are_bounded(world, nodes):
    key = issue(world, nodes[0])
    for _ in range(3):
        sent = world.submit(nodes[0], key)
        world.finish_run(world.open_runs()[0], worlds.NOT_RUN)
        assert sent.answers[0].result is R.UPSTREAM_REFUSED
    sent = world.submit(nodes[1], key)
    assert answers(world, sent) == [R.ALLOWANCE_SPENT]


def test_expired_keys_are_refused_and_forgotten(world, nodes):
    issued = issue(world, nodes[0])
    answers(world, *(world.submit(nodes[0], key) for key in (issued, KEY)))
    world.advance(worlds.VALIDITY_S + 2.0)
    assert nodes[0].ledger.dump()['keys'] == 0
    sent = [world.submit(n, key) for n in nodes for key in (issued, KEY)]
    assert set(answers(world, *sent)) == {R.KEY_EXPIRED}


def test_full_ledger_forgets_nothing():
    world = worlds.World(max_keys=1)
    node, other = list(world.nodes_by_address.values())[:2]
    held, second = issue(world, node), issue(world, node)
    assert answers(world, world.submit(node, held)) == [R.OK]
    sent = [world.submit(node, key) for key in (second, KEY, held)]
    assert answers(world, *sent) == [
        R.LEDGER_FULL,
        R.LEDGER_FULL,
        R.OK_KEPT,
    ]
    forwarded = world.submit(other, second)
    assert answers(world, forwarded) == [R.CLAIM_UNREADABLE]


def test_large_answers_are_not_handed_over_in_part(world, nodes):
    key = issue(world, nodes[0])
    world.submit(nodes[0], key)
    world.finish_run(world.runs[0], worlds.COMPLETE, padding=5_000_000)
    stop(world, nodes[0])
    assert answers(world, world.submit(nodes[1], key)) == [R.ANSWER_NOT_KEPT]


@pytest.mark.parametrize(
    'change',
    [
        lambda key: '',
        lambda key: 'a' * 300,
        lambda key: 'a b',
        lambda key: 'schlüssel',
        lambda key: key + '0',
        lambda key: key[:-1] + ('0' if key[-1] != '0' else '1'),
        lambda key: key.replace('10.0.0.1', '10.0.0.2'),
        lambda key: 'rk1.',
    ],
)
def test_malformed_and_forged_keys_are_refused(world, nodes, change):
    key = change(issue(world, nodes[0]))
    sent = [world.submit(nodes[0], key), world.query(nodes[1], key)]
    assert {send.answers[0].result for send in sent} == {R.KEY_INVALID}


@pytest.mark.parametrize('value', [{}, {'owner': 1}, {'x': None}])
def test_unreadable_row_is_never_free(world, nodes, value):
    sent = world.submit(nodes[0], KEY)
    name = world.operations[0][1].operation.key
    row = worlds.table_service.Row(name, value, 1, 'w')
    world.rows_by_table['keys'] = {name: row}
    assert answers(world, sent) == [R.CLAIM_UNREADABLE]
    assert not world.runs


def test_late_copy_does_not_run_at_a_later_run_of_the_node(world, nodes):
    key = issue(world, nodes[0])
    sent = world.submit(nodes[1], key)
    late = world.messages[0]
    world.deliver()
    world.finish_run(world.runs[0], worlds.NOT_RUN)
    assert answers(world, sent) == [R.UPSTREAM_REFUSED]
    stop(world, nodes[0])
    new = world.start(nodes[0].kernel.context.address)
    refuse_once(world, new, key)
    world.messages.append(late)
    world.settle()
    assert len(world.runs) == 2


def test_closed_node_asks_who_took_over(world, nodes):
    keys = [issue(world, nodes[0]), issue(world, nodes[0])]
    refuse_once(world, nodes[0], keys[0])
    world.act(nodes[0], nodes[0].ledger.start_drain)
    world.settle(rounds=5)
    sent = [world.submit(nodes[1], key) for key in keys]
    assert answers(world, *sent) == [R.OK, R.OK]
    sent = [world.submit(nodes[0], key) for key in keys]
    sent += [world.query(nodes[0], key) for key in keys]
    assert set(answers(world, *sent)) == {R.OK_KEPT}
