"""Stand-in of the platform's store of rows, as PROTOCOL.md tells it."""

import asyncio
import base64
import json
import time
import urllib.parse

from rig import http

MAX_ROWS = 500


class Store:
    """Rows by table, part and key, with a feed of their changes."""

    def __init__(self):
        self.version = 0
        self._rows = {}
        self._history = []
        self._changed = asyncio.Condition()
        self._server = None
        self._connections = set()

    async def start(self, ip, port):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, ip, port)

    async def put_config(self, document):
        """Write ``op/config``, as the operator does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self._apply([('op', '', 'config', value)])

    def close(self):
        """Stop listening."""
        if self._server is not None:
            self._server.close()
        for task in self._connections:
            task.cancel()

    async def _apply(self, writes):
        self.version += 1
        for table, part, key, value in writes:
            if value is None:
                self._rows.pop((table, part, key), None)
            else:
                self._rows[table, part, key] = (self.version, value)
            self._history.append((self.version, table, part, key))
        async with self._changed:
            self._changed.notify_all()

    def _row(self, table, part, key):
        row = {'table_name': table, 'part': part, 'key': key}
        known = self._rows.get((table, part, key))
        if known is None:
            return row | {'tombstone': True, 'ver': self.version}
        return row | {'ver': known[0], 'value': known[1]}

    async def _serve(self, reader, writer):
        self._connections.add(asyncio.current_task())
        try:
            while (message := await http.read_message(reader)) is not None:
                status, body = await self._answer(message)
                body |= {'ver': self.version, 'now_s': time.monotonic()}
                headers = [('Content-Type', 'application/json')]
                writer.write(
                    http.encode(
                        f'HTTP/1.1 {status} Status',
                        headers,
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
                if message.headers.get('connection') == 'close':
                    break
        except (OSError, http.Broken, asyncio.CancelledError):
            # The caller has left, or the script ends.
            pass
        finally:
            self._connections.discard(asyncio.current_task())
            writer.close()

    async def _answer(self, message):
        url = urllib.parse.urlsplit(message.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        call = url.path.rpartition('/')[2]
        if call == 'rows-get':
            return self._get(query)
        if call == 'rows-feed':
            return await self._feed(query)
        if call == 'rows-tx':
            return await self._transact(json.loads(message.body))
        return 404, {}

    def _get(self, query):
        table, part = query['table_name'], query.get('part', '')
        first, last = query.get('from', ''), query.get('target')
        limit = min(int(query.get('limit', MAX_ROWS)), MAX_ROWS)
        keys = sorted(
            key
            for (row_table, row_part, key) in self._rows
            if (row_table, row_part) == (table, part)
            and key >= first
            and (last is None or key < last)
        )
        rows = [self._row(table, part, key) for key in keys[:limit]]
        return 200, {'rows': rows, 'has_more': len(keys) > limit}

    async def _feed(self, query):
        table, after = query['table_name'], int(query['after'])
        wait_s = min(int(query.get('wait_ms', 0)), 30000) / 1000.0
        end = time.monotonic() + wait_s
        while True:
            keys = {
                (row_table, part, key): None
                for version, row_table, part, key in self._history
                if version > after and row_table == table
            }
            left_s = end - time.monotonic()
            if keys or left_s <= 0:
                return 200, {'rows': [self._row(*key) for key in keys]}
            try:
                async with asyncio.timeout(left_s):
                    async with self._changed:
                        await self._changed.wait()
            except TimeoutError:
                # The loop returns what there is.
                continue

    async def _transact(self, body):
        expected = body.get('expected', [])
        for row in expected:
            known = self._rows.get(_key(row))
            if (known[0] if known else 0) != row['ver']:
                stored = [_key(r) for r in expected if _key(r) in self._rows]
                return 412, {'rows': [self._row(*key) for key in stored]}
        writes = [(*_key(r), r['value']) for r in body.get('puts', [])]
        writes += [(*_key(r), None) for r in body.get('remove', [])]
        if any(table in ('op', 'servers') for table, _, _, _ in writes):
            return 403, {}
        await self._apply(writes)
        return 200, {}


def _key(row):
    return row['table_name'], row.get('part', ''), row['key']
