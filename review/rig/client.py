"""Stand-in of a client that keeps its connection."""

import asyncio
import itertools

from rig import http

_numbers = itertools.count(1)

#: Time for a connection to be established, in seconds.
CONNECT_S = 1.0


class Answer:
    """What a client saw of one request.

    The status is 0 if the node closed the connection without a complete
    answer, -1 if there was no connection, and -2 if the client gave up.
    """

    def __init__(self, request_id, prefix, ip, sent_at):
        self.request_id = request_id
        self.prefix = prefix
        self.ip = ip
        self.sent_at = sent_at
        self.ended_at = None
        self.status = None
        self.body = b''
        self.signed = False
        #: Whether the connection had carried another request before.
        self.kept = False


class Client:
    """Client of one node.

    Parameters
    ----------
    site : Site
        The deployment.
    ip : str
        Machine of the client.
    """

    def __init__(self, site, ip):
        self.site = site
        self.ip = ip
        self._reader = self._writer = None

    async def send(self, prefix, body=b'', deadline_ms=6000):
        """Send one request; return its `Answer`."""
        record = self.site.record
        request_id = f'q{next(_numbers):06d}'
        answer = Answer(request_id, prefix, self.ip, record.now())
        self.site.answers.append(answer)
        record.line('send', self.ip, request_id, prefix, len(body))
        method = 'POST' if body or prefix in self.site.unsafe else 'GET'
        headers = [
            ('Host', 'h.example'),
            ('X-Rosemarycrank-Request-Id', request_id),
            ('X-Rosemarycrank-Deadline-Ms', deadline_ms),
        ]
        data = http.encode(f'{method} /{prefix}/1 HTTP/1.1', headers, body)
        try:
            async with asyncio.timeout(deadline_ms / 1000.0 + 1.0):
                await self._exchange(answer, data)
        except TimeoutError:
            if answer.status is None:
                answer.status = -2
            self.close()
        except (OSError, http.Broken) as error:
            if answer.status is None:
                answer.status = 0
            record.line('cut', request_id, repr(error))
            self.close()
        answer.ended_at = record.now()
        record.line('answer', self.ip, request_id, prefix, answer.status)
        return answer

    async def _exchange(self, answer, data):
        if self._writer is None:
            answer.status = -1
            async with asyncio.timeout(CONNECT_S):
                self._reader, self._writer = await asyncio.open_connection(
                    self.ip, self.site.client_port, limit=2**20
                )
            answer.status = None
        else:
            answer.kept = True
        self._writer.write(data)
        await self._writer.drain()
        message = await http.read_message(self._reader, body_at_end=True)
        if message is None:
            raise http.Broken('closed without an answer')
        answer.status = message.status
        answer.body = message.body
        answer.signed = 'x-rosemarycrank-response-signature' in message.headers
        if message.headers.get('connection') == 'close':
            self.close()

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
