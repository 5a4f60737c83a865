"""The store's table of targets: rows that this node reads and writes."""

import logging

from rosemarycrank.dataplane import _crash_rows
from rosemarycrank.dataplane import _discovery
from rosemarycrank.dataplane import _node

#: Longest delay between a change of the table and the next long poll, in
#: seconds. Announcements by peers usually arrive first.
MAX_POLL_DELAY_S = 2.0

#: Polls of the table a second of all nodes together, during a series of
#: changes, and the longest delay of one node, in seconds. Nodes in contact
#: with others learn of changes from them.
FLEET_POLLS_PER_S = 25.0
MAX_FLEET_POLL_DELAY_S = 60.0

#: Rows a second that all nodes together write again after the store has lost
#: them; well below what a store takes.
REWRITES_PER_S = 200.0

#: Prefix of the keys of rows that name the routes that clients use.
CLIENT_ROUTE_PREFIX = 'client-route/'

_LOG = logging.getLogger(__name__)


class TargetTable:
    """Reads and follows the table of targets, and keeps this node's row.

    Parameters
    ----------
    reactor : Reactor
        Event loop.
    store : Store
        Store that holds the table.
    table : str
        Name of the table.
    node : Node
        This node, which is told of the other nodes' targets.
    random : random.Random
        Random source.

    Attributes
    ----------
    follower : TableFollower
        Follows the table.
    """

    def __init__(self, reactor, store, table, node, random):
        self._reactor = reactor
        self._random = random
        self._published_routes = set()
        self._store = store
        self._table = table
        self._node = node
        self._publisher = _discovery.RowPublisher(
            reactor, store, table, node.address, random
        )
        self._crash_rows = _crash_rows.CrashRows(
            reactor, store, table, node.address, node.crash_history, random
        )
        self.follower = _discovery.TableFollower(
            reactor, store, table, self.receive_row, random, MAX_POLL_DELAY_S
        )

    @property
    def has_read(self):
        """Whether the table has been read completely at least once."""
        return self.follower.has_read

    def start(self):
        """Start reading the table."""
        self.follower.start()

    def publish(self, record):
        """Keep the row of the local target at a record."""
        self._publisher.publish(_node.encode_record(record))

    def call_when_stored(self, callback):
        """Call a function once the store has the record published last."""
        self._publisher.on_stored.append(callback)

    def recover(self):
        """Read the table again, and write what the store may have lost.

        Returns
        -------
        int
            Number of rows that are written again.
        """
        self.follower.read_again()
        node_count = len(self._node.directory.records_by_node)
        delay_s = max(
            _discovery.MIN_REWRITE_DELAY_S, node_count / REWRITES_PER_S
        )
        self._publisher.max_delay_s = delay_s
        for route in sorted(self._published_routes):
            self._reactor.timers.after(
                delay_s * self._random.random(),
                lambda _now, route=route: self._write_client_route(route),
            )
        return (
            self._publisher.write_again()
            + self._crash_rows.recover(delay_s)
            + len(self._published_routes)
        )

    def publish_client_route(self, route):
        """Tell nodes that start later that clients use a route."""
        self._published_routes.add(route)
        self._write_client_route(route)

    def _write_client_route(self, route):
        row = _discovery.StoredRow(CLIENT_ROUTE_PREFIX + route, 0, b'{}')
        self._store.write(
            self._table,
            row,
            lambda reply: _LOG.debug(
                'client route %s published: %s', route, reply.kind.value
            ),
        )

    def receive_row(self, row):
        """Process a row that was read.

        Parameters
        ----------
        row : StoredRow
            The row.
        """
        self._adapt_polls()
        self._publisher.receive_row(row)
        if row.key.startswith(CLIENT_ROUTE_PREFIX):
            route = row.key.removeprefix(CLIENT_ROUTE_PREFIX)
            self._node.add_client_route(route)
        elif row.key.startswith(_crash_rows.KEY_PREFIX):
            self._crash_rows.receive_row(row)
        elif row.value is None:
            if row.key != self._node.address:
                self._node.directory.remove(row.key)
        else:
            self._receive_record(row)

    def _receive_record(self, row):
        try:
            record = _node.decode_record(row.value)
            if record.node != row.key:
                raise ValueError(f'record of node {record.node!r}')
        except ValueError as error:
            _LOG.warning(
                'invalid target record in row %s ignored: %s',
                row.key,
                error,
                extra={'event': 'row_invalid', 'version': row.version},
            )
            return
        self._node.merge(record)

    def _adapt_polls(self):
        """Let the store carry the polls of many nodes."""
        delay_s = MAX_POLL_DELAY_S
        if self._node.is_in_contact():
            node_count = len(self._node.directory.records_by_node)
            delay_s = max(
                delay_s,
                min(MAX_FLEET_POLL_DELAY_S, node_count / FLEET_POLLS_PER_S),
            )
        self.follower.max_poll_delay_s = delay_s
        self.follower.max_reread_delay_s = delay_s - MAX_POLL_DELAY_S
