"""Process of a node: its components, start and planned stop."""

import gc
import logging
import os
import random
import signal

import attrs
import gevent.event

from rosemarycrank.dataplane import _allocator
from rosemarycrank.dataplane import _balance
from rosemarycrank.dataplane import _binding
from rosemarycrank.dataplane import _clients
from rosemarycrank.dataplane import _cost_rows
from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _descriptor_shares
from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _discovery
from rosemarycrank.dataplane import _entry
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _memory_guard
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _planned_stop
from rosemarycrank.dataplane import _process_settings
from rosemarycrank.dataplane import _reactor
from rosemarycrank.dataplane import _registration
from rosemarycrank.dataplane import _resident_memory
from rosemarycrank.dataplane import _routes
from rosemarycrank.dataplane import _small_server
from rosemarycrank.dataplane import _store_era
from rosemarycrank.dataplane import _target
from rosemarycrank.dataplane import _target_table
from rosemarycrank.dataplane import _upstream
from rosemarycrank import process_signals

#: Longest delay between a change of the configuration and the next long poll,
#: in seconds.
MAX_CONFIGURATION_POLL_DELAY_S = 0.5

#: Net allocations that start a collection of the youngest objects, and the
#: numbers of collections after which the older generations are included.
#: Requests free their memory by reference counting, so rare collections
#: suffice and pauses stay short.
GC_THRESHOLDS = (20000, 20, 50)

#: Number of connections of clients with an unfinished request that are closed
#: after a sample of the resident memory that is close to the limit.
MAX_UNFINISHED_SHED = 256

#: Longest time for which the acknowledgement of a leaving waits until the
#: store has it, in seconds. A target waits for a second.
MAX_STORING_S = 0.5

#: Seconds between checks whether a first heartbeat can be followed.
HELD_CHECK_INTERVAL_S = 0.05

#: Seconds between deliveries of the signals that have been received.
SIGNAL_INTERVAL_S = 0.01

#: Seconds between tries to serve metrics while their address is taken.
METRICS_RETRY_INTERVAL_S = 1.0

_LOG = logging.getLogger(__name__)


