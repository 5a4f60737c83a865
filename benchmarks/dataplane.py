"""Measures the processor time of each step of a request on the data path.

    python -m benchmarks.dataplane

prints one JSON object with the microseconds of processor time for each step.
Each figure is the minimum of several rounds, which limits the effect of other
work on the machine. Sockets are not included: the users' own benchmark
measures them.
"""

import json
import random
import time

from rosemarycrank import dataplane
from rosemarycrank.dataplane import _balance
from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _frame_reader
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _request_reader
from rosemarycrank.dataplane import _response_reader
from rosemarycrank.dataplane import _routes

ROUNDS = 7
CALLS_PER_ROUND = 5000

REQUEST = (
    b'GET /gallery/4711?size=2 HTTP/1.1\r\nHost: shop.example\r\n'
    b'X-Rosemarycrank-Request-Id: 9c41d07be2a35f68\r\n'
    b'X-Rosemarycrank-Deadline-Ms: 6000\r\nAccept: */*\r\n\r\n'
)
RESPONSE = (
    b'HTTP/1.1 200 OK\r\nX-Rosemarycrank-Request-Id: 9c41d07be2a35f68\r\n'
    b'X-Rosemarycrank-Response-Signature: 3e1b.07.5a2.600\r\n'
    b'Keep-Alive: timeout=10\r\nContent-Length: 600\r\n\r\n' + b'x' * 600
)


def _min_time_us(operation):
    min_s = None
    for _ in range(ROUNDS):
        started_at = time.process_time()
        for _ in range(CALLS_PER_ROUND):
            operation()
        time_s = (time.process_time() - started_at) / CALLS_PER_ROUND
        min_s = time_s if min_s is None else min(min_s, time_s)
    return round(min_s * 1e6, 2)


def _route():
    return _routes.Route(
        name='r-1',
        host=b'shop.example',
        path_prefix=b'/gallery/',
        services=(_routes.WeightedService('gallery', 1.0),),
        idempotent=True,
        max_attempts=2,
        timeout_s=6.0,
        latency_goal_s=1.5,
        priority=2,
    )


def _records(count):
    return tuple(
        _frames.TargetRecord(
            f'10.0.0.{number}:7620',
            f'i-{number}',
            'gallery',
            f'fd-{number % 3}',
            64,
            'ready',
            1,
            1,
        )
        for number in range(count)
    )


class _Peer:
    outstanding = 0
    sent_since_load = 3
    load = _frames.Load(12, 0, 60, 0.06)


def _operations_by_name():
    parsed_messages = []
    request_reader = _request_reader.RequestReader(
        _http1.Limits(), parsed_messages.append
    )
    response_reader = _response_reader.ResponseReader(parsed_messages.append)
    request_reader.feed(REQUEST)
    request = parsed_messages.pop()
    response_reader.feed(RESPONSE)
    response = parsed_messages.pop()
    names = dataplane.HeaderNames()
    route = _route()
    configuration = _routes.Configuration(1, (route,), _http1.Limits(), b'')
    records_3 = _records(3)
    records_40 = _records(40)
    peers_by_node = {record.node: _Peer() for record in records_40}
    chooser = _balance.ExpectedFinish('fd-0', random.Random(1))
    admission = _front.AdmitByCost(_costs.CallCosts('gallery'), len)
    attempt = _frames.Attempt(
        1, 'i-1', 0, 6000, 1500, 2, True, 'r-1', b'9c41d07b', b'h' * 200, b''
    )
    result = _frames.Result(1, 0, 0, 200, b'h' * 120, b'x' * 600, _Peer.load)
    encoded_attempt = _frames.encode(attempt)
    encoded_result = _frames.encode(result)
    frame_reader = _frame_reader.FrameReader()
    dropped_headers = names.set_by_nodes()

    def feed(reader, data):
        reader.feed(data)
        parsed_messages.pop().release()

    return {
        'read_request': lambda: feed(request_reader, REQUEST),
        'match_route': lambda: configuration.match(
            b'shop.example', request.target
        ),
        'admit': lambda: admission.admit(route, 'gallery'),
        'pass_headers': lambda: _http1.forwarded_headers(
            request, dropped_headers
        ),
        'choose_of_3': lambda: chooser.choose(
            records_3, peers_by_node, 1.5, 0.0
        ),
        'choose_of_40': lambda: chooser.choose(
            records_40, peers_by_node, 1.5, 0.0
        ),
        'encode_attempt': lambda: _frames.encode(attempt),
        'decode_attempt': lambda: frame_reader.feed(encoded_attempt),
        'read_response': lambda: feed(response_reader, RESPONSE),
        'pass_response_headers': lambda: _http1.forwarded_headers(
            response, frozenset()
        ),
        'encode_result': lambda: _frames.encode(result),
        'decode_result': lambda: frame_reader.feed(encoded_result),
    }


def main():
    """Measure all steps and print the figures."""
    figures = {
        name: _min_time_us(operation)
        for name, operation in _operations_by_name().items()
    }
    print(json.dumps({'unit': 'us', 'parts': figures}, indent=2))


if __name__ == '__main__':
    main()
