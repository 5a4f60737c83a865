"""Compares messages over pynng sockets with HTTP between two processes.

With each variant, a client process sends the same attempt, with a body of
300 bytes, to a server process, which replies with a body of the same size.
This is repeated at several rates. Prints one JSON line for each run and
writes the figures to ``benchmarks/results/transport.json``.
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
CLUSTER_KEY = b'k' * 32
RATES_PER_S = (75, 500)
CALL_COUNT = 1500
ROUNDS = 3
SERVER_ADDRESS = '127.0.0.1:17911'
CLIENT_ADDRESS = '127.0.0.1:17912'
HTTP_ADDRESS = '127.0.0.1:17913'


def make_attempt(number):
    """Return an attempt of typical size."""
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


def _cpu_time_s():
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


class PushPull:
    """Variant that sends messages over push and pull sockets."""

    name = 'pynng push/pull'

    def serve(self, ready, cpu_time):
        """Answer attempts until the process is killed."""
        codec = messages.Codec(CLUSTER_KEY, SERVER_ADDRESS)
        transport = _transport.Transport(
            SERVER_ADDRESS,
            SERVER_ADDRESS,
            codec,
            lambda received: self._send_reply(transport, received),
        )
        transport.start()
        ready.set()
        _publish_cpu_time(cpu_time)

    def connect(self):
        """Open the client side."""
        self._events_by_id = {}
        codec = messages.Codec(CLUSTER_KEY, CLIENT_ADDRESS)
        self._transport = _transport.Transport(
            CLIENT_ADDRESS, CLIENT_ADDRESS, codec, self._receive_reply
        )
        self._transport.start()

    def call(self, number):
        """Send one attempt and wait for its reply."""
        reply_received = event.Event()
        self._events_by_id[str(number)] = reply_received
        attempt = make_attempt(number)
        self._transport.send(kernel.Send(SERVER_ADDRESS, attempt))
        reply_received.wait(timeout=5.0)

    def _send_reply(self, transport, received):
        if isinstance(received, kernel.Received):
            reply = make_reply(received.message.attempt_id)
            transport.send(kernel.Send(received.sender, reply))

    def _receive_reply(self, received):
        if isinstance(received, kernel.Received):
            self._events_by_id.pop(received.message.attempt_id).set()


class Http:
    """Variant that sends the same messages as bodies of HTTP requests."""

    name = 'HTTP'

    def serve(self, ready, cpu_time):
        """Answer attempts until the process is killed."""
        codec = messages.Codec(CLUSTER_KEY, SERVER_ADDRESS)
        application = falcon.App()

        def answer(req, resp, **parameters):
            _, attempt = codec.decode(req.bounded_stream.read())
            resp.data = codec.encode(make_reply(attempt.attempt_id))

        application.add_sink(answer, '/')
        _web.Server(HTTP_ADDRESS, application, 256).start()
        ready.set()
        _publish_cpu_time(cpu_time)

    def connect(self):
        """Open the client side."""
        self._client = http_client.Client.for_address(HTTP_ADDRESS)
        self._codec = messages.Codec(CLUSTER_KEY, CLIENT_ADDRESS)

    def call(self, number):
        """Send one attempt and wait for its reply."""
        frame = self._codec.encode(make_attempt(number))
        response = self._client.request('POST', '/', frame, timeout_s=5.0)
        self._codec.decode(response.body)


def _publish_cpu_time(cpu_time):
    while True:
        cpu_time.value = _cpu_time_s()
        gevent.sleep(0.05)


def measure(variant, rate_per_s):
    """Return latency percentiles and processor time of one variant.

    Parameters
    ----------
    variant : PushPull or Http
        Variant to measure.
    rate_per_s : float
        Calls per second; each call starts at its due time, whether or not
        earlier ones have completed.

    Returns
    -------
    dict
        Latency at p50 and p99 in milliseconds, and the server's processor
        time per call in microseconds.
    """
    context = multiprocessing.get_context('spawn')
    ready, cpu_time = context.Event(), context.Value('d', 0.0)
    server = context.Process(target=variant.serve, args=(ready, cpu_time))
    server.start()
    try:
        ready.wait(20.0)
        variant.connect()
        # Calls before the measurement, numbered so that no measured call has
        # the same number.
        for number in range(50):
            variant.call(-number - 1)
        gevent.sleep(0.2)
        cpu_time_before_s = cpu_time.value
        latencies_s = _run_open_loop(variant, rate_per_s)
        gevent.sleep(0.2)
        cpu_time_used_s = cpu_time.value - cpu_time_before_s
    finally:
        server.kill()
        server.join()
    percentiles_s = statistics.quantiles(latencies_s, n=100)
    return {
        'p50_ms': round(percentiles_s[49] * 1e3, 3),
        'p99_ms': round(percentiles_s[98] * 1e3, 3),
        'server_us_per_call': round(cpu_time_used_s / CALL_COUNT * 1e6, 1),
    }


def _run_open_loop(variant, rate_per_s):
    latencies_s = []

    def call(number):
        start = time.perf_counter()
        variant.call(number)
        latencies_s.append(time.perf_counter() - start)

    start = time.monotonic()
    greenlets = []
    for number in range(CALL_COUNT):
        gevent.sleep(max(0.0, start + number / rate_per_s - time.monotonic()))
        greenlets.append(gevent.spawn(call, number))
    gevent.joinall(greenlets, timeout=10.0)
    return latencies_s


def main():
    """Measure the variants alternately, in several rounds."""
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
    # Each run has its own process, so that no socket of an earlier run is
    # still open.
    context = multiprocessing.get_context('spawn')
    receiver, sender = context.Pipe(duplex=False)
    child = context.Process(
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
