"""Measures processor time and memory of the call path, without sockets.

An entry node and a target's node in one process exchange the encoded
messages of one call at a time. Prints the figures and writes them to
``benchmarks/results/calls.json``.
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
CLUSTER_KEY = b'k' * 32
BODY = b'x' * 300
CALL_COUNT = 20_000
#: Calls per second in virtual time: one node's share of the load at the
#: size that the system is designed for.
CALLS_PER_S = 74
BUNDLE = bundles.Bundle(
    name='calls',
    version=1,
    classes_by_name={'read': bundles.RequestClass('read', rank=1)},
    rules=(bundles.Rule('s', 'read'),),
    services=('s',),
)


class FixedBundle:
    """Bundle store whose current bundle never changes."""

    current = BUNDLE


class Node:
    """Call path components of one node, run by a kernel.

    Parameters
    ----------
    address : str
        ``host:port`` of the node.
    incarnation : int
        Incarnation of the node.
    """

    def __init__(self, address, incarnation):
        self.codec = messages.Codec(CLUSTER_KEY, address)
        self.context = kernel.Context(address, incarnation, incarnation)
        self.directory = membership.GossipDirectory('a')
        self.target = calls.TargetCalls(
            'a', self.directory, admission.AdaptiveLimit(), FixedBundle()
        )
        self.entry = calls.EntryCalls(
            self.directory,
            balancing.LocalFirst('a', self.context.random),
            retry.TokenBucket(),
            FixedBundle(),
            self.target,
        )
        requests = calls.ClientRequests(
            FixedBundle(), ledger.Claims(CLUSTER_KEY), self.target, self.entry
        )
        self.kernel = kernel.Kernel(
            self.context,
            (self.directory, self.target, self.entry, requests),
        )
        self.cpu_time_s = 0.0

    def handle(self, event, now):
        """Handle an event or an encoded message and return the effects.

        Messages to send are returned in encoded form.
        """
        started_at = time.perf_counter()
        if isinstance(event, bytes):
            event = kernel.Received(*self.codec.decode(event))
        effects = [
            self.codec.encode(effect.message)
            if isinstance(effect, kernel.Send)
            else effect
            for effect in self.kernel.handle(event, now)
        ]
        self.cpu_time_s += time.perf_counter() - started_at
        return effects


def run_call(entry, target, number, now):
    """Run one call from the client's request to its answer.

    The upstream's answer arrives after 2 ms of virtual time.
    """
    request = kernel.ClientRequest(
        f'r{number}', 's', 'GET', '/clubs/17', {}, BODY
    )
    frames = entry.handle(request, now)
    while True:
        effects = [
            effect for frame in frames for effect in target.handle(frame, now)
        ]
        upstream_calls = [
            effect
            for effect in effects
            if isinstance(effect, kernel.UpstreamCall)
        ]
        if upstream_calls:
            break
        # The entry node has no estimate of the target's clock yet: these
        # messages are the clock query and its reply.
        frames = [
            effect for frame in effects for effect in entry.handle(frame, now)
        ]
    answer = kernel.UpstreamAnswer(
        upstream_calls[0].token, results.Result.OK, 200, {}, BODY
    )
    for frame in target.handle(answer, now + 0.002):
        entry.handle(frame, now + 0.002)


def main():
    """Measure the call path, then print and write the figures."""
    entry, target = Node('a:1', 1), Node('b:1', 2)
    announcement = kernel.UpstreamAnnounced('s', 'u:1', slots=64)
    target.handle(announcement, 0.0)
    entry.directory.targets = lambda service: (
        balancing.Target('b:1', 2, 's', 'a', slots=64),
    )
    now = 0.0
    tracemalloc.start()
    bytes_before = 0
    for number in range(CALL_COUNT):
        now += 1.0 / CALLS_PER_S
        target.handle(announcement, now)
        if number == CALL_COUNT // 2:
            tracemalloc.stop()
            entry.cpu_time_s = target.cpu_time_s = 0.0
        elif number == 100:
            bytes_before, _ = tracemalloc.get_traced_memory()
            kept_answers = target.target.dump()['kept_answers']
        elif number == 2100:
            bytes_after, _ = tracemalloc.get_traced_memory()
            kept_answers = target.target.dump()['kept_answers'] - kept_answers
            bytes_per_kept_answer = (bytes_after - bytes_before) / kept_answers
        run_call(entry, target, number, now)
    figures = {
        'calls': CALL_COUNT // 2,
        'body_bytes': len(BODY),
        'entry_us_per_call': entry.cpu_time_s / (CALL_COUNT // 2) * 1e6,
        'target_us_per_call': target.cpu_time_s / (CALL_COUNT // 2) * 1e6,
        'bytes_per_kept_answer': bytes_per_kept_answer,
        'kept_answers_at_rate': target.target.dump()['kept_answers'],
    }
    figures = {name: round(value, 1) for name, value in figures.items()}
    RESULTS.write_text(json.dumps(figures, indent=1) + '\n')
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
