"""One node of the data path: both sides of a call, and what they share."""

import logging

import attrs
import msgspec

from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _local_peer
from rosemarycrank.dataplane import _origins
from rosemarycrank.dataplane import _peers
from rosemarycrank.dataplane import _reactor

#: Seconds between reports of what clients ask: to services that are short of
#: room or for which it has changed, and to others.
DEMAND_S = 0.3
CALM_DEMAND_S = 1.0

#: Change of what clients ask that is reported at once.
DEMAND_CHANGE = 0.3

#: Seconds between reports of the costs of requests, if they hardly change.
COSTS_S = 5.0

#: Seconds between checks of the connections to other nodes.
CHECK_S = 0.1

_LOG = logging.getLogger(__name__)


@attrs.frozen
class RetryBudgetSettings:
    """Bounds on repeats, over all nodes.

    Attributes
    ----------
    ratio : float
        Repeats for each request to a service.
    slack : float
        Repeats beyond that.
    """

    ratio: float = 0.2
    slack: float = 48.0


class Node:
    """State that both sides of a call share.

    Parameters
    ----------
    reactor : Reactor
        The loop.
    address : str
        ``host:port`` at which this node takes attempts.
    incarnation : int
        Random number of this run.
    decode_configuration : callable
        Returns the `Configuration` of a document; raises ValueError.
    costs : CallCosts
        What requests cost below.
    front : FrontAdmission
        Admission at the front.

    Attributes
    ----------
    configuration : Configuration or None
        Version in force.
    directory : Directory
        Known targets.
    peers_by_node : dict of str to Peer
        Nodes that were called.
    inbound_connections : set of InboundConnection
        Connections that others opened.
    last_attempt_number : int
        Number of the newest attempt.
    """

    def __init__(
        self,
        reactor,
        address,
        incarnation,
        decode_configuration,
        costs,
        front,
    ):
        self.reactor = reactor
        self.address = address
        self.incarnation = incarnation
        self.decode_configuration = decode_configuration
        self.costs = costs
        self.front = front
        self.configuration = None
        self.directory = _directory.Directory()
        self.peers_by_node = {}
        self.inbound_connections = set()
        self.last_attempt_number = 0
        self.target_side = None
        self.on_configuration = []
        self.on_client_route = []
        self.origins = _origins.RouteOrigins(
            reactor.now(), self._found_client_route
        )
        self._listener = None
        self._demands_told = {}
        self._costs_told = ({}, 0.0)
        reactor.timers.every(CHECK_S, self._check)
        reactor.timers.every(_costs.WINDOW_S, self._close_window)
        reactor.timers.every(_front.UPDATE_S, self._update_front)
        reactor.timers.every(DEMAND_S, self._tell_demands)

    def listen(self, address):
        """Accept connections of other nodes.

        Parameters
        ----------
        address : tuple of (str, int)
            Where to listen.
        """
        self._listener = _reactor.Listener(
            self.reactor,
            address,
            lambda sock, _ip: self.inbound_connections.add(
                _peers.InboundConnection(self, sock)
            ),
        )

    def set_target_side(self, target_side):
        """Set the side that runs attempts at the local target."""
        self.target_side = target_side
        self.peers_by_node[self.address] = _local_peer.LocalPeer(
            target_side, target_side.caller(self.incarnation)
        )

    def peer(self, address):
        """Return the peer at an address."""
        peer = self.peers_by_node.get(address)
        if peer is None:
            peer = _peers.Peer(address, self)
            self.peers_by_node[address] = peer
        return peer

    def hello(self, generation):
        """Return the first frame of a connection."""
        return _frames.Hello(
            _frames.PROTOCOL_VERSION,
            self.address,
            self.incarnation,
            generation,
            self.configuration_version(),
            self.directory.records(),
            sorted(self.origins.client_routes),
        )

    def configuration_version(self):
        """Return the version in force; -1 for none."""
        if self.configuration is None:
            return -1
        return self.configuration.version

    def install(self, body, source):
        """Put a configuration in force if it is newer.

        Parameters
        ----------
        body : bytes
            The document.
        source : str
            Where it came from, for the log.
        """
        try:
            configuration = self.decode_configuration(body)
        except ValueError as error:
            _LOG.error(
                'configuration from %s cannot be used: %s',
                source,
                error,
                extra={'event': 'configuration_invalid'},
            )
            return
        if configuration.version <= self.configuration_version():
            return
        _LOG.warning(
            'configuration %d in force',
            configuration.version,
            extra={
                'event': 'configuration',
                'previous': self.configuration_version(),
                'source': source,
                'routes': len(configuration.routes),
            },
        )
        self.configuration = configuration
        self.costs.retain({route.name for route in configuration.routes})
        for callback in self.on_configuration:
            callback(configuration)

    def broadcast(self, frame):
        """Send a notice over every connection that is open."""
        for peer in self.peers_by_node.values():
            peer.notify(frame)
        for visitor in self.inbound_connections:
            visitor.notify(frame)

    def request_newer_configuration(self, version, link):
        """Ask for a configuration that is newer than what is in force."""
        if version > self.configuration_version():
            link.notify(_frames.ConfigurationRequest())

    def receive_load(self, load, address, now):
        """Take the load of another node's target."""
        record = self.directory.records_by_node.get(address)
        if record is not None:
            self.front.heard(record.service, address, load, now)
        for service, pressure in load.pressures.items():
            self.front.relayed(service, pressure, now)

    def receive_hello(self, hello, link):
        """Take what another node knows."""
        for record in hello.records:
            self.merge(record)
        for route in hello.client_routes:
            self.add_client_route(route)
        self.request_newer_configuration(hello.configuration_version, link)
        peer = self.peers_by_node.get(hello.node)
        if peer is not None and peer is not link and not peer.reachable:
            peer.reset_backoff()

    def add_client_route(self, route):
        """Take that clients use a route."""
        if route not in self.origins.client_routes:
            self.origins.add_client_route(route)
            self.costs.drop_calls(route)

    def receive_notification(self, frame, link):
        """Take a notice of another node."""
        if isinstance(frame, _frames.Announcement):
            for record in frame.records:
                self.merge(record)
        elif isinstance(frame, _frames.ConfigurationRequest):
            if self.configuration is not None:
                body = self.configuration.body
                link.notify(_frames.ConfigurationBody(body))
        elif isinstance(frame, _frames.ConfigurationBody):
            self.install(frame.body, link.address)
        elif isinstance(frame, _frames.Demand):
            self.target_side.demand.heard(
                link.address, frame, self.reactor.now()
            )
        elif isinstance(frame, _frames.RouteCosts):
            self.costs.update_from_report(frame.service, frame.costs_by_route)
        elif isinstance(frame, _frames.Leaving):
            peer = self.peers_by_node.get(link.address)
            if peer is not None:
                peer.mark_leaving()

    def merge(self, record):
        """Take the record of another node's target."""
        if record.node != self.address:
            self.directory.merge(record)

    def announce(self, record):
        """Take and tell the record of the local target."""
        self.target_side.update_record(record)
        self.directory.merge(record)
        self.broadcast(_frames.Announcement([record]))

    def close(self):
        """Close all connections of other nodes, in order."""
        if self._listener is not None:
            self._listener.close()
        for peer in self.peers_by_node.values():
            peer.close()
        for visitor in list(self.inbound_connections):
            visitor.close(reset=False)

    def _found_client_route(self, route):
        _LOG.info(
            'clients use route %s',
            route,
            extra={'event': 'client_route', 'route': route},
        )
        self.costs.drop_calls(route)
        for callback in self.on_client_route:
            callback(route)

    def _update_front(self, now):
        if self.target_side.record is not None:
            self.receive_load(self.target_side.load(), self.address, now)
        self.front.update(now)

    def _tell_demands(self, now):
        pressures = self.front.pressures(now)
        for service, demand in self.front.demands().items():
            if service not in pressures and not self._is_news(
                service, demand, now
            ):
                continue
            self._demands_told[service] = (demand.asked_per_s, now)
            for record in self.directory.ready_targets(service):
                if record.node == self.address:
                    self.target_side.demand.heard(self.address, demand, now)
                elif record.node in self.peers_by_node:
                    self.peers_by_node[record.node].notify(demand)

    def _is_news(self, service, demand, now):
        asked_per_s, told_at = self._demands_told.get(service, (0.0, 0.0))
        change = abs(demand.asked_per_s - asked_per_s)
        return (
            now - told_at > CALM_DEMAND_S
            or change > DEMAND_CHANGE * asked_per_s
        )

    def _close_window(self, now):
        costs = self.costs.close_window()
        if not any(len(cost) > 1 for cost in costs.values()):
            return
        told, told_at = self._costs_told
        changed = any(
            _costs.differ_significantly(cost, told.get(route, {}))
            for route, cost in costs.items()
        )
        if changed or now - told_at > COSTS_S:
            self._costs_told = (told | costs, now)
            self.broadcast(_frames.RouteCosts(self.costs.service, costs))

    def _check(self, now):
        for peer in list(self.peers_by_node.values()):
            peer.maintain(now)


def encode_record(record):
    """Return the bytes of a record for the store."""
    return msgspec.json.encode(record)


def decode_record(data):
    """Return the record in bytes of the store.

    Raises
    ------
    ValueError
        If they are not a record.
    """
    try:
        return msgspec.json.decode(data, type=_frames.TargetRecord)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from error
