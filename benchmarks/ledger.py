"""Costs of the ledger: bytes and microseconds a key, operations a call.

Run with ``python -m benchmarks.ledger``; prints one JSON object. The
platform and the other node are in the same process, so the times are those
of the ledger's own work and of the messages' encoding.
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
KEYS_A_ROUND = 4000
MEMORY_KEYS = (5_000, 20_000)
CLOSING_KEYS = (1_000, 10_000, 50_000)


class Node:
    """A ledger whose upstream answers at once."""

    def __init__(self, address, incarnation, tables):
        self.context = kernel.Context(address, incarnation, incarnation)
        self.ledger = ledger.Claims(SECRET, max_keys=1_000_000)
        self.ledger.run = self._run
        self.kernel = kernel.Kernel(self.context, [self.ledger])
        self.tables = tables
        self.sent = []

    def _run(self, _request, finish):
        finish(kernel.Answer(results.Result.OK, 200, {}, bytes(BODY)))

    def carry_out(self, effects):
        """Answer operations on the platform; keep messages."""
        while effects:
            effect = effects.pop(0)
            if isinstance(effect, kernel.PlatformRequest):
                value = self.tables.execute(effect.operation)
                reply = kernel.PlatformReply(effect.operation_id, value=value)
                effects += self.kernel.handle(reply, self.context.now)
            elif isinstance(effect, kernel.Send):
                self.sent.append(effect.message)

    def submit(self, key):
        """Submit a request under a key; return its answers."""
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
        self.carry_out(self.context.take_effects())
        return answers

    def receive(self, sender, message):
        """Take a message of another node."""
        self.carry_out(
            self.kernel.handle(
                kernel.Received(sender, message), self.context.now
            )
        )


def microseconds(action, items):
    """Return the median over rounds of the time for one item."""
    samples = []
    share = len(items) // ROUNDS
    for number in range(ROUNDS):
        part = items[number * share : (number + 1) * share]
        start = time.process_time()
        for item in part:
            action(item)
        samples.append((time.process_time() - start) / share)
    return round(1e6 * statistics.median(samples), 1)


def issue(node, count):
    """Return keys issued by a node."""
    return [key for _ in range(count // 100) for key in node.ledger.issue(100)]


def measure_times():
    """Return microseconds a call on each way, and operations a call."""
    tables = _tables.Tables()
    owner = Node('127.0.0.1:1', 1, tables)
    other = Node('127.0.0.1:2', 2, tables)
    count = ROUNDS * KEYS_A_ROUND
    keys = issue(owner, count)
    chosen = [f'client-{number}' for number in range(count)]
    times = {
        'issue_us': microseconds(lambda _: owner.ledger.issue(1), keys),
        'issued_at_owner_us': microseconds(owner.submit, keys),
        'issued_resend_us': microseconds(owner.submit, keys),
    }
    operations = {'issued': _operations_a_call(tables, count)}
    times['chosen_first_send_us'] = microseconds(owner.submit, chosen)
    operations['chosen_first_send'] = _operations_a_call(tables, count)
    microseconds(other.submit, chosen)
    operations['chosen_resend_elsewhere'] = _operations_a_call(tables, count)
    times |= _measure_forwarding(owner, other, issue(owner, count))
    return times, operations


def _operations_a_call(tables, count):
    found = {'reads': tables.reads / count, 'writes': tables.writes / count}
    tables.reads = tables.writes = 0
    return found


def _measure_forwarding(owner, other, keys):
    codec = messages.Codec(SECRET, '127.0.0.1:2')

    def forward(key):
        other.sent.clear()
        other.submit(key)

    def take(key):
        forward(key)
        frame = codec.encode(other.sent[0])
        owner.sent.clear()
        owner.receive('127.0.0.1:2', codec.decode(frame)[1])

    def whole(key):
        take(key)
        frame = codec.encode(owner.sent[0])
        other.receive('127.0.0.1:1', codec.decode(frame)[1])

    third = len(keys) // 3
    return {
        'forward_first_part_us': microseconds(forward, keys[:third]),
        'forward_to_owner_us': microseconds(take, keys[third : 2 * third]),
        'forward_whole_us': microseconds(whole, keys[2 * third :]),
    }


def measure_memory():
    """Return bytes a key at the owner, with and without answers."""
    sizes = {}
    for count in MEMORY_KEYS:
        node = Node('127.0.0.1:1', 1, _tables.Tables())
        keys = issue(node, count)
        gc.collect()
        tracemalloc.start()
        for key in keys:
            node.submit(key)
        # Cancelled timers leave the timer service when they come due.
        node.carry_out(node.kernel.advance(10.0))
        gc.collect()
        sizes[count] = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
    few, many = MEMORY_KEYS
    slope = (sizes[many] - sizes[few]) / (many - few)
    return {
        'bytes_by_keys': sizes,
        'slope_bytes_a_key': round(slope),
        'of_them_answer_body': len(BODY),
    }


class _CountingTables(_tables.Tables):
    """Tables that add up the bytes of stored objects."""

    stored_bytes = 0

    def execute(self, operation):
        if isinstance(operation, table_service.ObjectPut):
            self.stored_bytes += len(operation.body)
        return super().execute(operation)


def measure_closing():
    """Return writes, bytes and time of closing records, by keys."""
    by_keys = {}
    for count in CLOSING_KEYS:
        tables = _CountingTables()
        node = Node('127.0.0.1:1', 1, tables)
        for key in issue(node, count):
            node.submit(key)
        node.ledger.start_drain()
        start = time.process_time()
        node.carry_out(node.kernel.advance(0.1))
        by_keys[count] = {
            'writes': tables.writes,
            'kilobytes': round(tables.stored_bytes / 1024),
            'milliseconds': round(1e3 * (time.process_time() - start), 1),
        }
        assert node.ledger.is_idle()
    return by_keys


def main():
    """Print the measured costs."""
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
