"""Planned stops whose requests outlast the drain.

The tests guard against requests without an answer when the process exits or
is killed at the end of the grace period, and against requests that are
reported as not run although they may have run.
"""

import attrs
import pytest

from rosemarycrank import admission
from rosemarycrank import bundles
from rosemarycrank.calls import _lifecycle
from rosemarycrank import kernel
from rosemarycrank import results
from rosemarycrank import stop_times
from tests.calls import network as network_module

STOPPING = 'n0:1'
OTHER = 'n1:1'
GRACE_S = 6.0
RUN_S = 3 * GRACE_S
STOP_AT_S = 1.0

#: Times of a stop that begins at `STOP_AT_S`.
STOP_TIMES = stop_times.plan(STOP_AT_S, GRACE_S, _lifecycle.CLOSING_S)

BUNDLE = attrs.evolve(
    network_module.BUNDLE,
    classes_by_name={
        name: attrs.evolve(request_class, deadline_s=1e4)
        for name, request_class in (
            network_module.BUNDLE.classes_by_name.items()
        )
    },
    rules=(
        bundles.Rule('s', 'paid', method='POST'),
        bundles.Rule('s1', 'paid', method='POST'),
        bundles.Rule('s', 'read'),
        bundles.Rule('s1', 'read'),
    ),
)


def serve_after(delay_s):
    """Return an upstream that answers after a delay."""

    def upstream(network, address, call):
        network.schedule(
            delay_s, lambda: network_module.serve(network, address, call)
        )

    return upstream


class _CallingUpstream:
    """Upstream whose requests call service ``s1`` when the test says so."""

    def __init__(self, network):
        self.network = network
        self.tokens = []
        self.answers = []

    def __call__(self, network, address, call):
        self.tokens.append(call.token)
        serve_after(RUN_S)(network, address, call)

    def call(self, method='GET', key=''):
        """Call service ``s1`` for the first request that runs."""
        self.network.nested_call(
            STOPPING,
            self.tokens[0],
            's1',
            f'/{key or "nested"}',
            self.answers.append,
            method=method,
            key=key,
        )


class _Stop:
    """A node that stops while its upstream runs a request."""

    def __init__(self, run_s, controller=None):
        self.network = network_module.Network()
        self.upstream = _CallingUpstream(self.network)
        self.network.add_node(
            STOPPING, 's', self.upstream, controller, BUNDLE, GRACE_S
        )
        self.network.add_node(OTHER, 's1', serve_after(run_s), bundle=BUNDLE)
        self.network.run(0.5)
        self.send(OTHER, 'running')
        self.network.run(0.8)

    def begin(self):
        """Begin the stop; kill the process at the end of the grace period."""
        network = self.network
        network.run(STOP_AT_S)
        network.deliver(STOPPING, kernel.DrainRequested(stop=True))
        network.schedule(GRACE_S, lambda: network.crash(STOPPING))

    def run(self, seconds):
        """Let seconds pass after the beginning of the stop."""
        self.network.run(STOP_AT_S + seconds)

    def send(self, address, request_id, method='GET', **fields):
        """Send a request of a client."""
        self.network.send_request(address, request_id, method, **fields)

    def answer(self, request_id):
        """Return the answer to a request of a client; None without one."""
        return self.network.answers_by_request_id.get(request_id)

    def entry_counter(self, name):
        """Return a counter of the other node."""
        node = self.network.hosts_by_address[OTHER].kernel
        return node.context.counters.get(name, 0)


@pytest.fixture
def start_stop():
    """Function that has a node stop whose calls take some time."""

    def start_stop(run_s=RUN_S, controller=None, before=None):
        stop = _Stop(run_s, controller)
        if before is not None:
            before(stop)
        stop.begin()
        return stop

    return start_stop


# Guards against a call of the local upstream that is accepted during a stop,
# outlasts the drain and gets no answer.
@pytest.mark.parametrize('accepted_after_s', [0.1, 1.0, 3.0, 3.2])
def test_late_call_is_answered_as_unknown(start_stop, accepted_after_s):
    stop = start_stop()
    stop.run(accepted_after_s)
    stop.upstream.call()
    stop.run(GRACE_S)
    (answer,) = stop.upstream.answers
    assert answer.result.outcome is results.Outcome.UNKNOWN
    assert stop.network.count_runs('/nested') == 1
    assert stop.network.stopped_addresses == [STOPPING]


# Guards against a call that the drain cuts although its target has answered.
def test_late_call_that_ends_in_the_drain_is_complete(start_stop):
    stop = start_stop(run_s=0.8)
    stop.run(3.0)
    stop.upstream.call()
    stop.run(GRACE_S)
    (answer,) = stop.upstream.answers
    assert answer.result is results.Result.OK


# Guards against a deadline beyond the end of the drain at the target.
def test_late_call_has_to_end_before_the_drain(start_stop):
    remaining_s = []

    def upstream(network, address, call):
        remaining_s.append(call.timeout_s)

    stop = start_stop()
    stop.network.hosts_by_address[OTHER].upstream = upstream
    stop.run(3.0)
    stop.upstream.call()
    stop.run(3.1)
    latest_s = STOP_TIMES.runs_end_at - (STOP_AT_S + 3.0)
    assert 0 < remaining_s[0] <= latest_s


