"""A target sends bodies without end, and its node grows beyond its memory."""

import asyncio
import pathlib

from rig import client
from rig import site
from rig import target

FOLDER = pathlib.Path(__file__).parent

#: Number of answers whose body has no end.
ENDLESS = 8

#: Bytes of each chunk of such a body.
CHUNK_BYTES = 4

#: Clients on the machine of that target, which call a sound service.
CLIENTS = 12


class EndlessTarget(target.Target):
    """Target of which some answers go on until the caller closes."""

    endless_left = 0

    async def run(self, message, request_id, writer):
        """Run a request; return whether the connection is kept."""
        if not self.endless_left:
            return await super().run(message, request_id, writer)
        self.endless_left -= 1
        self.site.record.line('endless', self.ip, request_id)
        writer.write(
            (
                'HTTP/1.1 200 OK\r\n'
                f'X-Rosemarycrank-Request-Id: {request_id}\r\n'
                f'X-Rosemarycrank-Response-Signature: s.{request_id}\r\n'
                'Transfer-Encoding: chunked\r\n\r\n'
            ).encode()
        )
        chunk = b'%x\r\n%b\r\n' % (CHUNK_BYTES, b'.' * CHUNK_BYTES)
        while True:
            writer.write(chunk * 4000)
            await writer.drain()


async def _load(place, ip, prefix, until):
    own = client.Client(place, ip)
    while place.record.now() < until and not place.exited(ip):
        await own.send(prefix)
        await asyncio.sleep(0.02)
    own.close()


async def case(trouble):
    """Run the case; return whether LOST was broken."""
    place = site.Site(
        FOLDER,
        ['archive', 'archive', 'dues', 'dues'],
        {'read': 'archive', 'pay': 'dues'},
        {'pay'},
    )
    try:
        await place.start(EndlessTarget)
        return await _play(place, trouble)
    finally:
        place.close()


async def _play(place, trouble):
    ended = []
    watch = asyncio.create_task(place.limit_memory(ended))
    faulty_ip = place.ips[0]
    sound_ips = place.ips[2:]
    for ip in sound_ips:
        place.target_of(ip).work_s = 0.3
    ends_at = place.record.now() + 12.0
    load = [
        asyncio.create_task(_load(place, faulty_ip, 'pay', ends_at))
        for _ in range(CLIENTS)
    ]
    load += [
        asyncio.create_task(_load(place, ip, 'read', ends_at))
        for ip in sound_ips
        for _ in range(CLIENTS)
    ]
    await asyncio.sleep(2.0)
    if trouble:
        place.target_of(faulty_ip).endless_left = ENDLESS
        place.record.say(f'{ENDLESS} answers of {faulty_ip} have no end')
    await asyncio.gather(*load)
    watch.cancel()
    lost = place.lost(faulty_ip, sound_ips)
    peaks = [round(place.peak_mb[ip]) for ip in place.ips]
    place.record.say(f'peak memory of the nodes: {peaks} MB')
    place.record.say(
        f'{len(ended)} nodes over their memory; {len(lost)} requests on kept '
        f'connections were run by a sound target and cut without an answer'
    )
    return len(lost) > 3


if __name__ == '__main__':
    site.main(case)
