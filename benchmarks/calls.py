"""Processor time and memory of the call path's kernel, without sockets.

One entry node and one target's node in one process hand each other the
encoded messages of one call after the other. Prints the figures and writes
them to ``benchmarks/results/calls.json``.
"""

import json
import pathlib
import time
import tracemalloc

from rosemarycrank import admission
from rosemarycrank import balancing
from rosemarycrank import bundles
from rosemarycrank import calls
from rosemarycrank import kernel
from rosemarycrank import ledger
from rosemarycrank import membership
from rosemarycrank import messages
from rosemarycrank import results
from rosemarycrank import retry

RESULTS = pathlib.Path(__file__).parent / 'results' / 'calls.json'
KEY = b'k' * 32
BODY = b'x' * 300
CALLS = 20_000
#: Calls a second in virtual time; a node's share at the target size.
RATE_PER_S = 74
BUNDLE = bundles.Bundle(
    name='calls',
    version=1,
    classes_by_name={'read': bundles.RequestClass('read', rank=1)},
    rules=(bundles.Rule('s', 'read'),),
    services=('s',),
)


class Holder:
    """Holds the one bundle."""

    current = BUNDLE


class Node:
    """The components of the call path of one node.

    Parameters
    ----------
    address : str
        ``host:port`` of the node.
    incarnation : int
        Its incarnation.
    """

    def __init__(self, address, incarnation):
        self.codec = messages.Codec(KEY, address)
        self.context = kernel.Context(address, incarnation, incarnation)
        self.directory = membership.GossipDirectory('a')
        self.target = calls.TargetCalls(
            'a', self.directory, admission.AdaptiveLimit(), Holder()
        )
        self.entry = calls.EntryCalls(
            self.directory,
            balancing.LocalFirst('a', self.context.random),
            retry.TokenBucket(),
            Holder(),
            self.target,
        )
        requests = calls.ClientRequests(
            Holder(), ledger.Claims(KEY), self.target, self.entry
        )
        self.kernel = kernel.Kernel(
            self.context,
            (self.directory, self.target, self.entry, requests),
        )
        self.processor_s = 0.0

    def handle(self, event, now):
        """Handle an event or a frame, and return effects with frames."""
        began = time.perf_counter()
        if isinstance(event, bytes):
            event = kernel.Received(*self.codec.decode(event))
        effects = [
            self.codec.encode(effect.message)
            if isinstance(effect, kernel.Send)
            else effect
            for effect in self.kernel.handle(event, now)
        ]
        self.processor_s += time.perf_counter() - began
        return effects


def run_call(entry, target, number, now):
    """Run one call from the client's request to its answer."""
    request = kernel.ClientRequest(
        f'r{number}', 's', 'GET', '/clubs/17', {}, BODY
    )
    frames = entry.handle(request, now)
    while True:
        effects = [e for frame in frames for e in target.handle(frame, now)]
        upstream = [e for e in effects if isinstance(e, kernel.UpstreamCall)]
        if upstream:
            break
        # The target's clock was asked for first.
        frames = [e for frame in effects for e in entry.handle(frame, now)]
    answer = kernel.UpstreamAnswer(
        upstream[0].token, results.Result.OK, 200, {}, BODY
    )
    for frame in target.handle(answer, now + 0.002):
        entry.handle(frame, now + 0.002)


def main():
    """Measure, print and write the figures."""
    entry, target = Node('a:1', 1), Node('b:1', 2)
    announced = kernel.UpstreamAnnounced('s', 'u:1', slots=64)
    target.handle(announced, 0.0)
    entry.directory.targets = lambda service: (
        balancing.Target('b:1', 2, 's', 'a', slots=64),
    )
    now = 0.0
    tracemalloc.start()
    before = 0
    for number in range(CALLS):
        now += 1.0 / RATE_PER_S
        target.handle(announced, now)
        if number == CALLS // 2:
            tracemalloc.stop()
            entry.processor_s = target.processor_s = 0.0
        elif number == 100:
            before, _ = tracemalloc.get_traced_memory()
            kept = target.target.dump()['kept_answers']
        elif number == 2100:
            after, _ = tracemalloc.get_traced_memory()
            kept = target.target.dump()['kept_answers'] - kept
            bytes_per_kept = (after - before) / kept
        run_call(entry, target, number, now)
    figures = {
        'calls': CALLS // 2,
        'body_bytes': len(BODY),
        'entry_us_per_call': entry.processor_s / (CALLS // 2) * 1e6,
        'target_us_per_call': target.processor_s / (CALLS // 2) * 1e6,
        'bytes_per_kept_answer': bytes_per_kept,
        'kept_answers_at_rate': target.target.dump()['kept_answers'],
    }
    figures = {name: round(value, 1) for name, value in figures.items()}
    RESULTS.write_text(json.dumps(figures, indent=1) + '\n')
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
