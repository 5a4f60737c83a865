"""The node's process: its parts, its start and its planned stop."""

import abc
import gc
import logging
import os
import random
import signal

import attrs
import gevent
import gevent.event

from rosemarycrank.dataplane import _balance
from rosemarycrank.dataplane import _clients
from rosemarycrank.dataplane import _cost_rows
from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _discovery
from rosemarycrank.dataplane import _entry
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _reactor
from rosemarycrank.dataplane import _registration
from rosemarycrank.dataplane import _routes
from rosemarycrank.dataplane import _small_server
from rosemarycrank.dataplane import _target
from rosemarycrank.dataplane import _upstream

#: Seconds from the order to stop until open connections of clients are
#: closed when idle: the time in which clients learn that the node leaves.
LEAVE_S = 2.3

#: Share of the time until the process is killed in which it may finish.
FINISH_SHARE = 0.84

#: Seconds for the last results to leave before the process ends.
LINGER_S = 0.1

#: Seconds before the end in which calls of the target are not taken any
#: more: they could not be finished.
LAST_CALL_S = 1.0

#: Seconds between looks whether all is finished.
FINISH_CHECK_S = 0.05

#: Longest time from one change of a table to the next question for more, in
#: seconds. Nodes that call each other tell of targets at once; a
#: configuration has to be in force within the 2 s that the platform's bounds
#: leave.
TARGETS_PAUSE_S = 2.0
CONFIGURATION_PAUSE_S = 0.5

#: Keys of the rows that name the routes that clients use.
CLIENT_ROUTE_PREFIX = 'client-route/'

#: Allocations after which the collector looks at the young objects, and
#: its runs after which it looks at older ones. Requests free their memory
#: by reference counts, so rare runs suffice and pauses stay short.
GC_THRESHOLDS = (20000, 20, 50)

_LOG = logging.getLogger(__name__)


@attrs.frozen
class ProcessSettings:
    """What a node is told at its start.

    Attributes
    ----------
    node_name, failure_domain : str
        Name and place of the VM.
    client_address, ready_address, control_address : tuple of (str, int)
        Where requests, the question for readiness and heartbeats arrive.
    metrics_address : tuple of (str, int) or None
        Where metrics and the state dump are served.
    peer_address : str
        ``host:port`` for other nodes.
    peer_listen_address : tuple of (str, int)
        Where their connections are taken.
    target_address : tuple of (str, int)
        Address of the local target.
    service : str
        Its service.
    grace_s : float
        Seconds from the order to stop until the process is killed.
    budget : RetryBudgetSettings
        Bounds on repeats.
    targets_table : str
        Table in which nodes find each other.
    costs_table : str
        Table in which costs of requests are kept.
    configuration_table, configuration_key : str
        Row of the configuration.
    """

    node_name: str
    failure_domain: str
    client_address: tuple
    ready_address: tuple
    control_address: tuple
    metrics_address: object
    peer_address: str
    peer_listen_address: tuple
    target_address: tuple
    service: str
    grace_s: float
    budget: _node.RetryBudgetSettings
    targets_table: str
    costs_table: str
    configuration_table: str
    configuration_key: str


class Adapter(abc.ABC):
    """What a node needs to know of the place where it runs.

    Attributes
    ----------
    names : HeaderNames
        Names of header fields.
    """

    names = None

    @abc.abstractmethod
    def open_store(self, reactor):
        """Return the `Store`."""

    @abc.abstractmethod
    def decode_configuration(self, body):
        """Return the `Configuration` of a document."""

    @abc.abstractmethod
    def handle_control(self, message, registration):
        """Answer a request of the local target about itself."""

    @abc.abstractmethod
    def is_readiness_probe(self, message):
        """Return whether a request asks if the node is ready."""


