"""Result that a caller gets in each case.

The simulation also checks that no key runs twice and that no answer denies
a run.
"""

import pytest

from rosemarycrank import results
from rosemarycrank import stop_times
from tests.ledger import world

R = results.Result
KEY = 'client-key'
GRACE_S = 3.0
CLOSING_S = 1.0


def issue(simulation, node):
    return simulation.call_ledger(node, node.ledger.issue, 1)[0]


def settled_results(simulation, *sent):
    """Settle the simulation, and return the result of each send."""
    simulation.settle()
    return [send.answers[0].result for send in sent]


def advance_with_platform_down(simulation, seconds):
    """Advance the time while every operation on the platform fails."""
    for _ in range(round(seconds / 0.1)):
        while simulation.operations:
            simulation.answer_operation(fault='down')
        while simulation.messages:
            simulation.deliver()
        for run in simulation.open_runs():
            simulation.finish_run(run, world.COMPLETE)
        simulation.advance(0.1)


def stop(simulation, node):
    """Stop a node as planned, and remove it once it is idle."""
    simulation.call_ledger(node, node.ledger.start_drain)
    simulation.settle(rounds=5)
    assert node.ledger.is_idle()
    simulation.crash(node.kernel.context.address)


def begin_stop(simulation, node):
    """Begin the planned stop of a node, and return its times."""
    times = stop_times.plan(simulation.now, GRACE_S, closing_s=CLOSING_S)
    simulation.call_ledger(node, node.ledger.start_drain, times)
    return times


def refuse_once(simulation, node, key):
    """Submit a request that the upstream refuses as not run."""
    sent = simulation.submit(node, key)
    while not simulation.open_runs():
        simulation.deliver_all()
    simulation.finish_run(simulation.open_runs()[0], world.NOT_RUN)
    assert settled_results(simulation, sent) == [R.UPSTREAM_REFUSED]


def test_each_key_is_issued_once(simulation, nodes):
    """Not even at the same time, by another node or after a restart."""
    batches = [
        simulation.call_ledger(node, node.ledger.issue, 50)
        for node in [nodes[0], nodes[0], nodes[1]]
    ]
    address = nodes[0].kernel.context.address
    simulation.crash(address)
    restarted = simulation.start(address)
    batches.append(
        simulation.call_ledger(restarted, restarted.ledger.issue, 50)
    )
    issued = [key for batch in batches for key in batch]
    assert len(set(issued)) == 200


@pytest.mark.parametrize('issued', [False, True])
def test_resends_through_any_node_run_once(simulation, nodes, issued):
    key = issue(simulation, nodes[0]) if issued else KEY
    first = simulation.submit(nodes[0], key)
    assert settled_results(simulation, first) == [R.OK]
    resends = [simulation.submit(node, key) for node in nodes]
    queries = [simulation.query(node, key) for node in nodes]
    assert set(settled_results(simulation, *resends, *queries)) == {R.OK_KEPT}
    other = [simulation.submit(node, key, b'other') for node in nodes]
    assert set(settled_results(simulation, *other)) == {R.KEY_REUSED}
    assert len(simulation.runs) == 1
    assert simulation.writes == (0 if issued else 1)


def test_resends_join_the_running_request(simulation, nodes):
    key = issue(simulation, nodes[0])
    sent = [simulation.submit(node, key) for node in nodes]
    assert settled_results(simulation, *sent) == [R.OK, R.OK_KEPT, R.OK_KEPT]


def test_issued_keys_run_without_the_platform(simulation, nodes):
    keys = [issue(simulation, node) for node in nodes]
    sent = [simulation.submit(node, key) for node in nodes for key in keys]
    advance_with_platform_down(simulation, 1.0)
    assert {send.answers[0].result for send in sent} == {R.OK, R.OK_KEPT}
    assert len(simulation.runs) == 3


@pytest.mark.parametrize('issued', [False, True])
def test_kept_answers_need_no_platform(simulation, nodes, issued):
    """The owner answers resends from memory while the platform is down."""
    key = issue(simulation, nodes[0]) if issued else KEY
    settled_results(simulation, simulation.submit(nodes[0], key))
    resend = simulation.submit(nodes[0], key)
    advance_with_platform_down(simulation, 1.0)
    assert resend.answers[0].result is R.OK_KEPT


