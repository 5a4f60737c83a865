"""State of a node that the entry side and the target side share."""

import logging
import random

import attrs
import msgspec

from rosemarycrank.dataplane import _contacts
from rosemarycrank.dataplane import _cost_reports
from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _crash_exchange
from rosemarycrank.dataplane import _crash_history
from rosemarycrank.dataplane import _demand_reports
from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _directory_sync
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _inbound
from rosemarycrank.dataplane import _inbound_connections
from rosemarycrank.dataplane import _local_peer
from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _origins
from rosemarycrank.dataplane import _peer_connection
from rosemarycrank.dataplane import _peers
from rosemarycrank.dataplane import _reactor
from rosemarycrank.dataplane import _repeated_lines
from rosemarycrank.dataplane import _restart_times
from rosemarycrank.dataplane import _result_delivery
from rosemarycrank.dataplane import _suspect_place
from rosemarycrank.dataplane import _suspect_runs
from rosemarycrank.dataplane import _usable_targets
from rosemarycrank import decoding

#: Seconds between checks of the connections to other nodes.
PEER_CHECK_INTERVAL_S = 0.1

#: Time after its start for which a node waits for what the others know, in
#: seconds. It may be cut off from all of them.
INFORMATION_TIMEOUT_S = 1.0

#: Shortest time between two lines about invalid configurations, in seconds.
INVALID_LINE_INTERVAL_S = 1.0

#: Time after its crash for which a target gets no work unless its node has a
#: newer record, in seconds.
ENDED_TARGET_S = 10.0

_RECORD_DECODER = msgspec.json.Decoder(_frames.TargetRecord)
_LOG = logging.getLogger(__name__)


@attrs.frozen
class RetryBudgetSettings:
    """Limit on the retries that all nodes together send to a service.

    Attributes
    ----------
    ratio : float
        Number of retries allowed per request to the service.
    slack : float
        Number of retries allowed in addition.
    """

    ratio: float = 0.2
    slack: float = 48.0


