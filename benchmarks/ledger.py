"""Measures the ledger: bytes and time per key, operations per call.

Run with ``python -m benchmarks.ledger``; prints one JSON object. The
platform and the other node are in the same process, so the times include
only the work of the ledger and the encoding of messages.
"""

import gc
import json
import statistics
import time
import tracemalloc

from rosemarycrank import kernel
from rosemarycrank import ledger
from rosemarycrank import messages
from rosemarycrank import results
from rosemarycrank.standins import _tables
from rosemarycrank import table_service

SECRET = b's' * 32
BODY = b'b' * 300
ROUNDS = 5
KEYS_PER_ROUND = 4000
MEMORY_KEY_COUNTS = (5_000, 20_000)
CLOSING_KEY_COUNTS = (1_000, 10_000, 50_000)


class Node:
    """Node with a ledger and an upstream that answers immediately."""

    def __init__(self, address, incarnation, tables):
        self.context = kernel.Context(address, incarnation, incarnation)
        self.ledger = ledger.Claims(SECRET, max_keys=1_000_000)
        self.ledger.run = self._run
        self.kernel = kernel.Kernel(self.context, [self.ledger])
        self.tables = tables
        self.sent = []

    def _run(self, _request, finish):
        finish(kernel.Answer(results.Result.OK, 200, {}, bytes(BODY)))

    def run_effects(self, effects):
        """Execute platform operations and collect messages in ``sent``."""
        while effects:
            effect = effects.pop(0)
            if isinstance(effect, kernel.PlatformRequest):
                value = self.tables.execute(effect.operation)
                reply = kernel.PlatformReply(effect.operation_id, value=value)
                effects += self.kernel.handle(reply, self.context.now)
            elif isinstance(effect, kernel.Send):
                self.sent.append(effect.message)

    def submit(self, key):
        """Submit a request with an idempotency key and return its answers."""
        answers = []
        request = ledger.KeyedRequest(
            key,
            'cuotas',
            'POST',
            '/renewals',
            {'content-type': 'application/json'},
            BODY,
            self.context.now + 5.0,
        )
        self.ledger.submit(request, answers.append)
        self.run_effects(self.context.take_effects())
        return answers

    def receive(self, sender, message):
        """Handle a message from another node."""
        self.run_effects(
            self.kernel.handle(
                kernel.Received(sender, message), self.context.now
            )
        )


def median_us(action, items):
    """Return the processor time per item, as the median of the rounds."""
    samples = []
    items_per_round = len(items) // ROUNDS
    for index in range(ROUNDS):
        round_items = items[
            index * items_per_round : (index + 1) * items_per_round
        ]
        started_at = time.process_time()
        for item in round_items:
            action(item)
        samples.append((time.process_time() - started_at) / items_per_round)
    return round(1e6 * statistics.median(samples), 1)


def issue(node, count):
    """Return keys issued by a node, in batches of 100."""
    return [key for _ in range(count // 100) for key in node.ledger.issue(100)]


def measure_times():
    """Return microseconds and platform operations per call, by path."""
    tables = _tables.Tables()
    owner = Node('127.0.0.1:1', 1, tables)
    other = Node('127.0.0.1:2', 2, tables)
    count = ROUNDS * KEYS_PER_ROUND
    issued_keys = issue(owner, count)
    client_keys = [f'client-{index}' for index in range(count)]
    times = {
        'issue_us': median_us(lambda _: owner.ledger.issue(1), issued_keys),
        'issued_at_owner_us': median_us(owner.submit, issued_keys),
        'issued_resend_us': median_us(owner.submit, issued_keys),
    }
    operations = {'issued': _count_operations_per_call(tables, count)}
    times['chosen_first_send_us'] = median_us(owner.submit, client_keys)
    operations['chosen_first_send'] = _count_operations_per_call(tables, count)
    median_us(other.submit, client_keys)
    operations['chosen_resend_elsewhere'] = _count_operations_per_call(
        tables, count
    )
    times |= _measure_forwarding(owner, other, issue(owner, count))
    return times, operations


def _count_operations_per_call(tables, count):
    operations_per_call = {
        'reads': tables.reads / count,
        'writes': tables.writes / count,
    }
    tables.reads = tables.writes = 0
    return operations_per_call


def _measure_forwarding(owner, other, issued_keys):
    codec = messages.Codec(SECRET, '127.0.0.1:2')

    def forward(key):
        other.sent.clear()
        other.submit(key)

    def forward_to_owner(key):
        forward(key)
        frame = codec.encode(other.sent[0])
        owner.sent.clear()
        owner.receive('127.0.0.1:2', codec.decode(frame)[1])

    def forward_and_reply(key):
        forward_to_owner(key)
        frame = codec.encode(owner.sent[0])
        other.receive('127.0.0.1:1', codec.decode(frame)[1])

    third = len(issued_keys) // 3
    return {
        'forward_first_part_us': median_us(forward, issued_keys[:third]),
        'forward_to_owner_us': median_us(
            forward_to_owner, issued_keys[third : 2 * third]
        ),
        'forward_whole_us': median_us(
            forward_and_reply, issued_keys[2 * third :]
        ),
    }


def measure_memory():
    """Return the memory per settled key at its owner, in bytes."""
    bytes_by_count = {}
    for count in MEMORY_KEY_COUNTS:
        node = Node('127.0.0.1:1', 1, _tables.Tables())
        issued_keys = issue(node, count)
        gc.collect()
        tracemalloc.start()
        for key in issued_keys:
            node.submit(key)
        # The timer service removes cancelled timers only when they are due.
        node.run_effects(node.kernel.advance(10.0))
        gc.collect()
        bytes_by_count[count] = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
    small_count, large_count = MEMORY_KEY_COUNTS
    slope = (bytes_by_count[large_count] - bytes_by_count[small_count]) / (
        large_count - small_count
    )
    return {
        'bytes_by_keys': bytes_by_count,
        'slope_bytes_a_key': round(slope),
        'of_them_answer_body': len(BODY),
    }


class _CountingTables(_tables.Tables):
    """Tables that count the bytes of stored objects."""

    stored_bytes = 0

    def execute(self, operation):
        if isinstance(operation, table_service.ObjectPut):
            self.stored_bytes += len(operation.body)
        return super().execute(operation)


def measure_closing():
    """Return writes, size and time of closing records by number of keys."""
    by_keys = {}
    for count in CLOSING_KEY_COUNTS:
        tables = _CountingTables()
        node = Node('127.0.0.1:1', 1, tables)
        for key in issue(node, count):
            node.submit(key)
        node.ledger.start_drain()
        started_at = time.process_time()
        node.run_effects(node.kernel.advance(0.1))
        by_keys[count] = {
            'writes': tables.writes,
            'kilobytes': round(tables.stored_bytes / 1024),
            'milliseconds': round(1e3 * (time.process_time() - started_at), 1),
        }
        assert node.ledger.is_idle()
    return by_keys


def main():
    """Measure the ledger and print the figures."""
    times, operations = measure_times()
    print(
        json.dumps(
            {
                'times': times,
                'operations_a_call': operations,
                'memory': measure_memory(),
                'closing': measure_closing(),
            },
            indent=1,
        )
    )


if __name__ == '__main__':
    main()
