"""Stand-in of an application target, as PROTOCOL.md tells it."""

import asyncio
import json
import time

from rig import http

ID = 'x-rosemarycrank-request-id'
DEADLINE = 'x-rosemarycrank-deadline-ms'
EXPECTED = 'x-rosemarycrank-target-instance'

#: Time in which a heartbeat has to be acknowledged, in seconds.
ACK_S = 1.0


class Target:
    """Target that answers after a time, and reports to its own node.

    Parameters
    ----------
    site : Site
        Deployment that it belongs to.
    ip, service : str
        Its machine and service.
    work_s : float
        Duration of a run.
    """

    def __init__(self, site, ip, service, work_s):
        self.site = site
        self.ip = ip
        self.service = service
        self.work_s = work_s
        self.instance = f'i-{service}-{ip.replace(".", "-")}'
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.seq = 0
        self.acknowledged = 0
        self.runs = []
        self.beats = None
        self._server = None
        self._connections = set()

    async def start(self):
        """Listen, and begin to report."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.site.app_port, limit=2**20
        )
        self.beats = asyncio.create_task(self._report())

    def close(self):
        """End at once."""
        if self._server is not None:
            self._server.close()
        if self.beats is not None:
            self.beats.cancel()
        for task in self._connections:
            task.cancel()

    async def _report(self):
        while True:
            await self.beat()
            await asyncio.sleep(self.site.heartbeat_s)

    def next_beat(self):
        """Return the body of the next heartbeat."""
        self.seq += 1
        return {
            'service': self.service,
            'address': f'{self.ip}:{self.site.app_port}',
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 64,
            'state': self.state,
            'cold_left_s': 0,
            'seq': self.seq,
            'born': self.born,
        }

    async def beat(self, body=None):
        """Send a heartbeat; return whether it was acknowledged."""
        body = body or self.next_beat()
        status = await self._call('PUT', body)
        self.site.record.line(
            'beat', self.ip, f'seq={body["seq"]}', body['state'], status
        )
        if status == 200:
            self.acknowledged = max(self.acknowledged, body['seq'])
        return status == 200

    async def withdraw(self):
        """Send the withdrawal; return whether it was acknowledged."""
        status = await self._call('DELETE', {'born': self.born})
        self.site.record.line('withdrawal', self.ip, status)
        return status == 200

    async def _call(self, method, body):
        path = f'/rosemarycrank/instances/{self.instance}'
        try:
            async with asyncio.timeout(ACK_S):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.site.control_port
                )
                headers = [
                    ('Host', self.ip),
                    ('Content-Type', 'application/json'),
                ]
                writer.write(
                    http.encode(
                        f'{method} {path} HTTP/1.1',
                        headers,
                        json.dumps(body).encode(),
                    )
                )
                try:
                    answer = await http.read_message(reader)
                finally:
                    writer.close()
        except (OSError, http.Broken, TimeoutError):
            return 0
        return 0 if answer is None else answer.status

    async def _serve(self, reader, writer):
        self._connections.add(asyncio.current_task())
        try:
            while (message := await http.read_message(reader)) is not None:
                if not await self._handle(message, writer):
                    break
                await writer.drain()
        except (OSError, http.Broken, asyncio.CancelledError):
            # The node has closed the connection, or the script ends.
            pass
        finally:
            self._connections.discard(asyncio.current_task())
            writer.close()

    async def _handle(self, message, writer):
        """Answer one request; return whether the connection is kept."""
        request_id = message.headers.get(ID, '')
        if message.headers.get(EXPECTED) not in (None, self.instance):
            headers = [('X-Rosemarycrank-Instance-Id', self.instance)]
            writer.write(http.encode('HTTP/1.1 421 Misdirected', headers))
            return True
        self.runs.append((self.site.record.now(), request_id))
        self.site.record.line('run', self.ip, request_id, len(message.body))
        return await self.run(message, request_id, writer)

    async def run(self, message, request_id, writer):
        """Run a request; return whether the connection is kept."""
        deadline_s = int(message.headers.get(DEADLINE, '60000')) / 1000.0
        await asyncio.sleep(min(self.work_s, deadline_s))
        headers = [('X-Rosemarycrank-Request-Id', request_id)]
        if self.work_s > deadline_s:
            writer.write(http.encode('HTTP/1.1 504 Late', headers))
            return True
        headers.append(
            ('X-Rosemarycrank-Response-Signature', f's.{request_id}')
        )
        body = f'{request_id} by {self.instance}'.encode()
        writer.write(http.encode('HTTP/1.1 200 OK', headers, body))
        return True
