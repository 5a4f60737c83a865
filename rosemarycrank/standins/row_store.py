"""Stand-in for the users' row store: versioned rows and a change feed.

It implements the row calls of the platform's published interface over HTTP,
so that tests and the soak test need no real store. Rows are kept in memory.
The mode of the store makes it refuse calls, stop responding or lose answers.
It comes back from a copy of itself on command, and counts that in its answers.
"""

import json
import urllib.parse

import gevent
from gevent import event

from rosemarycrank.standins import _server

#: Maximum number of rows in one answer.
MAX_ROWS = 500

#: Modes of the store: normal; status 503 for every call; no answer until the
#: mode changes; connection closed without an answer after the call was
#: executed.
MODES = ('up', 'busy', 'silent', 'lost')


class RowStore:
    """Rows by table, part and key, with their history of changes.

    Attributes
    ----------
    version : int
        Number of transactions so far; the version of the last one.
    mode : str
        One of `MODES`.
    calls : int
        Number of calls received.
    era : int
        Number of returns from a copy.
    """

    def __init__(self):
        self.version = 0
        self.mode = 'up'
        self.calls = 0
        self.era = 0
        self._copy = (0, {})
        self._rows = {}
        self._history = []
        self._compacted_version = 0
        self._changed = event.Event()

    def put(self, table, key, value, part=''):
        """Write a row without a condition, as an operator does.

        Parameters
        ----------
        table, key : str
            Table and key of the row.
        value : str
            Value, in base64.
        part : str, default=''
            Part of the table.

        Returns
        -------
        int
            New version of the row.
        """
        self._apply([(table, part, key, value)])
        return self.version

    def take_copy(self):
        """Copy all rows and the version."""
        self._copy = (self.version, dict(self._rows))

    def come_back(self):
        """Go on from the copy, without a history, in the next era."""
        self.version, rows = self._copy
        self._rows = dict(rows)
        self.era += 1
        self.compact()
        self._changed.set()

    def compact(self):
        """Discard the history; feeds after an older version then get 410."""
        self._compacted_version = self.version
        self._history.clear()

    def get(self, query):
        """Handle ``rows-get``; return status and body."""
        table, part = query.get('table_name', ''), query.get('part', '')
        start_key = query.get('from', '')
        limit = min(int(query.get('limit', MAX_ROWS)), MAX_ROWS)
        keys = sorted(
            key
            for (row_table, row_part, key) in self._rows
            if (row_table, row_part) == (table, part) and key >= start_key
        )
        rows = [self._row(table, part, key) for key in keys[:limit]]
        return 200, {'rows': rows, 'has_more': len(keys) > limit}

    def feed(self, query):
        """Handle ``rows-feed``; wait up to ``wait_ms`` for a change."""
        table, after = query['table_name'], int(query['after'])
        deadline = gevent.get_hub().loop.now() + (
            int(query.get('wait_ms', 0)) / 1000.0
        )
        while True:
            if not self._compacted_version <= after <= self.version:
                return 410, {}
            keys = {
                (row_table, part, key): None
                for version, row_table, part, key in self._history
                if version > after and row_table == table
            }
            remaining_s = deadline - gevent.get_hub().loop.now()
            if keys or remaining_s <= 0:
                return 200, {'rows': [self._row(*key) for key in keys]}
            self._changed.clear()
            self._changed.wait(remaining_s)

    def transact(self, body):
        """Handle ``rows-tx``; return status and body."""
        expected = body.get('expected', [])
        for row in expected:
            stored = self._rows.get(_key(row))
            if (stored[0] if stored else 0) != row['ver']:
                rows = [
                    self._row(*_key(row))
                    for row in expected
                    if _key(row) in self._rows
                ]
                return 412, {'rows': rows}
        writes = [(*_key(row), row['value']) for row in body.get('puts', [])]
        writes += [(*_key(row), None) for row in body.get('remove', [])]
        self._apply(writes)
        return 200, {}

    def application(self, environ, start_response):
        """Handle a WSGI request, according to the current mode."""
        self.calls += 1
        if self.mode == 'busy':
            start_response('503 Service Unavailable', [])
            return [b'']
        while self.mode == 'silent':
            gevent.sleep(0.05)
        status, body = self._dispatch(environ)
        if self.mode == 'lost':
            environ[_server.SOCKET_ENVIRON_KEY].close()
            return [b'']
        body |= {'ver': self.version, 'now_s': 0.0}
        data = json.dumps(body).encode()
        start_response(
            f'{status} Status',
            [
                ('Content-Type', 'application/json'),
                ('Store-Era', str(self.era)),
            ],
        )
        return [data]

    def _dispatch(self, environ):
        call_name = environ['PATH_INFO'].rpartition('/')[2]
        query = dict(urllib.parse.parse_qsl(environ['QUERY_STRING']))
        if call_name == 'rows-get':
            return self.get(query)
        if call_name == 'rows-feed':
            return self.feed(query)
        if call_name == 'rows-tx':
            return self.transact(json.load(environ['wsgi.input']))
        return 404, {}

    def _row(self, table, part, key):
        row = {'table_name': table, 'part': part, 'key': key}
        stored = self._rows.get((table, part, key))
        if stored is None:
            return row | {'tombstone': True, 'ver': self.version}
        return row | {'ver': stored[0], 'value': stored[1]}

    def _apply(self, writes):
        self.version += 1
        for table, part, key, value in writes:
            if value is None:
                self._rows.pop((table, part, key), None)
            else:
                self._rows[(table, part, key)] = (self.version, value)
            self._history.append((self.version, table, part, key))
        self._changed.set()


def _key(row):
    return row['table_name'], row['part'], row['key']


def serve(address):
    """Start a server with a new, empty store.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on; port 0 picks a free port.

    Returns
    -------
    tuple of (RowStore, Server)
        The store and its running server.
    """
    store = RowStore()
    server = _server.Server(address, store.application)
    server.start()
    return store, server
