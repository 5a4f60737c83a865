"""A planned stop cuts answers off that a slow client is about to read."""

import asyncio
import collections
import pathlib
import signal
import socket
import time

from rig import client
from rig import http
from rig import site
from rig import target

FOLDER = pathlib.Path(__file__).parent

#: Bytes of an answer; the longest of the pipelining class of krw-mesh.
BODY_BYTES = 30_000

#: Requests that a client has under way at once, and its reading speed.
OUTSTANDING = 16
READ_BYTES_PER_S = 120_000

CLIENTS = 4


class LongTarget(target.Target):
    """Target with answers of a fixed length."""

    async def run(self, message, request_id, writer):
        """Run a request; return whether the connection is kept."""
        await asyncio.sleep(self.work_s)
        headers = [
            ('X-Rosemarycrank-Request-Id', request_id),
            ('X-Rosemarycrank-Response-Signature', f's.{request_id}'),
        ]
        body = request_id.encode().ljust(BODY_BYTES, b'.')
        writer.write(http.encode('HTTP/1.1 200 OK', headers, body))
        return True


class SlowClient:
    """Client on a slow link that sends ahead of the answers.

    It sends the next request whenever it has read an answer, and reads at a
    steady pace.
    """

    def __init__(self, place, ip):
        self.place = place
        self.ip = ip
        self._waiting = collections.deque()

    async def run(self, until):
        """Send and read until a time, or until the connection ends."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        sock.setblocking(False)
        await loop.sock_connect(sock, (self.ip, self.place.client_port))
        record = self.place.record
        data = b''
        closes = False
        try:
            for _ in range(OUTSTANDING):
                await self._send(loop, sock)
            while self._waiting:
                await asyncio.sleep(4096 / READ_BYTES_PER_S)
                piece = await loop.sock_recv(sock, 4096)
                if not piece:
                    break
                data += piece
                while (end := _end_of_answer(data)) is not None:
                    answer = self._waiting.popleft()
                    answer.status = int(data.split(b' ', 2)[1])
                    answer.ended_at = record.now()
                    head = data.partition(b'\r\n\r\n')[0].lower()
                    record.line(
                        'answer', self.ip, answer.request_id, answer.status
                    )
                    data = data[end:]
                    closes = closes or b'connection: close' in head
                    if not closes and record.now() < until:
                        await self._send(loop, sock)
        except OSError as error:
            record.line('cut', self.ip, repr(error))
        for answer in self._waiting:
            answer.status = 0
            answer.ended_at = record.now()
            record.line('unanswered', self.ip, answer.request_id)
        sock.close()

    async def _send(self, loop, sock):
        record = self.place.record
        request_id = f'p{time.monotonic_ns()}'
        answer = client.Answer(request_id, 'read', self.ip, record.now())
        headers = [
            ('Host', 'h.example'),
            ('X-Rosemarycrank-Request-Id', request_id),
            ('X-Rosemarycrank-Deadline-Ms', 6000),
        ]
        data = http.encode('GET /read/1 HTTP/1.1', headers)
        self._waiting.append(answer)
        self.place.answers.append(answer)
        record.line('send', self.ip, request_id)
        await loop.sock_sendall(sock, data)


def _end_of_answer(data):
    """Return the length of the first answer; None if it is incomplete."""
    head, separator, _ = data.partition(b'\r\n\r\n')
    if not separator:
        return None
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            end = len(head) + 4 + int(line.split(b':')[1])
            return end if len(data) >= end else None
    return None


async def case(trouble):
    """Run the case; return whether LOST was broken."""
    place = site.Site(
        FOLDER, ['archive', 'archive', 'front'], {'read': 'archive'}
    )
    try:
        await place.start(LongTarget)
        return await _play(place, trouble)
    finally:
        place.close()


async def _play(place, trouble):
    record = place.record
    ip = place.ips[2]
    ends_at = record.now() + 10.0
    began = len(place.answers)
    load = [
        asyncio.create_task(SlowClient(place, ip).run(ends_at))
        for _ in range(CLIENTS)
    ]
    await asyncio.sleep(4.0)
    stopped_at = record.now()
    if trouble:
        place.signal(ip, signal.SIGTERM)
    await asyncio.gather(*load)
    lost = [
        answer
        for answer in place.answers[began:]
        if answer.status == 0
        and place.runs_of(answer.request_id)
        and answer.ended_at - answer.sent_at < place.timeout_s
        and stopped_at < answer.ended_at < stopped_at + place.grace_s + 1.0
    ]
    for answer in lost:
        age_s = answer.ended_at - answer.sent_at
        record.line('lost', answer.request_id, f'after {age_s:.2f} s')
    record.say(
        f'{len(place.answers) - began} requests; {len(lost)} were run by a '
        f'target, and their connection ended without a complete answer'
    )
    return bool(lost)


if __name__ == '__main__':
    site.main(case)
