"""SIGTERM comes while a node starts."""

import asyncio
import collections
import pathlib
import random
import re
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'rig-2'))

import rig  # noqa: E402

CONTACT_S = 3.0
GRACE_S = 6.0
LOSS_SLACK_S = 0.2
#: Starts beside each other, and time for which nodes are started, in seconds.
WORKERS = 6
SEARCH_S = 75.0
#: Share of the time until a node is ready in which SIGTERM comes, from the
#: moment on at which the node handles it.
EARLY_SHARE = 0.25
#: Time after SIGTERM from which the platform's probes are played, and time in
#: which a node that serves nobody has ended, in seconds.
PROBED_FROM_S = 0.5
EXIT_S = 3.5
#: Time of a run, and of the requests after SIGTERM, in seconds.
WORK_S = 1.0
SENT_AT_S = (4.3, 4.6, 4.9, 5.2, 5.5)
#: The same where nothing has to be found first.
ALL_SENT_AT_S = (0.3, 0.6, 0.9, 1.2, 1.5, 1.8, 2.1, *SENT_AT_S)
REQUESTS_AT_ONCE = 4
DEADLINE_MS = 5000
#: Seconds between questions whether a node is ready, and misses in a row after
#: which clients send nothing.
PROBE_INTERVAL_S = 1.0
MAX_MISSES = 1
POLL_S = 0.001

_CAUGHT_SIGNALS = re.compile(r'SigCgt:\s+([0-9a-f]+)')


async def wait_until_caught(place):
    """Wait until a node handles SIGTERM; end the script if it does not."""
    path = pathlib.Path(f'/proc/{place.process.pid}/status')
    until = time.monotonic() + 10.0
    while time.monotonic() < until:
        found = _CAUGHT_SIGNALS.search(path.read_text())
        if found and int(found[1], 16) >> (signal.SIGTERM - 1) & 1:
            return
        await asyncio.sleep(POLL_S)
    raise rig.CannotRun(f'{place.name} does not handle SIGTERM')