class NodeProcess:
    """All parts of a node.

    Parameters
    ----------
    settings : ProcessSettings
        Its settings.
    adapter : Adapter
        The place where it runs.
    log_handler : RateLimitedHandler or None
        Handler of the log, for its counts.
    """

    def __init__(self, settings, adapter, log_handler=None):
        self.settings = settings
        self.adapter = adapter
        self.log_handler = log_handler
        self.stopping = False
        self._closing_at = None
        self.reactor = _reactor.Reactor()
        source = random.Random(os.urandom(16))
        self.incarnation = source.getrandbits(62)
        self.counters = _counters.Counters()
        self.costs = _costs.CallCosts(settings.service)
        self.front = _front.AdmitByCost(self.costs, self._count_targets)
        self._finished = gevent.event.Event()
        self.node = _node.Node(
            self.reactor,
            settings.peer_address,
            self.incarnation,
            adapter.decode_configuration,
            self.costs,
            self.front,
        )
        self._build(source)

    def _build(self, source):
        settings, node = self.settings, self.node
        self.pool = _upstream.UpstreamPool(
            self.reactor, settings.target_address, self.adapter.names
        )
        self.target_side = _target.TargetSide(
            self.reactor,
            self.pool,
            self.adapter.names,
            self.counters,
            self.costs,
            self.front,
        )
        node.set_target_side(self.target_side)
        picker = _routes.ServicePicker(source)
        self.entry = _entry.EntrySide(
            node,
            self.adapter.names,
            settings.service,
            _balance.ExpectedFinish(settings.failure_domain, source),
            picker,
            settings.budget,
            self.counters,
            source,
        )
        self.clients = _clients.ClientServer(self.reactor, self.entry)
        node.on_configuration.append(self._configured)
        node.on_configuration.append(lambda _new: picker.reset())
        node.on_client_route.append(self._publish_client_route)
        self.registration = _registration.Registration(
            settings.peer_address, self._announced
        )
        self.store = self.adapter.open_store(self.reactor)
        self.publisher = _discovery.RowPublisher(
            self.reactor,
            self.store,
            settings.targets_table,
            settings.peer_address,
            source,
        )
        self.targets = _discovery.TableFollower(
            self.reactor,
            self.store,
            settings.targets_table,
            self._take_target_row,
            source,
            TARGETS_PAUSE_S,
        )
        self.cost_rows = _cost_rows.CostRows(
            self.reactor,
            self.store,
            settings.costs_table,
            self.costs,
            self._writes_costs,
            source,
        )
        self.configurations = _discovery.TableFollower(
            self.reactor,
            self.store,
            settings.configuration_table,
            self._take_configuration_row,
            source,
            CONFIGURATION_PAUSE_S,
        )

    def run(self):
        """Serve until the process is told to stop."""
        settings = self.settings
        self._servers = [
            _small_server.HttpServer(
                self.reactor, settings.ready_address, self._answer_ready
            ),
            _small_server.HttpServer(
                self.reactor, settings.control_address, self._answer_control
            ),
        ]
        if settings.metrics_address is not None:
            self._servers.append(
                _small_server.HttpServer(
                    self.reactor,
                    settings.metrics_address,
                    self._answer_metrics,
                )
            )
        self.node.listen(settings.peer_listen_address)
        self.clients.listen(settings.client_address)
        self.configurations.start()
        self.targets.start()
        self.cost_rows.start()
        gevent.signal_handler(signal.SIGTERM, self.stop)
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        _LOG.warning(
            'node started',
            extra={
                'event': 'start',
                'incarnation': self.incarnation,
                'service': settings.service,
                'failure_domain': settings.failure_domain,
            },
        )
        self._finished.wait()

    def ready(self):
        """Return whether clients may send requests."""
        return (
            not self.stopping
            and self.node.configuration is not None
            and (
                self.targets.has_read
                or bool(self.node.directory.records_by_node)
            )
        )

    def stop(self):
        """Begin the planned stop: leave first, finish, then exit."""
        if self.stopping:
            return
        self.stopping = True
        _LOG.warning(
            'node stops',
            extra={'event': 'stop', 'under_way': self.entry.in_flight},
        )
        self.target_side.stopping = True
        self.clients.draining = True
        self.node.broadcast(_frames.Leaving())
        started_at = self.reactor.now()
        last_at = started_at + self.settings.grace_s * FINISH_SHARE
        self.reactor.timers.every(
            FINISH_CHECK_S,
            lambda now: self._finish(now, started_at + LEAVE_S, last_at),
        )

    def _finish(self, now, leave_at, last_at):
        if now < leave_at:
            return
        self.entry.refuses_clients = True
        self.entry.refuses_target_calls = now >= last_at - LAST_CALL_S
        if self.target_side.busy() and now < last_at:
            # What runs at the target may still call through this node.
            return
        self.clients.stop_accepting()
        self.clients.close_idle()
        if self.entry.in_flight > 0 and now < last_at:
            return
        if self._closing_at is None:
            self._closing_at = now
            self.node.close()
            self.pool.close()
        elif now >= self._closing_at + LINGER_S:
            _LOG.warning(
                'node stopped',
                extra={'event': 'stopped', 'under_way': self.entry.in_flight},
            )
            self._finished.set()

    def _announced(self, record):
        self.node.announce(record)
        self.publisher.publish(_node.encode_record(record))

    def _publish_client_route(self, route):
        row = _discovery.StoredRow(CLIENT_ROUTE_PREFIX + route, 0, b'{}')
        self.store.write(
            self.settings.targets_table,
            row,
            lambda reply: _LOG.debug(
                'route %s noted: %s', route, reply.kind.value
            ),
        )

    def _count_targets(self, service):
        return len(self.node.directory.ready_targets(service))

    def _writes_costs(self):
        records = self.node.directory.ready_targets(self.settings.service)
        first = min((record.node for record in records), default=None)
        return first == self.settings.peer_address

    def _configured(self, configuration):
        self.clients.limits = configuration.limits

    def _take_target_row(self, row):
        self.publisher.receive_row(row)
        if row.key == self.settings.peer_address:
            return
        if row.key.startswith(CLIENT_ROUTE_PREFIX):
            route = row.key.removeprefix(CLIENT_ROUTE_PREFIX)
            self.node.add_client_route(route)
            return
        if row.value is None:
            self.node.directory.remove(row.key)
            return
        try:
            record = _node.decode_record(row.value)
        except ValueError as error:
            _LOG.warning(
                'row %s cannot be read: %s',
                row.key,
                error,
                extra={'event': 'row_invalid', 'version': row.version},
            )
            return
        self.node.merge(record)

    def _take_configuration_row(self, row):
        if row.key == self.settings.configuration_key and row.value:
            self.node.install(row.value, f'store at {row.version}')

    def _answer_ready(self, message):
        if not self.adapter.is_readiness_probe(message):
            return _small_server.Reply(404)
        return _small_server.Reply(200 if self.ready() else 503)

    def _answer_control(self, message):
        return self.adapter.handle_control(message, self.registration)

    def _answer_metrics(self, message):
        # Late import: a scrape may pay for it, the start of a node not.
        from rosemarycrank.dataplane import _metrics

        return _metrics.handle_request(self, message)