# Guards against retries that the drain cuts.
def test_late_call_is_not_retried_beyond_its_latest_end(start_stop):
    def refuse_late(network, address, call):
        network.schedule(
            0.5, lambda: network_module.refuse(network, address, call)
        )

    stop = start_stop()
    stop.network.hosts_by_address[OTHER].upstream = refuse_late
    for address in ('n2:1', 'n3:1'):
        stop.network.add_node(address, 's1', refuse_late, bundle=BUNDLE)
    stop.run(3.25)
    stop.upstream.call()
    stop.run(GRACE_S)
    arrivals = [a for a in stop.network.arrivals if a.path == '/nested']
    assert len(arrivals) == 1
    assert arrivals[0].time < STOP_TIMES.runs_end_at
    assert len(stop.upstream.answers) == 1


# Guards against calls that are accepted when they can't end any more.
@pytest.mark.parametrize('method, key', [('GET', ''), ('POST', 'paid')])
def test_call_that_can_not_end_in_the_drain_is_refused(
    start_stop, method, key
):
    stop = start_stop()
    stop.run(4.0)
    stop.upstream.call(method, key)
    stop.run(4.2)
    (answer,) = stop.upstream.answers
    assert answer.result is results.Result.LEAVING
    assert answer.retry_after_s > 0
    assert stop.network.count_runs(f'/{key or "nested"}') == 0


# Guards against a queued request that is cut without an answer, or that is
# reported as unknown although it has not run.
@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_queued_request_is_refused_as_not_run(start_stop, method):
    stop = start_stop(
        controller=admission.AdaptiveLimit(min_limit=1, initial_limit=1),
        before=lambda stop: stop.send(OTHER, 'queued', method),
    )
    assert stop.network.count_runs('/queued') == 0
    stop.run(GRACE_S)
    answer = stop.answer('queued')
    assert answer.result.outcome is results.Outcome.NOT_RUN
    assert answer.retry_after_s > 0
    stop.run(2 * RUN_S)
    assert stop.network.count_runs('/queued') == 0


# Guards against a run that the entry node waits for after the target's node
# has exited.
@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_run_of_another_node_is_answered_as_unknown(start_stop, method):
    stop = start_stop(
        before=lambda stop: stop.send(OTHER, 'outlasts', method),
    )
    stop.run(GRACE_S)
    answer = stop.answer('outlasts')
    assert answer.result.outcome is results.Outcome.UNKNOWN
    assert stop.network.count_runs('/outlasts') == 1


# Guards against a client's request that is cut without an answer.
@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('service', ['s', 's1'])
def test_request_of_a_client_is_answered_as_unknown(
    start_stop, method, service
):
    stop = start_stop(
        before=lambda stop: stop.send(
            STOPPING, 'early', method, service=service
        ),
    )
    stop.run(GRACE_S)
    answer = stop.answer('early')
    assert answer.result.outcome is results.Outcome.UNKNOWN
    assert stop.network.count_runs('/early') == 1


# Guards against "unknown" for a request that was never sent on.
def test_request_that_was_not_sent_is_answered_as_not_run(start_stop):
    def before(stop):
        stop.network.cut_links.add(frozenset((STOPPING, OTHER)))
        stop.send(STOPPING, 'unsent', service='s1')

    stop = start_stop(before=before)
    stop.run(GRACE_S)
    answer = stop.answer('unsent')
    assert answer.result.outcome is results.Outcome.NOT_RUN
    assert stop.network.count_runs('/unsent') == 0


# Guards against a stop that waits for the end of the grace period.
def test_idle_node_exits_at_once():
    network = network_module.Network()
    network.add_node(STOPPING, 's', grace_s=GRACE_S)
    network.run(STOP_AT_S)
    network.deliver(STOPPING, kernel.DrainRequested(stop=True))
    network.run(STOP_AT_S + 1.2)
    assert network.stopped_addresses == [STOPPING]


# Guards against grace periods that are too short for the margins.
@pytest.mark.parametrize('grace_s', [1.0, 2.0, 5.0, 30.0, 600.0])
def test_every_request_is_answered_within_the_grace_period(grace_s):
    network = network_module.Network()
    for address in (STOPPING, OTHER):
        network.add_node(
            address,
            's',
            serve_after(3 * grace_s),
            bundle=BUNDLE,
            grace_s=grace_s,
        )
    network.run(0.5)
    for number in range(8):
        network.send_request(
            STOPPING,
            f'r{number}',
            ('GET', 'POST')[number % 2],
        )
    network.run(STOP_AT_S)
    network.deliver(STOPPING, kernel.DrainRequested(stop=True))
    network.run(STOP_AT_S + grace_s)
    assert network.stopped_addresses == [STOPPING]
    assert len(network.answers_by_request_id) == 8
