"""Processor time of each part of a visit on the data path.

    python -m benchmarks.dataplane

prints one JSON object: microseconds of processor time for each part, the
least of several rounds, so that other work on the machine counts little.
No sockets: the bench of the users charges those.
"""

import json
import random
import time

from rosemarycrank import dataplane
from rosemarycrank.dataplane import _balance
from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _routes

ROUNDS = 7
CALLS = 5000

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


def _least_us(call):
    best = None
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(CALLS):
            call()
        taken = (time.process_time() - started) / CALLS
        best = taken if best is None else min(best, taken)
    return round(best * 1e6, 2)


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


def _parts():
    messages = []
    requests = _http1.RequestReader(_http1.Limits(), messages.append)
    responses = _http1.ResponseReader(messages.append)
    requests.feed(REQUEST)
    request = messages.pop()
    responses.feed(RESPONSE)
    response = messages.pop()
    names = dataplane.HeaderNames()
    route = _route()
    configuration = _routes.Configuration(1, (route,), _http1.Limits(), b'')
    records = _records(3)
    many = _records(40)
    peers = {record.node: _Peer() for record in many}
    chooser = _balance.ExpectedFinish('fd-0', random.Random(1))
    front = _front.AdmitByCost(_costs.CallCosts('gallery'), len)
    attempt = _frames.Attempt(
        1, 'i-1', 0, 6000, 1500, 2, True, 'r-1', b'9c41d07b', b'h' * 200, b''
    )
    result = _frames.Result(1, 0, 0, 200, b'h' * 120, b'x' * 600, _Peer.load)
    encoded_attempt = _frames.encode(attempt)
    encoded_result = _frames.encode(result)
    frames = _frames.FrameReader()
    dropped = names.set_by_nodes()

    def read(reader, data):
        reader.feed(data)
        messages.clear()

    return {
        'read_request': lambda: read(requests, REQUEST),
        'match_route': lambda: configuration.match(
            b'shop.example', request.target
        ),
        'admit': lambda: front.admit(route, 'gallery'),
        'pass_headers': lambda: _http1.forwarded_headers(request, dropped),
        'choose_of_3': lambda: chooser.choose(records, peers, 1.5, 0.0),
        'choose_of_40': lambda: chooser.choose(many, peers, 1.5, 0.0),
        'encode_attempt': lambda: _frames.encode(attempt),
        'decode_attempt': lambda: frames.feed(encoded_attempt),
        'read_response': lambda: read(responses, RESPONSE),
        'pass_response_headers': lambda: _http1.forwarded_headers(
            response, frozenset()
        ),
        'encode_result': lambda: _frames.encode(result),
        'decode_result': lambda: frames.feed(encoded_result),
    }


def main():
    """Measure and print all parts."""
    figures = {name: _least_us(call) for name, call in _parts().items()}
    print(json.dumps({'unit': 'us', 'parts': figures}, indent=2))


if __name__ == '__main__':
    main()
