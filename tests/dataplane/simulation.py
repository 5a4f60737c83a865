"""Nodes and the connections between them, in virtual time."""

import errno
import random

import attrs

from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _inbound
from rosemarycrank.dataplane import _names
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _target
from rosemarycrank.dataplane import _upstream
from tests.dataplane import fakes

ENTRY = '10.0.0.1:7000'

#: Shortest service time, and range of the service times, in seconds.
MIN_SERVICE_S = 0.01
SERVICE_RANGE_S = 0.4

#: Time without the target after its crash, in seconds.
CRASHED_S = 3.3

#: Time for which a target serves after it has announced its leaving, in
#: seconds.
DRAIN_S = 2.0

CONNECT_FAILED = _upstream.Answer(
    _frames.Outcome.NOT_RUN, _frames.Reason.CONNECT_FAILED, is_refused=True
)
ANSWER_LOST = _upstream.Answer(
    _frames.Outcome.UNKNOWN, _frames.Reason.ANSWER_LOST
)


class _Endpoint:
    """Endpoint of a simulated connection."""

    def __init__(self, simulation, target_address):
        self.simulation = simulation
        self.target_address = target_address
        self.remote = None
        self.owner = None
        self.is_open = True
        self.is_connecting = False
        self.unsent_bytes = 0
        self.drops_output = False
        self._unread = []

    def write(self, data):
        if self.is_open and not self.drops_output:
            self.simulation.count(data)
            self.simulation.schedule(lambda: self.remote._receive(data))

    def close(self, reset=False):
        if not self.is_open:
            return
        self.is_open = False
        if not self.drops_output:
            error = OSError(errno.ECONNRESET, 'reset') if reset else None
            self.simulation.schedule(lambda: self.remote._lost(error))

    def catch_up(self):
        """Read what has arrived, unless the node is paused."""
        if self.simulation.pause_left_s(self.target_address) <= 0.0:
            data, self._unread = b''.join(self._unread), []
            if data and self.is_open:
                self.owner.received(data)
        return True

    def _receive(self, data):
        if self.simulation.on_arrival is not None:
            self.simulation.on_arrival(data)
        self._unread.append(data)
        self._read_later(self.simulation.unread_s(self.target_address))

    def _read_later(self, delay_s):
        if delay_s <= 0.0:
            self.catch_up()
        else:
            self.simulation.reactor.timers.after(
                delay_s, lambda _now: self._read()
            )

    def _read(self):
        paused_s = self.simulation.pause_left_s(self.target_address)
        self._read_later(paused_s)

    def _lost(self, error):
        if self.is_open:
            self.is_open = False
            self.owner.closed(error)


def set_owner(_reactor, endpoint, owner):
    """Stand in for the constructor of `Stream`."""
    endpoint.owner = owner
    return endpoint


@attrs.define(eq=False)
class Run:
    """Run of a request at a target.

    Attributes
    ----------
    request_id : bytes
        Identifier of the request.
    target_address : str
        Address of the target's node.
    data : bytes
        The request as sent to the target.
    on_answer : callable
        Receives the answer of the target.
    ended : bool
        Whether the run has ended.
    aborted_at : float or None
        Virtual time at which the target's node aborted it; None if it has
        not.
    """

    request_id: bytes
    target_address: str
    data: bytes
    on_answer: object
    ended: bool = False
    aborted_at: float | None = None