@pytest.mark.parametrize('query', [False, True])
def test_client_keys_are_not_run_without_the_platform(
    simulation, nodes, query
):
    """Without a readable claim, another node may own the key and run it."""
    if query:
        sent = simulation.query(nodes[0], KEY)
    else:
        sent = simulation.submit(nodes[0], KEY)
    advance_with_platform_down(simulation, 2.0)
    assert sent.answers[0].result is R.CLAIM_UNREADABLE
    assert not simulation.runs


@pytest.mark.parametrize('fault', ['lost', 'late'])
def test_lost_answer_to_a_claim_is_read_back(simulation, nodes, fault):
    """A claim with a lost reply must be read back before the request runs."""
    sent = simulation.submit(nodes[0], KEY)
    simulation.answer_operation()
    simulation.answer_operation(fault=fault)
    assert not simulation.runs
    assert settled_results(simulation, sent) == [R.OK]


def test_racing_claims_have_one_owner(simulation, nodes):
    """Concurrent first sends to several nodes must not run more than once."""
    sent = [simulation.submit(node, KEY) for node in nodes]
    assert sorted(r.name for r in settled_results(simulation, *sent)) == [
        'OK',
        'OK_KEPT',
        'OK_KEPT',
    ]
    assert simulation.writes == 3


def test_paused_owner_still_owns(simulation, nodes):
    """A node that is silent for long keeps its keys; no other runs them."""
    key = issue(simulation, nodes[0])
    nodes[0].paused = True
    early = simulation.submit(nodes[1], key)
    simulation.advance(100.0)
    assert early.answers[0].result is R.OWNER_UNREACHABLE
    nodes[0].paused = False
    assert settled_results(simulation, simulation.submit(nodes[1], key)) == [
        R.OK_KEPT
    ]
    assert len(simulation.runs) == 1


def test_key_of_a_crashed_owner_is_unknown(simulation, nodes):
    """A crashed owner may have run its keys, so no answer may be "not run"."""
    keys = [issue(simulation, nodes[0]), KEY]
    settled_results(
        simulation, *(simulation.submit(nodes[0], key) for key in keys)
    )
    address = nodes[0].kernel.context.address
    simulation.crash(address)
    unreachable = [simulation.submit(nodes[1], key) for key in keys]
    assert set(settled_results(simulation, *unreachable)) == {
        R.OWNER_UNREACHABLE
    }
    restarted = simulation.start(address)
    sent = [
        simulation.submit(node, key)
        for node in (restarted, nodes[1])
        for key in keys
    ]
    sent += [
        simulation.query(node, key)
        for node in (restarted, nodes[1])
        for key in keys
    ]
    assert set(settled_results(simulation, *sent)) == {R.OWNER_ENDED}


def test_planned_stop_hands_over(simulation, nodes):
    """After a planned stop, others answer kept keys and run unused ones."""
    ran, unused = issue(simulation, nodes[0]), issue(simulation, nodes[0])
    settled_results(
        simulation, *(simulation.submit(nodes[0], key) for key in (KEY, ran))
    )
    refuse_once(simulation, nodes[0], 'refused')
    stop(simulation, nodes[0])
    kept = [simulation.submit(nodes[1], key) for key in (KEY, ran)]
    kept += [simulation.query(nodes[2], key) for key in (KEY, ran)]
    assert set(settled_results(simulation, *kept)) == {R.OK_KEPT}
    assert settled_results(simulation, simulation.query(nodes[1], unused)) == [
        R.KEY_NEVER_RAN
    ]
    moved = [
        simulation.submit(node, key)
        for key in (unused, 'refused')
        for node in nodes[1:]
    ]
    assert sorted(r.name for r in settled_results(simulation, *moved)) == [
        'OK',
        'OK',
        'OK_KEPT',
        'OK_KEPT',
    ]


def test_planned_stop_without_the_platform_ends(simulation, nodes):
    """A stop gives up the closing record; the key then stays unknown."""
    key = issue(simulation, nodes[0])
    simulation.submit(nodes[0], key)
    advance_with_platform_down(simulation, 0.5)
    simulation.call_ledger(nodes[0], nodes[0].ledger.start_drain)
    advance_with_platform_down(simulation, 6.0)
    assert nodes[0].ledger.is_idle()
    simulation.crash(nodes[0].kernel.context.address)
    sent = simulation.submit(nodes[1], key)
    assert settled_results(simulation, sent) == [R.OWNER_UNREACHABLE]