class Node:
    """A node: its configuration, known targets and connections.

    Parameters
    ----------
    reactor : Reactor
        Event loop.
    address : str
        ``host:port`` at which this node accepts attempts.
    incarnation : int
        Random number that identifies this process.
    decode_configuration : callable
        Decodes a document to a `Configuration`; raises ValueError.
    costs : CallCosts
        Estimates of the calls that requests cause.
    front : FrontAdmission
        Load shedding of client requests at this node as their entry node.
    memory : MemoryAccount, optional
        Account of the process; a default one if not given.

    Attributes
    ----------
    attempt_budget, result_budget : Budget
        Memory for large attempts and results of other nodes.
    output_budget : Budget
        Memory for attempts at other nodes, and for what waits to be sent.
    input_budget : Budget
        Memory for connections of other nodes and their unfinished frames.
    configuration : Configuration or None
        Current configuration; None before the first one is installed.
    directory : Directory
        Known targets of all services.
    usable_targets : UsableTargets
        Targets whose nodes take attempts.
    restart_times : RestartTimes
        Times that crashed targets take to start again.
    peers_by_node : dict of str to Peer
        Nodes whose targets this node calls, by address; includes this node.
    inbound_connections : InboundConnections
        Connections that other nodes opened to this one.
    last_attempt_number : int
        Number of the newest attempt of this node.
    target_side : TargetSide or None
        Admission and runs of attempts at the local target.
    on_configuration : list of callable
        Called with each installed `Configuration`.
    on_client_route : list of callable
        Called with the name of each client route that this node detects.
    origins : RouteOrigins
        Detects which routes clients use.
    crash_history : CrashHistory
        Crashes of targets, and the requests that may have caused them.
    crash_exchange : CrashExchange
        Exchange of these facts with other nodes.
    active_ping_interval_s : float
        Silence after which a peer that gets attempts, and owes no result, is
        pinged.
    directory_sync : DirectorySync
        Comparisons of the directory with those of other nodes.
    result_delivery : ResultDelivery
        Results of attempts at other nodes.
    has_read_directory : callable
        Returns whether all records of the store have been read.
    on_local_record : callable
        Called with each record of the local target that another node or the
        store knows.
    """

    def __init__(
        self,
        reactor,
        address,
        incarnation,
        decode_configuration,
        costs,
        front,
        memory=None,
    ):
        memory = memory or _memory.MemoryAccount()
        self.attempt_budget = memory.budget('node_attempts')
        self.result_budget = memory.budget(
            'node_results', large_until=_memory.Shortage.UNFINISHED
        )
        self.output_budget = memory.budget('node_output')
        self.input_budget = _inbound_connections.budget(memory)
        self.reactor = reactor
        self.address = address
        self.incarnation = incarnation
        self.decode_configuration = decode_configuration
        self.costs = costs
        self.front = front
        self.configuration = None
        self.directory = _directory.Directory()
        self.restart_times = _restart_times.RestartTimes()
        self.peers_by_node = {}
        self.inbound_connections = _inbound_connections.InboundConnections(
            reactor, self.input_budget
        )
        self.last_attempt_number = 0
        self.active_ping_interval_s = _peer_connection.ACTIVE_PING_INTERVAL_S
        self.usable_targets = _usable_targets.UsableTargets(
            self.directory, self.peers_by_node
        )
        self.target_side = None
        self.on_configuration = []
        self.on_client_route = []
        self.origins = _origins.RouteOrigins(
            reactor.now(), self._client_route_detected
        )
        self.crash_history = _crash_history.CrashHistory(
            reactor, self._handle_crash
        )
        self.crash_exchange = _crash_exchange.CrashExchange(
            self, random.Random(incarnation)
        )
        self.directory_sync = _directory_sync.DirectorySync(
            self.directory, self.merge_received, random.Random(incarnation)
        )
        self.result_delivery = _result_delivery.ResultDelivery(reactor)
        self.has_read_directory = lambda: True
        self.on_local_record = lambda _record: None
        self._started_at = reactor.now()
        self._has_met_node = False
        self._listener = None
        self._cost_reports = _cost_reports.CostReports(costs)
        self._invalid_lines = _repeated_lines.RepeatedLines(
            INVALID_LINE_INTERVAL_S
        )
        reactor.timers.every(PEER_CHECK_INTERVAL_S, self._check_peers)
        reactor.timers.every(
            _inbound.SILENCE_CHECK_INTERVAL_S, self._check_silence
        )
        reactor.timers.every(_costs.WINDOW_S, self._report_costs)
        reactor.timers.every(_front.UPDATE_INTERVAL_S, self._update_front)
        reactor.timers.every(
            _contacts.CHECK_INTERVAL_S, _contacts.Contacts(self).keep
        )
        reactor.timers.every(
            _demand_reports.REPORT_INTERVAL_S,
            _demand_reports.DemandReports(self).send,
        )

    def listen(self, address):
        """Accept connections from other nodes.

        Parameters
        ----------
        address : tuple of (str, int)
            Address to listen on.
        """
        self._listener = _reactor.Listener(
            self.reactor,
            address,
            lambda sock, _ip: self.inbound_connections.add(
                _inbound.InboundConnection(self, sock)
            ),
        )

    def set_target_side(self, target_side):
        """Set the target side and make it callable like a peer."""
        self.target_side = target_side
        target_side.suspect_runs = _suspect_runs.SuspectRuns(
            self.crash_history, self.crash_exchange.tell_all, self._is_place
        )
        self.peers_by_node[self.address] = _local_peer.LocalPeer(
            target_side, target_side.callers.get(self.incarnation)
        )

    def _is_place(self, digest):
        """Return whether a suspected request may run at the local target."""
        service = self.target_side.record.service
        place = _suspect_place.find(self, service, digest)
        return place is None or place.node == self.address

    def peer(self, address):
        """Return the peer at an address; create it if it is new."""
        peer = self.peers_by_node.get(address)
        if peer is None:
            peer = _peers.Peer(address, self)
            self.peers_by_node[address] = peer
        return peer

    def hello(self, generation, receiver, features=_frames.FEATURES):
        """Return the handshake frame of a connection.

        Parameters
        ----------
        generation : int
            Number of the connection; 0 if the other node opened it.
        receiver : str
            Address of the other node. It is sent what is known of its target,
            as it may have just started.
        features : int, optional
            `Feature` flags of the other node; those of this build before it
            has sent them.
        """
        records = self.directory.records()
        if features & _frames.Feature.DIRECTORY_DIGESTS:
            records = [
                r for r in records if r.node in (self.address, receiver)
            ]
        return _frames.Hello(
            _frames.PROTOCOL_VERSION,
            self.address,
            self.incarnation,
            generation,
            self.configuration_version(),
            records,
            sorted(self.origins.client_routes),
            int(_frames.FEATURES),
            self.directory.digest,
            self.crash_history.suspicions(),
            self.crash_history.digest,
        )

    def configuration_version(self):
        """Return the version of the configuration; -1 if there is none."""
        if self.configuration is None:
            return -1
        return self.configuration.version

    def install(self, body, source, is_stored=False):
        """Replace the configuration if a document holds a newer version.

        An invalid document is logged and ignored.

        Parameters
        ----------
        body : bytes
            Configuration document.
        source : str
            Sender of the document, for the log.
        is_stored : bool, default=False
            Whether this is what the store has now. Among documents of the
            same version, it counts.
        """
        try:
            configuration = self.decode_configuration(body)
        except ValueError as error:
            self._log_invalid_configuration(source, error)
            return
        if not self._is_news(configuration, is_stored):
            return
        _LOG.warning(
            'configuration version %d installed',
            configuration.version,
            extra={
                'event': 'configuration',
                'previous': self.configuration_version(),
                'source': source,
                'routes': len(configuration.routes),
            },
        )
        self.configuration = configuration
        routes = {route.name for route in configuration.routes}
        self.costs.retain(routes)
        self._cost_reports.retain(routes)
        for callback in self.on_configuration:
            self.reactor.guard.call(callback, configuration)

    def _log_invalid_configuration(self, source, error):
        lines = self._invalid_lines
        if not lines.suppress(self.reactor.now()):
            _LOG.error(
                'invalid configuration from %s ignored: %s',
                source,
                error,
                extra={
                    'event': 'configuration_invalid',
                    'suppressed': lines.take_suppressed(),
                },
            )

    def _is_news(self, configuration, is_stored):
        """Return whether a configuration replaces the one in force.

        A store that comes back from an older copy may get another one under
        the same number.
        """
        known = self.configuration
        if known is None or configuration.version != known.version:
            return configuration.version > self.configuration_version()
        if configuration.body == known.body:
            return False
        _LOG.warning(
            'another configuration has version %d, too',
            configuration.version,
            extra={
                'event': 'configuration_differs',
                'is_installed': is_stored,
            },
        )
        return is_stored

    def broadcast(self, frame):
        """Send a notification to every connected node."""
        for connection in self.connections():
            self.reactor.guard.call(connection.notify, frame)

    def connections(self):
        """Return one open connection to each other node.

        Returns
        -------
        list of Peer or InboundConnection
            Those that this node has opened come first.
        """
        by_address = {
            address: peer
            for address, peer in self.peers_by_node.items()
            if peer.connected and address != self.address
        }
        for connection in self.inbound_connections:
            if connection.connected:
                by_address.setdefault(connection.address, connection)
        return list(by_address.values())

    def all_connections(self):
        """Return the open connections to and from the other nodes.

        Returns
        -------
        list of Peer or InboundConnection
            Up to two for a node.
        """
        peers = [
            peer
            for address, peer in self.peers_by_node.items()
            if peer.connected and address != self.address
        ]
        return peers + [c for c in self.inbound_connections if c.connected]

    def request_newer_configuration(self, version, connection):
        """Request the configuration of another node if it is newer.

        Parameters
        ----------
        version : int
            Version of the other node's configuration.
        connection : Peer or InboundConnection
            Connection to the other node.
        """
        if version > self.configuration_version():
            connection.notify(_frames.ConfigurationRequest())

    def receive_load(self, load, address, now):
        """Process a load report of a target's node.

        Parameters
        ----------
        load : rosemarycrank.dataplane.Load
            The reported load.
        address : str
            Address of the reporting node.
        now : float
            Time of receipt, in seconds of the node's clock.
        """
        record = self.directory.records_by_node.get(address)
        # A target that is leaving or has ended, or whose node stops, gets no
        # new work, so its load says nothing about the service.
        if self.usable_targets.contains(address):
            self.front.receive_load(record.service, address, load, now)
        for service, pressure in load.pressures.items():
            self.front.receive_pressure(service, pressure, now)

    def receive_hello(self, hello, connection):
        """Process the handshake of another node.

        Parameters
        ----------
        hello : rosemarycrank.dataplane.Hello
            Handshake frame with the targets, the client routes and the
            configuration version that the other node knows.
        connection : Peer or InboundConnection
            Connection on which it arrived.
        """
        self._has_met_node = True
        self.crash_exchange.receive_hello(hello, connection)
        self.merge_received(hello.records, connection)
        for route in hello.client_routes:
            self.add_client_route(route)
        self.request_newer_configuration(
            hello.configuration_version, connection
        )
        peer = self.peers_by_node.get(hello.node)
        if peer is connection:
            self._compare_directories(hello, peer)
            self.crash_exchange.receive_digest(hello.crash_digest, peer)
        if peer is not None and peer is not connection and not peer.reachable:
            peer.reset_backoff()

    def _compare_directories(self, hello, peer):
        if _knows_others(hello):
            self.directory_sync.receive_digest(
                hello.directory_digest, peer, self.reactor.now()
            )
        else:
            peer.notify(_frames.Announcement(self.directory.records()))

    def add_client_route(self, route):
        """Record that clients use a route, as another node has detected."""
        if route not in self.origins.client_routes:
            self.origins.add_client_route(route)
            self.costs.drop_calls(route)

    def receive_notification(self, frame, connection):
        """Process a notification of another node.

        Parameters
        ----------
        frame : msgspec.Struct
            Any frame except attempts, results, pings and handshakes.
        connection : Peer or InboundConnection
            Connection on which it arrived.
        """
        if isinstance(frame, _frames.Announcement):
            self.merge_received(frame.records, connection)
        elif isinstance(frame, _frames.ConfigurationRequest):
            if self.configuration is not None:
                body = self.configuration.body
                connection.notify(_frames.ConfigurationBody(body))
        elif isinstance(frame, _frames.ConfigurationBody):
            self.install(frame.body, connection.address)
        elif isinstance(frame, _frames.DirectoryDigests):
            self.directory_sync.answer(frame, connection)
        elif isinstance(frame, _frames.DirectoryPart):
            self.directory_sync.receive_part(frame, connection)
        elif isinstance(frame, _frames.Demand):
            self._receive_demand(frame, connection)
        elif isinstance(frame, _frames.RouteCosts):
            self.costs.update_from_report(frame.service, frame.costs_by_route)
            if frame.service == self.costs.service:
                self._cost_reports.receive(frame.costs_by_route)
        elif isinstance(frame, _frames.Crashes):
            self.crash_exchange.receive(frame, connection)
        elif isinstance(frame, _frames.Leaving):
            self.mark_leaving(connection.address)

    def _receive_demand(self, demand, connection):
        self.target_side.demand.receive(
            connection.address, demand, self.reactor.now()
        )
        if connection.features & _frames.Feature.LOAD_REPORTS:
            connection.notify(_frames.LoadReport(self.target_side.load()))

    def mark_leaving(self, address):
        """Record that a node is shutting down and takes no more attempts."""
        if address != self.address:
            self.peer(address).mark_leaving()
            self.mark_unusable(address)

    def mark_unusable(self, address):
        """Record that a node takes no attempts, until its peer says so.

        The load that it has reported says nothing about its service any more.
        """
        self.usable_targets.mark_unusable(address)
        self._discard_load(self.directory.records_by_node.get(address))

    def _discard_load(self, record):
        if record is not None:
            self.front.discard_load(record.service, record.node)

    def merge(self, record):
        """Add the record of another node's target if it is newer.

        One of the local target comes from this node itself, or from its
        earlier process, which may have had another address.
        """
        if self._is_of_local_target(record):
            self.on_local_record(record)
        if record.node != self.address:
            self._merge(record)

    def _is_of_local_target(self, record):
        if record.node == self.address:
            return True
        local = self.directory.records_by_node.get(self.address)
        return local is not None and local.instance == record.instance

    def merge_received(self, records, connection):
        """Add the records that another node has sent, if they are valid.

        Parameters
        ----------
        records : iterable of TargetRecord
            The records.
        connection : Peer or InboundConnection
            Connection to that node.
        """
        for record in records:
            try:
                _directory.check_record(record)
            except ValueError as error:
                _LOG.warning(
                    'invalid target record from node %s ignored: %s',
                    connection.address,
                    error,
                    extra={'event': 'record_invalid', 'node_of': record.node},
                )
                continue
            self.merge(record)

    def _merge(self, record):
        if not self.directory.merge(record):
            return
        self.restart_times.record_start(record.node, self.reactor.now())
        if record.state != _directory.READY:
            self._discard_load(record)

    def _handle_crash(self, instance, born_ms, crashed_at):
        """Give no work to a target whose process has ended."""
        left_s = crashed_at + ENDED_TARGET_S - self.reactor.now()
        if left_s <= 0.0:
            return
        record = self.directory.mark_ended(instance, born_ms)
        if record is None:
            return
        self.restart_times.record_crash(record, crashed_at)
        self._discard_load(record)
        self.reactor.timers.after(
            left_s, lambda _now: self.directory.forget_end(record)
        )

    def announce(self, record):
        """Apply a new record of the local target and send it to all peers."""
        self.target_side.update_record(record)
        self._merge(record)
        self.broadcast(_frames.Announcement([record]))

    def knows_other_nodes(self):
        """Return whether the target of another node is known."""
        return any(
            address != self.address
            for address in self.directory.records_by_node
        )

    def is_informed(self):
        """Return whether this node knows what nodes tell in handshakes.

        Before that it may not know of requests that crash targets.
        """
        if self._has_met_node:
            return True
        if self.has_read_directory() and not self.knows_other_nodes():
            return True
        waited_s = self.reactor.now() - self._started_at
        return waited_s > INFORMATION_TIMEOUT_S

    def is_in_contact(self):
        """Return whether this node is connected to other nodes."""
        return bool(self.inbound_connections) or any(
            peer.connected
            for address, peer in self.peers_by_node.items()
            if address != self.address
        )

    def has_unsent_results(self):
        """Return whether other nodes may not have received results."""
        return any(
            connection.unacknowledged_bytes()
            for connection in self.inbound_connections
        )

    def close(self):
        """Stop listening and close the connections to and from other nodes."""
        if self._listener is not None:
            self._listener.close()
        for peer in self.peers_by_node.values():
            peer.close()
        for connection in list(self.inbound_connections):
            connection.finish()

    def _client_route_detected(self, route):
        """Handle a client route that this node itself has detected."""
        _LOG.info(
            'route %s is used by clients',
            route,
            extra={'event': 'client_route', 'route': route},
        )
        self.costs.drop_calls(route)
        for callback in self.on_client_route:
            callback(route)

    def _update_front(self, now):
        if self.target_side.record is not None:
            self.reactor.guard.call(self._receive_own_load, now)
        self.front.update(now)

    def _receive_own_load(self, now):
        self.receive_load(self.target_side.load(), self.address, now)

    def _report_costs(self, now):
        """Close the counting window; report the costs if they changed."""
        costs = self._cost_reports.close_window(now)
        if costs:
            self.broadcast(_frames.RouteCosts(self.costs.service, costs))

    def _check_peers(self, now):
        """Check all peers, the later ones also if an earlier check fails."""
        call = self.reactor.guard.call
        connected_count = 0
        for peer in list(self.peers_by_node.values()):
            connected_count += peer.connected
            call(peer.maintain, now)
        self.active_ping_interval_s = _peer_connection.active_interval_s(
            connected_count
        )
        call(self.directory_sync.check, now)
        call(self.crash_exchange.check, now)
        call(self.usable_targets.update)

    def _check_silence(self, _now):
        for connection in list(self.inbound_connections):
            self.reactor.guard.call(connection.check_silence)


def _knows_others(hello):
    """Return whether a node may know other records than its own.

    One that does not has just started, and needs all records before it gets a
    configuration and is ready. The same goes for an earlier build, which names
    no digest.
    """
    if not hello.features & _frames.Feature.DIRECTORY_DIGESTS:
        return False
    return hello.directory_digest != _directory.digest_of(hello.records)


def encode_record(record):
    """Encode a target record for the store."""
    return msgspec.json.encode(record)


def decode_record(data):
    """Decode a target record from the store.

    Raises
    ------
    ValueError
        If the data is not a valid record.
    """
    record = decoding.decode(_RECORD_DECODER, data)
    _directory.check_record(record)
    return record