class Simulation:
    """Entry node, nodes of targets, and the connections between them.

    Time is virtual; delays and service times come from a seeded generator.

    Parameters
    ----------
    reactor : VirtualReactor
        Clock and timers of all nodes.
    seed : int
        Seed of the generator.
    target_addresses : sequence of str
        Addresses of the targets' nodes.

    Attributes
    ----------
    entry : Node
        The entry node.
    targets_by_address : dict of str to Node
        Nodes of the targets.
    refuses_connections, ignores_connections : bool
        Whether new connections are refused, or stay without an answer.
    cut_addresses : set of str
        Nodes to which new connections stay without an answer.
    max_unread_s : float
        Longest time for which data lies unread at its receiver, in seconds,
        as it has much to do.
    runs : list of Run
        Runs of all targets, in order.
    service_s : float, callable or None
        Duration of each run in seconds, or function that returns it for a
        request, in bytes; None for random ones.
    on_run_start, on_run_abort : callable or None
        Called with each `Run` that starts or is aborted.
    on_arrival : callable or None
        Called with data that has arrived and may lie unread.
    is_deadly : callable
        Returns whether a request, in bytes, ends the target that runs it.
    deadly_run_s : float or None
        Time until it does, in seconds; None for some milliseconds.
    is_back_at_once : bool
        Whether a target that has ended listens again before it is probed, and
        only its next heartbeat tells.
    status_of : callable
        Returns the status with which a target answers a request, in bytes.
    crashed_addresses : set of str
        Nodes whose targets have ended and not started again.
    crashes : list of str
        Nodes whose targets have ended, in order.
    """

    def __init__(self, reactor, seed, target_addresses):
        self.reactor = reactor
        self.random = random.Random(seed)
        self.links = []
        self.refuses_connections = False
        self.ignores_connections = False
        self.cut_addresses = set()
        self.max_unread_s = 0.0
        self._paused_until_by_address = {}
        self.runs = []
        self.service_s = None
        self.on_run_start = None
        self.on_run_abort = None
        self.on_arrival = None
        self.is_deadly = lambda _data: False
        self.deadly_run_s = None
        self.is_back_at_once = False
        self.status_of = lambda _data: 200
        self._born_ms_by_address = {}
        self.crashed_addresses = set()
        self.crashes = []
        self.entry = self._new_node(ENTRY)
        self.targets_by_address = {}
        self._last_due_at = 0.0
        for address in target_addresses:
            self.restart(address)

    def count(self, data):
        """Count written data; for subclasses."""

    def schedule(self, callback):
        delay_s = 0.001 + 0.003 * self.random.random()
        due_at = self.reactor.now() + delay_s
        # Deliveries keep their order, as the bytes of a TCP connection do.
        self._last_due_at = max(due_at, self._last_due_at + 1e-6)
        self.reactor.timers.after(
            self._last_due_at - self.reactor.now(), lambda _now: callback()
        )

    def restart(self, address):
        """Replace the process of a target's node by a new one.

        The end of the old one closes its connections, those to the target
        too. The new one has the configuration of the old one, as if it had
        read the store.
        """
        for run in self.runs:
            if run.target_address == address and run.aborted_at is None:
                run.aborted_at = self.reactor.now()
        for endpoint in self._take_links(address):
            endpoint.remote.close(reset=True)
        previous = self.targets_by_address.get(address)
        if previous is not None:
            previous.target_side.pool.process_has_ended = True
        node = self.targets_by_address[address] = self._new_node(address)
        if previous is not None:
            node.configuration = previous.configuration
        if address not in self.crashed_addresses:
            node.target_side.update_record(self.record(address))

    def record(self, address, **changes):
        """Return the record of the target at a node."""
        born_ms = self._born_ms_by_address.get(address, 1000)
        fields = {'slots': 50, 'born_ms': born_ms}
        return fakes.record(address, **(fields | changes))

    def crash(self, address):
        """End the target of a node, which starts again after a time."""
        if address in self.crashed_addresses:
            return
        self.crashed_addresses.add(address)
        self.crashes.append(address)
        for run in self.runs:
            if run.target_address == address and not run.ended:
                run.ended = True
                if run.aborted_at is None:
                    run.on_answer(ANSWER_LOST)
        self.reactor.timers.after(
            CRASHED_S, lambda _now: self._start_target(address)
        )

    def end_target(self, run):
        """End the target of a deadly run, after a time."""

        def crash():
            if not run.ended:
                self.crash(run.target_address)

        if self.deadly_run_s is None:
            self.schedule(crash)
        else:
            self.reactor.timers.after(self.deadly_run_s, lambda _now: crash())

    def _start_target(self, address):
        """Start the target of a node again, under its identifier."""
        self.crashed_addresses.discard(address)
        self._born_ms_by_address[address] = self.record(address).born_ms + 1
        node = self.targets_by_address[address]
        node.announce(self.record(address))

    def restart_entry(self):
        """Replace the process of the entry node by a new one."""
        self.break_connections('reset')
        self.entry.close()
        # The timers of the old process stay, and find no peers.
        self.entry.peers_by_node.clear()
        self.entry = self._new_node(ENTRY)

    def connect(self, _reactor, address, owner, keep_alive=False):
        """Stand in for `rosemarycrank.dataplane._reactor.connect`."""
        address = '%s:%d' % address
        near, far = _Endpoint(self, address), _Endpoint(self, address)
        near.remote, far.remote = far, near
        near.owner = owner
        if self.refuses_connections:
            near.is_connecting = near.drops_output = True
            error = OSError(errno.ECONNREFUSED, 'refused')
            self.schedule(lambda: near._lost(error))
        elif self.ignores_connections or address in self.cut_addresses:
            near.is_connecting = near.drops_output = True
        else:
            self.links.append(near)
            node = self.targets_by_address[address]
            node.inbound_connections.add(_inbound.InboundConnection(node, far))
        return near

    def break_connections(self, fault_kind, address=None):
        """Break the open connections.

        Parameters
        ----------
        fault_kind : str
            ``reset`` sends resets to both ends, ``silent`` drops all data in
            both directions, ``one_way`` drops the data to the entry node.
        address : str or None
            Only those to this node; None for all.
        """
        for near in self._take_links(address):
            if fault_kind == 'reset':
                near.close(reset=True)
                near.owner.closed(OSError(errno.ECONNRESET, 'reset'))
            if fault_kind in ('silent', 'one_way'):
                near.remote.drops_output = True
            if fault_kind == 'silent':
                near.drops_output = True

    def cut_off(self, fault_kind, address):
        """Break the connections to a node and let no new ones through."""
        self.cut_addresses.add(address)
        self.break_connections(fault_kind, address)

    def pause(self, address, seconds):
        """Let a target's node neither read nor send for some time.

        The operating system of its VM still accepts connections.
        """
        self._paused_until_by_address[address] = self.reactor.now() + seconds

    def pause_left_s(self, address):
        """Return the time for which a target's node is still paused."""
        paused_until = self._paused_until_by_address.get(address, 0.0)
        return paused_until - self.reactor.now()

    def unread_s(self, address):
        """Return the time for which data lies unread at a target's node."""
        delay_s = self.pause_left_s(address)
        if self.max_unread_s:
            delay_s = max(delay_s, self.max_unread_s * self.random.random())
        return delay_s

    def count_runs(self, request_id):
        """Return how often a request ran."""
        return sum(run.request_id == request_id for run in self.runs)

    def _take_links(self, address):
        """Remove the connections to a node, or all, and return them."""
        taken = [
            link
            for link in self.links
            if address is None or link.target_address == address
        ]
        self.links = [link for link in self.links if link not in taken]
        return taken

    def _new_node(self, address):
        costs = _costs.CallCosts('archive')
        front = _front.AdmitAll()
        incarnation = self.random.getrandbits(60)
        node = _node.Node(
            self.reactor, address, incarnation, None, costs, front
        )
        node.set_target_side(
            _target.TargetSide(
                self.reactor,
                _Pool(self, address),
                _names.HeaderNames(),
                _counters.Counters(),
                costs,
                front,
                DRAIN_S,
            )
        )
        return node