@pytest.mark.parametrize('issued', [False, True])
def test_planned_stop_waits_for_what_runs(simulation, nodes, issued):
    """A closing record written during a run would miss the outcome."""
    key = issue(simulation, nodes[0])
    other = issue(simulation, nodes[0]) if issued else KEY
    sent = simulation.submit(nodes[0], key, timeout_s=60.0)
    simulation.call_ledger(nodes[0], nodes[0].ledger.start_drain)
    late = simulation.submit(nodes[0], other)
    simulation.deliver_all()
    simulation.advance(30.0)
    assert not nodes[0].ledger.is_idle()
    simulation.finish_run(simulation.open_runs()[0], world.COMPLETE)
    assert settled_results(simulation, sent, late) == [R.OK, R.LEAVING]
    assert nodes[0].ledger.is_idle()


# Guards against a second run of a key whose run the end of a drain cut off.
@pytest.mark.parametrize('issued', [False, True])
def test_end_of_a_drain_leaves_what_runs_unknown(simulation, nodes, issued):
    key = issue(simulation, nodes[0]) if issued else KEY
    sent = simulation.submit(nodes[0], key, timeout_s=60.0)
    simulation.deliver_all()
    simulation.deliver_all()
    assert len(simulation.open_runs()) == 1
    begin_stop(simulation, nodes[0])
    simulation.call_ledger(nodes[0], nodes[0].ledger.end_drain)
    assert sent.answers[0].result is R.ANSWER_LOST
    simulation.deliver_all()
    simulation.deliver_all()
    assert nodes[0].ledger.is_idle()
    simulation.crash(nodes[0].kernel.context.address)
    later = [simulation.submit(node, key) for node in nodes[1:]]
    later.append(simulation.query(nodes[1], key))
    assert set(settled_results(simulation, *later)) == {R.ANSWER_LOST}
    assert len(simulation.runs) == 1


# Guards against a send that waits for the table or another owner when the
# process exits.
def test_end_of_a_drain_answers_sends_that_wait(simulation, nodes):
    other = issue(simulation, nodes[1])
    sent = [
        simulation.submit(nodes[0], KEY, timeout_s=60.0),
        simulation.submit(nodes[0], other, timeout_s=60.0),
    ]
    begin_stop(simulation, nodes[0])
    simulation.call_ledger(nodes[0], nodes[0].ledger.end_drain)
    results_of_sends = [send.answers[0].result for send in sent]
    assert results_of_sends == [R.CLAIM_UNREADABLE, R.OWNER_UNREACHABLE]
    assert all(send.answers[0].retry_after_s > 0 for send in sent)


# Guards against a closing record that is waited for after the grace period.
def test_closing_record_is_given_up_before_the_exit(simulation, nodes):
    issue(simulation, nodes[0])
    times = begin_stop(simulation, nodes[0])
    advance_with_platform_down(simulation, times.exits_at - simulation.now)
    assert nodes[0].ledger.is_idle()


# Guards against a deadline at the owner that is beyond the end of the drain.
def test_send_that_a_stop_forwards_has_to_end_in_the_drain(simulation, nodes):
    key = issue(simulation, nodes[1])
    times = begin_stop(simulation, nodes[0])
    simulation.submit(nodes[0], key, timeout_s=60.0)
    ((_, _, message),) = simulation.messages
    assert message.remaining_s == pytest.approx(
        times.runs_end_at - simulation.now
    )


# Guards against a refusal that does not say when to come back.
def test_refusal_during_a_stop_has_a_retry_after_time(simulation, nodes):
    refuse_once(simulation, nodes[0], 'refused')
    simulation.submit(nodes[0], issue(simulation, nodes[0]))
    assert len(simulation.open_runs()) == 1
    begin_stop(simulation, nodes[0])
    sent = simulation.submit(nodes[0], 'refused')
    assert sent.answers[0].result is R.LEAVING
    assert sent.answers[0].retry_after_s > 0


def test_late_copy_of_a_refused_call_does_not_run(simulation, nodes):
    """A duplicate of a call answered as not run must not run the request."""
    key = issue(simulation, nodes[0])
    sent = simulation.submit(nodes[1], key)
    simulation.deliver(keep=True)
    simulation.finish_run(simulation.runs[0], world.NOT_RUN)
    assert settled_results(simulation, sent) == [R.UPSTREAM_REFUSED]
    assert len(simulation.runs) == 1
    assert settled_results(simulation, simulation.submit(nodes[1], key)) == [
        R.OK
    ]


