"""Compares messages over pynng with HTTP between two processes.

Each variant sends the same attempt, 300 bytes of body, from one process to
another and back, at several rates. Prints a table and writes the figures to
``benchmarks/results/transport.json``.
"""

import json
import multiprocessing
import pathlib
import resource
import statistics
import time

import falcon
import gevent
from gevent import event

from rosemarycrank import http_client
from rosemarycrank import kernel
from rosemarycrank import messages
from rosemarycrank.node import _transport
from rosemarycrank.node import _web

RESULTS = pathlib.Path(__file__).parent / 'results' / 'transport.json'
KEY = b'k' * 32
RATES_PER_S = (75, 500)
CALLS = 1500
ROUNDS = 3
SERVER = '127.0.0.1:17911'
CLIENT = '127.0.0.1:17912'
HTTP = '127.0.0.1:17913'


def make_attempt(number):
    """Return an attempt of ordinary size."""
    return messages.Attempt(
        attempt_id=str(number),
        request_id=f'{number:032x}',
        service='registro-socios',
        method='GET',
        path='/clubs/17/roster',
        headers={'Accept': 'application/json'},
        body=b'x' * 300,
        context=messages.CallContext(),
        remaining_s=1.0,
        target_incarnation=1,
        target_tick=1.0,
    )


def make_reply(attempt_id):
    """Return the reply to an attempt."""
    return messages.AttemptReply(attempt_id, 100, 1, 1.0, body=b'x' * 300)


def _processor_s():
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


class PushPull:
    """Messages over push and pull sockets."""

    name = 'pynng push/pull'

    def serve(self, ready, usage):
        """Answer attempts until the process is ended."""
        codec = messages.Codec(KEY, SERVER)
        transport = _transport.Transport(
            SERVER,
            SERVER,
            codec,
            lambda received: self._answer(transport, received),
        )
        transport.start()
        ready.set()
        _report_usage(usage)

    def connect(self):
        """Open the client's side."""
        self._waiting = {}
        codec = messages.Codec(KEY, CLIENT)
        self._transport = _transport.Transport(
            CLIENT, CLIENT, codec, self._take
        )
        self._transport.start()

    def call(self, number):
        """Send one attempt and wait for its reply."""
        waiting = event.Event()
        self._waiting[str(number)] = waiting
        attempt = make_attempt(number)
        self._transport.send(kernel.Send(SERVER, attempt))
        waiting.wait(timeout=5.0)

    def _answer(self, transport, received):
        if isinstance(received, kernel.Received):
            reply = make_reply(received.message.attempt_id)
            transport.send(kernel.Send(received.sender, reply))

    def _take(self, received):
        if isinstance(received, kernel.Received):
            self._waiting.pop(received.message.attempt_id).set()


class Http:
    """The same messages as bodies of HTTP requests."""

    name = 'HTTP'

    def serve(self, ready, usage):
        """Answer attempts until the process is ended."""
        codec = messages.Codec(KEY, SERVER)
        application = falcon.App()

        def answer(req, resp, **parameters):
            _, attempt = codec.decode(req.bounded_stream.read())
            resp.data = codec.encode(make_reply(attempt.attempt_id))

        application.add_sink(answer, '/')
        _web.Server(HTTP, application, 256).start()
        ready.set()
        _report_usage(usage)

    def connect(self):
        """Open the client's side."""
        host, _, port = HTTP.rpartition(':')
        self._client = http_client.Client(host, int(port))
        self._codec = messages.Codec(KEY, CLIENT)

    def call(self, number):
        """Send one attempt and wait for its reply."""
        frame = self._codec.encode(make_attempt(number))
        answer = self._client.request('POST', '/', frame, timeout_s=5.0)
        self._codec.decode(answer.body)


def _report_usage(usage):
    while True:
        usage.value = _processor_s()
        gevent.sleep(0.05)


def measure(variant, rate_per_s):
    """Return latency percentiles and processor time of one variant.

    Parameters
    ----------
    variant : PushPull or Http
        What to measure.
    rate_per_s : float
        Calls a second, open loop.

    Returns
    -------
    dict
        Milliseconds at p50 and p99, server microseconds a call.
    """
    spawn = multiprocessing.get_context('spawn')
    ready, usage = spawn.Event(), spawn.Value('d', 0.0)
    server = spawn.Process(target=variant.serve, args=(ready, usage))
    server.start()
    try:
        ready.wait(20.0)
        variant.connect()
        for number in range(50):
            variant.call(-number - 1)
        gevent.sleep(0.2)
        before = usage.value
        latencies_s = _drive(variant, rate_per_s)
        gevent.sleep(0.2)
        spent_s = usage.value - before
    finally:
        server.kill()
        server.join()
    ranked = statistics.quantiles(latencies_s, n=100)
    return {
        'p50_ms': round(ranked[49] * 1e3, 3),
        'p99_ms': round(ranked[98] * 1e3, 3),
        'server_us_per_call': round(spent_s / CALLS * 1e6, 1),
    }


def _drive(variant, rate_per_s):
    latencies_s = []

    def call(number):
        start = time.perf_counter()
        variant.call(number)
        latencies_s.append(time.perf_counter() - start)

    start = time.monotonic()
    calls = []
    for number in range(CALLS):
        gevent.sleep(max(0.0, start + number / rate_per_s - time.monotonic()))
        calls.append(gevent.spawn(call, number))
    gevent.joinall(calls, timeout=10.0)
    return latencies_s


def main():
    """Measure both variants in turn, several rounds."""
    rows = []
    for number in range(ROUNDS):
        for rate_per_s in RATES_PER_S:
            for variant in (PushPull(), Http()):
                row = {'round': number, 'variant': variant.name}
                row['rate_per_s'] = rate_per_s
                row.update(_measure_in_child(variant, rate_per_s))
                rows.append(row)
                print(json.dumps(row), flush=True)
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(rows, indent=1) + '\n')


def _measure_in_child(variant, rate_per_s):
    # A process for each run, so that no socket of an earlier one is left.
    spawn = multiprocessing.get_context('spawn')
    receiver, sender = spawn.Pipe(duplex=False)
    child = spawn.Process(
        target=_send_row, args=(sender, type(variant), rate_per_s)
    )
    child.start()
    row = receiver.recv()
    child.join()
    return row


def _send_row(sender, variant_class, rate_per_s):
    sender.send(measure(variant_class(), rate_per_s))


if __name__ == '__main__':
    main()