class _Pool:
    """Connection pool of a target's node.

    Attributes
    ----------
    process_has_ended : bool
        Whether the process of the node has ended. Its timers stay, but it
        sends nothing any more.
    """

    process_has_ended = False

    def __init__(self, simulation, address):
        self._simulation = simulation
        self.address = address

    def acquire(self, _idempotent):
        return _Call(self._simulation, self)

    def has_lost_all(self, _since):
        return False

    def probe(self, on_outcome):
        is_down = (
            self.address in self._simulation.crashed_addresses
            and not self._simulation.is_back_at_once
        )
        self._simulation.schedule(lambda: on_outcome(is_down))


class _Call:
    def __init__(self, simulation, pool):
        self._simulation = simulation
        self._pool = pool
        self._run = None

    def start(self, request_id, head, body, _without_body, on_answer):
        simulation = self._simulation
        address = self._pool.address
        data = head + body
        run = self._run = Run(request_id, address, data, on_answer)
        if self._pool.process_has_ended:
            run.ended = True
            return
        if address in simulation.crashed_addresses:
            run.ended = True
            simulation.schedule(lambda: on_answer(CONNECT_FAILED))
            return
        simulation.runs.append(run)
        if simulation.is_deadly(data):
            simulation.end_target(run)
            return
        service_s = simulation.service_s
        if service_s is None:
            service_s = (
                MIN_SERVICE_S + SERVICE_RANGE_S * simulation.random.random()
            )
        elif callable(service_s):
            service_s = service_s(data)

        def finish(_now):
            was_lost, run.ended = run.ended, True
            if run.aborted_at is None and not was_lost:
                on_answer(
                    _upstream.Answer(
                        _frames.Outcome.COMPLETE,
                        _frames.Reason.NONE,
                        simulation.status_of(data),
                        b'',
                        request_id,
                    )
                )

        simulation.reactor.timers.after(service_s, finish)
        if simulation.on_run_start is not None:
            simulation.on_run_start(run)

    def abort(self):
        self._run.aborted_at = self._simulation.reactor.now()
        if self._simulation.on_run_abort is not None:
            self._simulation.on_run_abort(self._run)
