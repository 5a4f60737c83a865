"""Bytes after a refusal make the next order on the connection run twice."""

import asyncio
import collections
import pathlib

from rig import client
from rig import http
from rig import site
from rig import target

FOLDER = pathlib.Path(__file__).parent

#: Of so many requests the faulty target refuses one, as if it were full.
REFUSED_OF = 50

CLIENTS = 6
SECONDS = 20.0


class FaultyTarget(target.Target):
    """Target that refuses a request now and then, and may send bytes after.

    The bytes are the beginning of a second copy of the refusal.
    """

    refuses = False
    adds_bytes = False
    requests = 0

    async def _handle(self, message, writer):
        if message.headers.get(target.EXPECTED) == self.instance:
            self.requests += 1
            if self.refuses and self.requests % REFUSED_OF == 0:
                await self._refuse(message.headers[target.ID], writer)
                return True
        return await super()._handle(message, writer)

    async def _refuse(self, request_id, writer):
        headers = [
            ('X-Rosemarycrank-Request-Id', request_id),
            ('X-Rosemarycrank-Not-Executed', '1'),
        ]
        answer = http.encode('HTTP/1.1 503 Service Unavailable', headers)
        writer.write(answer)
        self.site.record.line('refused', self.ip, request_id)
        if self.adds_bytes:
            end = answer.index(b'Not-Executed: 1') + len(b'Not-Executed: 1')
            writer.write(answer[:end])
            self.site.record.line('added', self.ip, f'{end} bytes')


async def _load(place, ip, until):
    own = client.Client(place, ip)
    while place.record.now() < until:
        await own.send('pay', b'x' * 1200)
        await asyncio.sleep(0.02)
    own.close()


async def case(trouble):
    """Run the case; return whether TWICE was broken."""
    place = site.Site(
        FOLDER, ['dues', 'dues', 'front'], {'pay': 'dues'}, {'pay'}
    )
    try:
        await place.start(FaultyTarget, work_s=0.05)
        return await _play(place, trouble)
    finally:
        place.close()


async def _play(place, trouble):
    faulty = place.targets[0]
    faulty.refuses = True
    faulty.adds_bytes = trouble
    ends_at = place.record.now() + SECONDS
    await asyncio.gather(
        *(_load(place, place.ips[2], ends_at) for _ in range(CLIENTS))
    )
    await asyncio.sleep(0.5)
    runs = collections.Counter(
        request_id for own in place.targets for _, request_id in own.runs
    )
    twice = [request_id for request_id, count in runs.items() if count > 1]
    refused = [
        answer.request_id
        for answer in place.answers
        if answer.status in (408, 421, 429, 503) and runs[answer.request_id]
    ]
    for request_id in twice:
        place.record.line('twice', request_id, place.runs_of(request_id))
    for request_id in refused:
        place.record.line('refused and run', request_id)
    place.record.say(
        f'{len(place.answers)} orders, {faulty.requests} at the faulty '
        f'target; {len(twice)} ran twice, {len(refused)} were refused to the '
        f'client and ran'
    )
    return bool(twice)


if __name__ == '__main__':
    site.main(case)