class Search:
    """Starts nodes and sends SIGTERM to each in its start, until one stays."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.counts_by_status = collections.Counter()
        self.start_s = 0.0
        self.stayed = None
        self.stopped_at = 0.0
        self.misses = []
        self._random = random.Random()

    async def measure_start(self, place):
        """Measure the time from the handlers of signals until it is ready."""
        for _ in range(2):
            place.start()
            await wait_until_caught(place)
            began_at = time.monotonic()
            await self.deployment.wait_until(place.is_ready, 'not ready')
            self.start_s = time.monotonic() - began_at
            place.signal(signal.SIGKILL)
            await place.wait_for_exit(5.0)

    async def run(self, place, until):
        """Start a node again and again; return when one has stayed."""
        while self.stayed is None and time.monotonic() < until:
            await self._stop_one(place)

    async def _stop_one(self, place):
        place.start()
        await wait_until_caught(place)
        latest_s = EARLY_SHARE * self.start_s
        await asyncio.sleep(self._random.uniform(0.0, latest_s))
        place.signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        if not await place.wait_for_exit(PROBED_FROM_S):
            misses = []
            probes = asyncio.create_task(probe(place, misses))
            if not await place.wait_for_exit(EXIT_S - PROBED_FROM_S):
                # A second one is left alone: one is enough.
                if self.stayed is None:
                    self.stayed = place
                    self.stopped_at = stopped_at
                    self.misses = misses
                return
            probes.cancel()
        self.counts_by_status[place.process.returncode] += 1

    async def stop_when_ready(self, place):
        """Stop one node once it has been ready for a while."""
        place.start()
        await self.deployment.wait_until(place.is_ready, 'not ready')
        asyncio.create_task(probe(place, self.misses))
        await asyncio.sleep(CONTACT_S + 1.0)
        place.signal(signal.SIGTERM)
        self.stopped_at = time.monotonic()
        self.stayed = place


async def probe(place, misses):
    """Ask a node whether it is ready, as the platform does."""
    while place.process.poll() is None:
        misses.append(not await place.is_ready())
        place.record.add(f'{place.name} is ready: {not misses[-1]}')
        await asyncio.sleep(PROBE_INTERVAL_S)


async def send_payments(place, stopped_at, misses, times_s):
    """Send payments while the node counts as ready; return what came."""
    tasks = []

    async def send(request_id):
        sent_at = time.monotonic()
        status, _ = await place.request(
            request_id, '/pay/1', 'POST', DEADLINE_MS
        )
        return request_id, status, sent_at, time.monotonic()

    for sent_at_s in times_s:
        await asyncio.sleep(
            max(0.0, stopped_at + sent_at_s - time.monotonic())
        )
        if all(misses[-1 - MAX_MISSES :]):
            continue
        for number in range(REQUESTS_AT_ONCE):
            request_id = f'q{sent_at_s}-{number}'
            tasks.append(asyncio.create_task(send(request_id)))
    left_s = stopped_at + GRACE_S - time.monotonic()
    if not await place.wait_for_exit(left_s):
        place.signal(signal.SIGKILL)
    return await asyncio.gather(*tasks)


def find_lost(answers, target, stopped_at):
    """Return a line for each request that counts as lost."""
    ran = {request_id for _, request_id, _ in target.runs}
    lost = []
    for request_id, status, sent_at, ended_at in answers:
        waited_s = ended_at - sent_at
        if status or waited_s >= DEADLINE_MS / 1000:
            continue
        # Nobody listens: the node has not read it.
        if request_id not in ran and waited_s <= LOSS_SLACK_S:
            continue
        lost.append(
            f'{request_id} cut off {ended_at - stopped_at:.2f} s after '
            f'SIGTERM, {"passed on" if request_id in ran else "read"}'
        )
    return lost


async def play(deployment):
    """Play the case; return the broken rules."""
    record = deployment.record
    has_trouble = rig.has_trouble()
    count = WORKERS if has_trouble else 1
    await deployment.start(['orders'])
    target = deployment.targets[0]
    target.work_s = WORK_S
    deployment.configure(1, [('pay', 'orders', 'non_idempotent', {})])
    await deployment.start_nodes()
    # The targets of these machines have ended: a node gets SIGTERM after that.
    for number in range(1, count + 1):
        place = rig.Place(deployment, number, 'front')
        place.bytecode_folder = deployment.folder / 'bytecode'
        deployment.places.append(place)
    starting = deployment.places[1:]
    search = Search(deployment)
    await search.measure_start(starting[0])
    times_s = SENT_AT_S if has_trouble else ALL_SENT_AT_S
    until = time.monotonic() + SEARCH_S
    if has_trouble:
        searches = [
            asyncio.create_task(search.run(place, until)) for place in starting
        ]
    else:
        searches = [asyncio.create_task(search.stop_when_ready(starting[0]))]
    # Others may still wait for a node to end when one has stayed.
    pending = searches
    while search.stayed is None and pending:
        _, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
    place, stopped_at = search.stayed, search.stopped_at
    answers = []
    if place is not None:
        answers = await send_payments(
            place, stopped_at, search.misses, times_s
        )
    await asyncio.gather(*searches)
    record.add(
        f'start takes {search.start_s:.3f} s; ended in their start, by '
        f'status: {dict(search.counts_by_status)}; stayed: '
        f'{"none" if place is None else place.name}; payments: {len(answers)}'
    )
    print(f'ended, by status: {dict(search.counts_by_status)}', flush=True)
    lost = find_lost(answers, target, stopped_at)
    for line in lost:
        record.add(f'lost: {line}')
    if not lost:
        return []
    return [f'LOST: {len(lost)} of {len(answers)}: {"; ".join(lost[:3])}']


rig.main(FOLDER / 'record.txt', play)
