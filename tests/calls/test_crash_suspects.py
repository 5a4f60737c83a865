"""Requests that end the upstreams that run them don't take a service down."""

import itertools
import random

import pytest

from rosemarycrank.calls import _crash_suspects
from rosemarycrank import kernel
from rosemarycrank import results
from tests.calls import network as network_module

ENTRIES = ('e0:1', 'e1:1', 'e2:1')
TARGETS = ('n0:1', 'n1:1', 'n2:1', 'n3:1')
DEADLY = '/deadly'

#: Time for which a run of a deadly request lasts, for which an upstream is
#: down after a crash, and for which others run, in seconds.
DEADLY_RUN_S = 0.05
DOWN_S = 3.0
RUN_S = 0.02


class _Upstream:
    """Upstream that deadly requests end, and that starts again.

    Attributes
    ----------
    ends : list of float
        Times at which it ended.
    is_sound : bool
        Whether deadly requests are harmless by now.
    """

    def __init__(self):
        self.ends = []
        self.is_sound = False
        self._tokens = set()

    def __call__(self, network, address, call):
        if self.ends and network.now < self.ends[-1] + DOWN_S:
            self._answer(
                network, address, call.token, results.Result.CONNECT_FAILED
            )
            return
        self._tokens.add(call.token)
        if call.path.startswith(DEADLY) and not self.is_sound:
            network.schedule(DEADLY_RUN_S, lambda: self.end(network, address))
        else:
            network.schedule(
                RUN_S, lambda: self._finish(network, address, call.token)
            )

    def end(self, network, address):
        """End the process; all of its runs are lost."""
        if not self._tokens:
            return
        self.ends.append(network.now)
        tokens, self._tokens = sorted(self._tokens), set()
        for token in tokens:
            answer = kernel.UpstreamAnswer(
                token, results.Result.ANSWER_LOST, process_ended=True
            )
            network.deliver(address, answer)

    def _finish(self, network, address, token):
        if token in self._tokens:
            self._tokens.discard(token)
            self._answer(network, address, token, results.Result.OK)

    def _answer(self, network, address, token, result):
        answer = kernel.UpstreamAnswer(token, result, 200, {}, b'ok')
        network.schedule(0.001, lambda: network.deliver(address, answer))


class _Service:
    """Entry nodes and targets of one service, and its clients."""

    def __init__(self, seed=1):
        self.network = network_module.Network(seed)
        for address in ENTRIES:
            self.network.add_node(address, 'front')
        self.upstreams = []
        for address in TARGETS:
            upstream = _Upstream()
            self.upstreams.append(upstream)
            self.network.add_node(address, 's', upstream)
        self.network.run(0.5)
        self._numbers = itertools.count()

    @property
    def end_count(self):
        return sum(len(upstream.ends) for upstream in self.upstreams)

    def send(self, path, entry=None):
        """Send a request and return its identifier."""
        number = next(self._numbers)
        request_id = f'r{number}'
        address = entry or ENTRIES[number % len(ENTRIES)]
        self.network.send_request(address, request_id, path=path)
        return request_id

    def run(self, seconds):
        self.network.run(self.network.now + seconds)

    def result(self, request_id):
        return self.network.answers_by_request_id[request_id].result


@pytest.fixture
def service():
    return _Service()


# Guards against a service that goes down as one request comes again and again,
# at any node and under other identifiers.
def test_repeats_of_a_deadly_request_end_two_upstreams_at_most(service):
    for _ in range(100):
        service.send(DEADLY)
        service.run(0.3)
    assert service.end_count == 2


def test_deadly_request_is_refused_with_a_true_outcome(service):
    requests = []
    for _ in range(10):
        requests.append(service.send(DEADLY))
        service.run(0.3)
    outcomes = [service.result(request).outcome for request in requests]
    assert outcomes[0] is results.Outcome.UNKNOWN
    assert service.result(requests[-1]) is results.Result.CRASH_SUSPECT
    assert outcomes[-1] is results.Outcome.NOT_RUN


def test_each_deadly_request_ends_two_upstreams_at_most(service):
    paths = [f'{DEADLY}/{number}' for number in range(5)]
    for _ in range(60):
        for path in paths:
            service.send(path)
        service.run(1.0)
    assert service.end_count <= 2 * len(paths)


# Guards against innocent requests that are refused, as they ran beside it.
def test_few_innocent_requests_are_refused(service):
    generator = random.Random(1)
    requests = []
    for number in range(3000):
        path = f'/read/{generator.randrange(300)}'
        if number % 33 == 0:
            path = DEADLY
        requests.append((path, service.send(path)))
        service.run(0.01)
    service.run(5.0)
    innocent = [request for path, request in requests if path != DEADLY]
    refused = [
        request
        for request in innocent
        if service.result(request) is results.Result.CRASH_SUSPECT
    ]
    assert len(refused) <= 0.01 * len(innocent)


def test_upstreams_that_crash_for_another_reason_put_nothing_under_suspicion(
    service,
):
    requests = []
    for number in range(200):
        requests.append(service.send(f'/read/{number % 5}'))
        service.run(0.01)
        if number % 20 == 10:
            upstream = service.upstreams[number // 20 % len(TARGETS)]
            index = service.upstreams.index(upstream)
            upstream.end(service.network, TARGETS[index])
    service.run(5.0)
    results_of_late = [service.result(request) for request in requests[-40:]]
    assert results.Result.CRASH_SUSPECT not in results_of_late


def test_request_that_is_harmless_by_now_is_served_again(service):
    for _ in range(10):
        service.send(DEADLY)
        service.run(0.3)
    for upstream in service.upstreams:
        upstream.is_sound = True
    service.run(_crash_suspects.MIN_REFUSAL_S)
    requests = [service.send(DEADLY) for _ in range(3)]
    service.run(1.0)
    assert {service.result(r) for r in requests} == {results.Result.OK}


def test_memory_is_bounded(service):
    suspects = _crash_suspects.CrashSuspects(
        service.network.hosts_by_address[ENTRIES[0]].kernel.context, set
    )
    for number in range(_crash_suspects.MAX_REQUESTS + 10):
        suspects.record_lost_run(f'{number}')
    assert len(suspects) == _crash_suspects.MAX_REQUESTS


def test_digest_stands_for_the_request_not_its_identifier():
    def request(**changes):
        fields = {
            'request_id': 'r1',
            'service': 's',
            'method': 'GET',
            'path': '/a',
            'headers': {},
            'body': b'x',
        }
        return kernel.ClientRequest(**(fields | changes))

    digest = _crash_suspects.digest_of(request())
    assert _crash_suspects.digest_of(request(request_id='r2')) == digest
    for changes in (
        {'service': 't'},
        {'method': 'POST'},
        {'path': '/b'},
        {'body': b'y'},
    ):
        assert _crash_suspects.digest_of(request(**changes)) != digest
