"""Stand-in of the users' store: rows with versions, and a feed of changes.

It speaks the platform's published calls for rows, so that tests and the
soak need nothing else. Rows live in memory; a switch makes it refuse, fall
silent or lose answers.
"""

import json
import urllib.parse

import gevent
from gevent import event

from rosemarycrank.standins import _server

#: Most rows of one answer.
MOST_ROWS = 500

#: How the store misbehaves: not at all, 503 to every call, no answer, and
#: an answer that is lost after the write.
MODES = ('up', 'busy', 'silent', 'lost')


class RowStore:
    """Rows by table, part and key, and their history.

    Attributes
    ----------
    version : int
        Counter of all writes.
    mode : str
        One of `MODES`.
    calls : int
        Calls so far.
    """

    def __init__(self):
        self.version = 0
        self.mode = 'up'
        self.calls = 0
        self._rows = {}
        self._history = []
        self._forgotten = 0
        self._changed = event.Event()

    def put(self, table, key, value, part=''):
        """Write a row as the operator does.

        Parameters
        ----------
        table, key : str
            The row.
        value : str
            Base64 text.
        part : str, default=''
            Its part.

        Returns
        -------
        int
            Version of the write.
        """
        self._apply([(table, part, key, value)])
        return self.version

    def compact(self):
        """Forget the history of changes."""
        self._forgotten = self.version
        self._history.clear()

    def get(self, query):
        """Answer ``rows-get``."""
        table, part = query.get('table_name', ''), query.get('part', '')
        first = query.get('from', '')
        limit = min(int(query.get('limit', MOST_ROWS)), MOST_ROWS)
        keys = sorted(
            key
            for (of_table, of_part, key) in self._rows
            if (of_table, of_part) == (table, part) and key >= first
        )
        rows = [self._row(table, part, key) for key in keys[:limit]]
        return 200, {'rows': rows, 'has_more': len(keys) > limit}

    def feed(self, query):
        """Answer ``rows-feed``; waits until something changes."""
        table, after = query['table_name'], int(query['after'])
        deadline = gevent.get_hub().loop.now() + (
            int(query.get('wait_ms', 0)) / 1000.0
        )
        while True:
            if after < self._forgotten:
                return 410, {}
            keys = {
                (of_table, part, key): None
                for version, of_table, part, key in self._history
                if version > after and of_table == table
            }
            left_s = deadline - gevent.get_hub().loop.now()
            if keys or left_s <= 0:
                return 200, {'rows': [self._row(*key) for key in keys]}
            self._changed.clear()
            self._changed.wait(left_s)

    def transact(self, body):
        """Answer ``rows-tx``."""
        expected = body.get('expected', [])
        for row in expected:
            stands = self._rows.get(_key(row))
            if (stands[0] if stands else 0) != row['ver']:
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
        """WSGI application of the store."""
        self.calls += 1
        if self.mode == 'busy':
            start_response('503 Service Unavailable', [])
            return [b'']
        while self.mode == 'silent':
            gevent.sleep(0.05)
        status, body = self._dispatch(environ)
        if self.mode == 'lost':
            environ[_server.SOCKET_KEY].close()
            return [b'']
        body |= {'ver': self.version, 'now_s': 0.0}
        data = json.dumps(body).encode()
        start_response(
            f'{status} Status', [('Content-Type', 'application/json')]
        )
        return [data]

    def _dispatch(self, environ):
        call = environ['PATH_INFO'].rpartition('/')[2]
        query = dict(urllib.parse.parse_qsl(environ['QUERY_STRING']))
        if call == 'rows-get':
            return self.get(query)
        if call == 'rows-feed':
            return self.feed(query)
        if call == 'rows-tx':
            return self.transact(json.load(environ['wsgi.input']))
        return 404, {}

    def _row(self, table, part, key):
        row = {'table_name': table, 'part': part, 'key': key}
        stands = self._rows.get((table, part, key))
        if stands is None:
            return row | {'tombstone': True, 'ver': self.version}
        return row | {'ver': stands[0], 'value': stands[1]}

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
    """Serve a store.

    Parameters
    ----------
    address : str
        ``host:port``; port 0 takes a free one.

    Returns
    -------
    tuple of (RowStore, Server)
        The store and its server, started.
    """
    store = RowStore()
    server = _server.Server(address, store.application)
    server.start()
    return store, server