class NodeProcess:
    """Creates, runs and stops the components of a node.

    Parameters
    ----------
    settings : ProcessSettings
        Settings of the process.
    adapter : Adapter
        Interface to the platform.
    log_handler : RateLimitedHandler or None
        Handler of the log; its counters appear in the metrics.
    signals : ProcessSignals, optional
        Signals of the process; none are handled if not given.
    """

    def __init__(self, settings, adapter, log_handler=None, signals=None):
        self.settings = settings
        self.adapter = adapter
        self.log_handler = log_handler
        self.signals = signals or process_signals.ProcessSignals()
        self.reactor = _reactor.Reactor()
        rng = random.Random(os.urandom(16))
        self.incarnation = rng.getrandbits(62)
        self.counters = _counters.Counters()
        self.memory = _memory.MemoryAccount(settings.max_memory_bytes)
        self.resident_memory = _resident_memory.ResidentMemory(
            self.reactor, self.memory, settings.max_memory_bytes
        )
        self.memory_guard = _memory_guard.MemoryGuard(
            self.memory, settings.max_memory_bytes
        )
        self.resident_memory.on_sample.append(self.memory_guard.update)
        self.costs = _costs.CallCosts(settings.service)
        self.front = _front.AdmitByCost(
            self.costs, lambda service: self.node.usable_targets.count(service)
        )
        self._stopped = gevent.event.Event()
        self._http_servers = []
        self._small_server_room = _small_server.Room(
            self.memory.budget(
                'control', _small_server.MEMORY_SHARE, is_reserved=True
            )
        )
        self._is_metrics_failure_logged = False
        self.node = _node.Node(
            self.reactor,
            settings.peer_address,
            self.incarnation,
            adapter.decode_configuration,
            self.costs,
            self.front,
            self.memory,
        )
        self.node.inbound_connections.max_count = _descriptor_shares.nodes(
            settings.max_descriptors
        )
        self.node.inbound_connections.max_known_count = (
            _descriptor_shares.known_nodes(settings.max_descriptors)
        )
        self._create_components(rng)

    def _create_components(self, rng):
        settings, node = self.settings, self.node
        self.pool = _upstream.UpstreamPool(
            self.reactor,
            settings.target_address,
            self.adapter.names,
            self.memory.budget(
                'target_responses', large_until=_memory.Shortage.UNFINISHED
            ),
        )
        self.target_side = _target.TargetSide(
            self.reactor,
            self.pool,
            self.adapter.names,
            self.counters,
            self.costs,
            self.front,
            settings.drain_s,
            self.memory,
            self.pool.budget,
        )
        node.set_target_side(self.target_side)
        picker = _routes.ServicePicker(rng)
        self.entry = _entry.EntrySide(
            node,
            self.adapter.names,
            settings.service,
            _balance.ExpectedFinish(settings.failure_domain, rng),
            picker,
            settings.budget,
            self.counters,
            rng,
        )
        self.clients = _clients.ClientServer(
            self.reactor,
            self.entry,
            _descriptor_shares.clients(settings.max_descriptors),
            self.memory.budget('client_requests'),
            self.memory.budget('client_connections'),
            self.memory.budget('client_output'),
        )
        self.memory_guard.subscribe(
            'unfinished_requests',
            self.clients.refuse_newest_unfinished,
            MAX_UNFINISHED_SHED,
        )
        self.memory_guard.subscribe(
            'idle_connections', self.clients.close_longest_idle
        )
        self.planned_stop = _planned_stop.PlannedStop(
            node,
            self.entry,
            self.target_side,
            self.clients,
            self.pool,
            settings.grace_s,
            self._stopped.set,
        )
        node.on_configuration.append(self._apply_limits)
        node.on_configuration.append(lambda _new: picker.reset())
        self.registration = _registration.Registration(
            settings.peer_address,
            self._publish_record,
            lambda: node.directory.is_ended(settings.peer_address),
            lambda: self.target_table.has_read and node.is_informed(),
            settings.service,
            self.reactor.now,
        )
        node.on_local_record = self.registration.learn
        self._held_timer = self.reactor.timers.every(
            HELD_CHECK_INTERVAL_S, self._check_held_heartbeat
        )
        self.target_side.on_leaving = self.registration.leave
        self.store = _store_era.EraStore(self.adapter.open_store(self.reactor))
        self.target_table = _target_table.TargetTable(
            self.reactor, self.store, settings.targets_table, node, rng
        )
        node.on_client_route.append(self.target_table.publish_client_route)
        node.has_read_directory = lambda: self.target_table.has_read
        self.cost_rows = _cost_rows.CostRows(
            self.reactor,
            self.store,
            settings.costs_table,
            self.costs,
            self._is_costs_writer,
            rng,
        )
        self.configuration_follower = _discovery.TableFollower(
            self.reactor,
            self.store,
            settings.configuration_table,
            self._receive_configuration_row,
            rng,
            MAX_CONFIGURATION_POLL_DELAY_S,
        )

        for callback in (
            self.target_table.recover,
            self.cost_rows.recover,
            self.configuration_follower.read_again,
        ):
            self.store.on_rise(callback)

    def update_settings(self, settings):
        """Take what may change while the process runs.

        That is the grace time, if no stop has begun; the drain time, for
        leavings from now on; the retry budget; and the memory limit.

        Parameters
        ----------
        settings : ProcessSettings
            The new settings, of which the others are ignored.
        """
        taken = {
            name: getattr(settings, name)
            for name in _process_settings.CHANGEABLE
        }
        self.settings = attrs.evolve(self.settings, **taken)
        self.planned_stop.set_grace(settings.grace_s)
        self.target_side.set_drain_s(settings.drain_s)
        self.entry.set_retry_budget(settings.budget)
        self.memory.set_limit(settings.max_memory_bytes)
        self.memory_guard.limit_bytes = settings.max_memory_bytes
        self.resident_memory.limit_bytes = settings.max_memory_bytes

    def run(self):
        """Serve requests until the planned stop is complete.

        Raises
        ------
        AddressTakenError
            If an address that is needed to serve stays taken.
        StopRequestedError
            If the process is to stop before it serves.
        """
        self._start()
        self._stopped.wait()

    def _start(self):
        """Start to serve, from the first pass of the loop on."""
        settings = self.settings
        self._listen_for_http(
            settings.ready_address, self._handle_readiness_request
        )
        self._listen_for_http(
            settings.control_address, self._handle_control_request
        )
        self._listen(settings.peer_listen_address, self.node.listen)
        self._listen(settings.client_address, self.clients.listen)
        if settings.metrics_address is not None:
            self._serve_metrics()
        self.resident_memory.start()
        self.configuration_follower.start()
        self.target_table.start()
        self.cost_rows.start()
        _allocator.fix_thresholds()
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        self.signals.check_start()
        self.signals.subscribe(signal.SIGTERM, self.planned_stop.begin)
        self.reactor.timers.every(
            SIGNAL_INTERVAL_S, lambda _now: self.signals.deliver()
        )
        _LOG.warning(
            'node started',
            extra={
                'event': 'start',
                'incarnation': self.incarnation,
                'service': settings.service,
                'failure_domain': settings.failure_domain,
            },
        )

    def _listen(self, address, open_listener):
        return _binding.listen(
            address, open_listener, self.signals.check_start
        )

    def _listen_for_http(self, address, handle):
        server = self._listen(
            address,
            lambda address: self._open_small_server(address, handle),
        )
        self._http_servers.append(server)

    def _open_small_server(self, address, handle):
        share = _descriptor_shares.small_server(self.settings.max_descriptors)
        return _small_server.HttpServer(
            self.reactor,
            address,
            handle,
            self._small_server_room,
            min(_small_server.MAX_CONNECTIONS, share),
        )

    def _serve_metrics(self):
        """Serve metrics, now or once their address is free."""
        address = self.settings.metrics_address
        try:
            server = self._open_small_server(
                address, self._handle_metrics_request
            )
        except OSError as error:
            if not self._is_metrics_failure_logged:
                self._is_metrics_failure_logged = True
                _LOG.error(
                    'metrics are not served: %s',
                    error,
                    extra={
                        'event': 'metrics_unavailable',
                        'address': '%s:%d' % address,
                    },
                )
            self.reactor.timers.after(
                METRICS_RETRY_INTERVAL_S, lambda _now: self._serve_metrics()
            )
            return
        self._http_servers.append(server)
        if self._is_metrics_failure_logged:
            _LOG.warning(
                'metrics are served', extra={'event': 'metrics_available'}
            )

    def _check_held_heartbeat(self, _now):
        self.registration.check_held()
        if self.target_side.record is not None:
            # Only the first heartbeat of all is held.
            self._held_timer.cancel()

    def ready(self):
        """Return whether clients may send requests.

        The node needs a configuration, targets from the store or from other
        nodes, and what nodes tell each other. Its own target alone does not
        show which targets the services have.
        """
        return (
            not self.planned_stop.has_begun
            and not self.signals.has_stop
            and self.node.configuration is not None
            and (self.target_table.has_read or self.node.knows_other_nodes())
            and self.node.is_informed()
        )

    def _publish_record(self, record):
        self.node.announce(record)
        self.target_table.publish(record)

    def _is_costs_writer(self):
        """Return whether this node stores the costs of its service.

        It does if it has the smallest address of the nodes with a ready
        target of the service.
        """
        records = self.node.directory.ready_targets(self.settings.service)
        writer = min((record.node for record in records), default=None)
        return writer == self.settings.peer_address

    def _apply_limits(self, configuration):
        self.clients.limits = configuration.limits

    def _receive_configuration_row(self, row):
        if row.key == self.settings.configuration_key and row.value:
            self.node.install(
                row.value, f'store at {row.version}', is_stored=True
            )

    def _handle_readiness_request(self, message):
        if not self.adapter.is_readiness_probe(message):
            return _small_server.Reply(404)
        return _small_server.Reply(200 if self.ready() else 503)

    def _handle_control_request(self, message):
        known = self.target_side.record
        reply = self.adapter.handle_control(message, self.registration)
        record = self.target_side.record
        if record is known or record.state == _directory.READY:
            return reply
        # A later process of this node is bound by the acknowledgement, and
        # learns of it from the store.
        delayed = _small_server.DelayedReply()
        self.target_table.call_when_stored(lambda: delayed.send(reply))
        self.reactor.timers.after(
            MAX_STORING_S, lambda _now: delayed.send(reply)
        )
        return delayed

    def _handle_metrics_request(self, message):
        # Imported by the first scrape, to keep the start of a node fast.
        from rosemarycrank.dataplane import _metrics

        return _metrics.handle_request(self, message)