def test_attempts_of_a_key_are_bounded(simulation, nodes):
    """Sends with one key share its retry allowance, through any node."""
    key = issue(simulation, nodes[0])
    for _ in range(3):
        sent = simulation.submit(nodes[0], key)
        simulation.finish_run(simulation.open_runs()[0], world.NOT_RUN)
        assert sent.answers[0].result is R.UPSTREAM_REFUSED
    sent = simulation.submit(nodes[1], key)
    assert settled_results(simulation, sent) == [R.ALLOWANCE_SPENT]


def test_expired_keys_are_refused_and_forgotten(simulation, nodes):
    issued = issue(simulation, nodes[0])
    settled_results(
        simulation,
        *(simulation.submit(nodes[0], key) for key in (issued, KEY)),
    )
    simulation.advance(world.VALIDITY_S + 2.0)
    assert nodes[0].ledger.dump()['keys'] == 0
    sent = [simulation.submit(n, key) for n in nodes for key in (issued, KEY)]
    assert set(settled_results(simulation, *sent)) == {R.KEY_EXPIRED}


def test_full_ledger_forgets_nothing():
    """At the limit, new keys are refused; removing one could run it again."""
    simulation = world.Simulation(max_keys=1)
    node, other = list(simulation.nodes_by_address.values())[:2]
    held, second = issue(simulation, node), issue(simulation, node)
    assert settled_results(simulation, simulation.submit(node, held)) == [R.OK]
    sent = [simulation.submit(node, key) for key in (second, KEY, held)]
    assert settled_results(simulation, *sent) == [
        R.LEDGER_FULL,
        R.LEDGER_FULL,
        R.OK_KEPT,
    ]
    forwarded = simulation.submit(other, second)
    assert settled_results(simulation, forwarded) == [R.CLAIM_UNREADABLE]


def test_large_answers_are_not_handed_over_in_part(simulation, nodes):
    """An answer too large for a closing record is omitted, not truncated."""
    key = issue(simulation, nodes[0])
    simulation.submit(nodes[0], key)
    simulation.finish_run(
        simulation.runs[0], world.COMPLETE, padding=5_000_000
    )
    stop(simulation, nodes[0])
    assert settled_results(simulation, simulation.submit(nodes[1], key)) == [
        R.ANSWER_NOT_KEPT
    ]


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
def test_malformed_and_forged_keys_are_refused(simulation, nodes, change):
    key = change(issue(simulation, nodes[0]))
    sent = [simulation.submit(nodes[0], key), simulation.query(nodes[1], key)]
    assert {send.answers[0].result for send in sent} == {R.KEY_INVALID}


@pytest.mark.parametrize('value', [{}, {'owner': 1}, {'x': None}])
def test_unreadable_row_is_never_free(simulation, nodes, value):
    """A row in an unknown format may belong to an owner that ran the key."""
    sent = simulation.submit(nodes[0], KEY)
    name = simulation.operations[0][1].operation.key
    row = world.table_service.Row(name, value, 1, 'w')
    simulation.rows_by_table['keys'] = {name: row}
    assert settled_results(simulation, sent) == [R.CLAIM_UNREADABLE]
    assert not simulation.runs


def test_late_copy_does_not_run_at_a_later_run_of_the_node(simulation, nodes):
    """A call for an ended incarnation must not run at the restarted node."""
    key = issue(simulation, nodes[0])
    sent = simulation.submit(nodes[1], key)
    late = simulation.messages[0]
    simulation.deliver()
    simulation.finish_run(simulation.runs[0], world.NOT_RUN)
    assert settled_results(simulation, sent) == [R.UPSTREAM_REFUSED]
    stop(simulation, nodes[0])
    restarted = simulation.start(nodes[0].kernel.context.address)
    refuse_once(simulation, restarted, key)
    simulation.messages.append(late)
    simulation.settle()
    assert len(simulation.runs) == 2


def test_closed_node_asks_who_took_over(simulation, nodes):
    """A closed node must not answer "not run" for a key that moved and ran."""
    keys = [issue(simulation, nodes[0]), issue(simulation, nodes[0])]
    refuse_once(simulation, nodes[0], keys[0])
    simulation.call_ledger(nodes[0], nodes[0].ledger.start_drain)
    simulation.settle(rounds=5)
    sent = [simulation.submit(nodes[1], key) for key in keys]
    assert settled_results(simulation, *sent) == [R.OK, R.OK]
    sent = [simulation.submit(nodes[0], key) for key in keys]
    sent += [simulation.query(nodes[0], key) for key in keys]
    assert set(settled_results(simulation, *sent)) == {R.OK_KEPT}
