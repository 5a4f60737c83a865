"""Simulation of several ledgers in virtual time, with faults and checks.

The simulation holds back messages, operations on the platform and running
requests until a test releases them. It checks each run when it starts and
each answer when it is given.
"""

import functools
import itertools
import random

import attrs

from rosemarycrank import kernel
from rosemarycrank import ledger
from rosemarycrank import messages
from rosemarycrank import results
from rosemarycrank import table_service

SECRET = b's' * 32
VALIDITY_S = 300.0
ALLOWANCE = 2
ADDRESSES = ('10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1')

NOT_RUN = results.Outcome.NOT_RUN
COMPLETE = results.Outcome.COMPLETE
UNKNOWN = results.Outcome.UNKNOWN

#: Results that concern one send only: earlier sends with the key may have
#: run.
RESULTS_OF_ONE_SEND = {
    results.Result.KEY_REUSED,
    results.Result.KEY_EXPIRED,
    results.Result.KEY_INVALID,
}

RESULTS_BY_OUTCOME = {
    COMPLETE: results.Result.OK,
    NOT_RUN: results.Result.UPSTREAM_REFUSED,
    UNKNOWN: results.Result.ANSWER_LOST,
}


@attrs.define(eq=False)
class Run:
    """A run of a request at an upstream."""

    node: object
    key: str
    send_id: int
    body: bytes
    allowance: int
    finish: object
    outcome: results.Outcome | None = None
    finished: bool = False

    @property
    def may_have_run(self):
        """Whether the upstream did not report the outcome not run."""
        return self.outcome is not NOT_RUN


@attrs.define(eq=False)
class ClientSend:
    """A request, or a query if it has no body, that a client sent."""

    key: str
    body: bytes
    incarnation: int
    earlier_runs: tuple
    answers: list = attrs.field(factory=list)


@attrs.define(eq=False)
class Node:
    """A node with its ledger; a paused node handles no event."""

    kernel: kernel.Kernel
    ledger: ledger.Claims
    paused: bool = False


class Simulation:
    """Simulates nodes, network, platform, upstreams and clients."""

    def __init__(self, addresses=ADDRESSES, **parameters):
        self.now = 0.0
        self.random = random.Random(1)
        self.parameters = {'key_validity_s': VALIDITY_S} | parameters
        self.nodes_by_address = {}
        self.messages = []
        self.operations = []
        self.rows_by_table = {}
        self.objects_by_name = {}
        self.writes = 0
        self.runs = []
        self.sends_by_id = {}
        self._ids = itertools.count(1)
        for address in addresses:
            self.start(address)

    # Nodes

    def start(self, address):
        """Start a node with an empty ledger, as a new incarnation."""
        context = kernel.Context(
            address, next(self._ids), self.random.getrandbits(64)
        )
        key_ledger = ledger.Claims(SECRET, **self.parameters)
        node = Node(kernel.Kernel(context, [key_ledger]), key_ledger)
        key_ledger.run = functools.partial(self._run, node)
        context.timers.now = self.now
        self.nodes_by_address[address] = node
        return node

    def crash(self, address):
        """Remove a node; the state of its ledger is lost."""
        del self.nodes_by_address[address]

    def is_running(self, node):
        """Return whether a node runs and is not paused."""
        return node in self.nodes_by_address.values() and not node.paused

    def call_ledger(self, node, action, *args):
        """Call a method of a ledger, and apply its effects."""
        node.kernel.context.timers.advance(self.now)
        value = action(*args)
        self._apply_effects(node, node.kernel.context.take_effects())
        return value

    def advance(self, seconds):
        """Advance the time in steps; paused nodes do nothing."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 0.1)
            for node in list(self.nodes_by_address.values()):
                if not node.paused:
                    self._apply_effects(node, node.kernel.advance(self.now))

    def _apply_effects(self, node, effects):
        address = node.kernel.context.address
        for effect in effects:
            if isinstance(effect, kernel.Send):
                self.messages.append((address, effect.address, effect.message))
            else:
                self.operations.append((node, effect))

    # Network

    def deliver(self, position=0, keep=False):
        """Deliver a message; with `keep`, a duplicate stays in flight."""
        sender, address, message = self.messages[position]
        node = self.nodes_by_address.get(address)
        if node is not None and node.paused:
            return
        if not keep:
            del self.messages[position]
        if node is None:
            return
        event = kernel.Received(sender, message)
        self._apply_effects(node, node.kernel.handle(event, self.now))

    # Platform

    def answer_operation(self, position=0, fault='', early=False):
        """Answer an operation; `fault` is 'down', 'lost' or 'late'.

        With 'down' the operation fails. With 'lost' it takes effect, but
        is reported as lost. With 'late' it is reported as lost, and takes
        effect when it is answered again.
        """
        node, effect = self.operations.pop(position)
        value = None
        if fault == 'late':
            self.operations.append((node, effect))
        elif fault != 'down':
            value = self._execute(effect.operation)
        if fault:
            reply = kernel.PlatformReply(
                effect.operation_id, fault, fault != 'down'
            )
        else:
            reply = kernel.PlatformReply(effect.operation_id, value=value)
        if self.is_running(node):
            self._apply_effects(node, node.kernel.handle(reply, self.now))

    def _execute(self, operation):
        match operation:
            case table_service.TableRead(table, key):
                return self.rows_by_table.get(table, {}).get(key)
            case table_service.TableWrite():
                return self._write(operation)
            case table_service.ObjectGet(name):
                return self.objects_by_name.get(name)
            case table_service.ObjectPut(name, body):
                self.objects_by_name[name] = body

    def _write(self, operation):
        self.writes += 1
        rows = self.rows_by_table.setdefault(operation.table, {})
        row = rows.get(operation.key)
        version = row.version if row else 0
        if version != operation.expected_version:
            return table_service.WriteResult(False, row)
        row = table_service.Row(
            operation.key, operation.value, version + 1, operation.write_id
        )
        rows[operation.key] = row
        return table_service.WriteResult(True, row)

    # Upstreams

    def _run(self, node, request, finish):
        send_id = int(request.headers['send'])
        for run in self.runs:
            assert run.key != request.key or not run.may_have_run, (
                'second run of a key'
            )
        runs_on_node = [
            run
            for run in self.runs
            if (run.node, run.key) == (node, request.key)
        ]
        assert len(runs_on_node) <= ALLOWANCE - request.context.allowance, (
            'more runs on a node than the allowance permits'
        )
        for answer in self.sends_by_id[send_id].answers:
            assert answer.result.outcome is not NOT_RUN, (
                'run of a send that was answered as not run'
            )
        self.runs.append(
            Run(
                node,
                request.key,
                send_id,
                request.body,
                request.context.allowance,
                finish,
            )
        )

    def open_runs(self):
        """Return the unfinished runs of nodes that are not paused."""
        return [
            run
            for run in self.runs
            if not run.finished and not run.node.paused
        ]

    def finish_run(self, run, outcome, padding=0):
        """Finish a run at its upstream; the answer names the run."""
        run.finished = True
        if not self.is_running(run.node):
            # The node does not get the outcome, so the run may have run.
            return
        run.outcome = outcome
        body = b'a' * padding + f' {self.runs.index(run)}'.encode()
        answer = kernel.Answer(
            RESULTS_BY_OUTCOME[outcome],
            200,
            {},
            body,
            upstream_attempts=1,
            allowance_left=run.allowance,
        )
        self.call_ledger(run.node, run.finish, answer)

    # Clients

    def submit(self, node, key, body=b'body', timeout_s=5.0):
        """Send a request with a key to a node."""
        send_id = next(self._ids)
        sent = self._create_send(node, key, body)
        self.sends_by_id[send_id] = sent
        request = ledger.KeyedRequest(
            key,
            'cuotas',
            'POST',
            '/renewals',
            {'send': str(send_id)},
            body,
            self.now + timeout_s,
            messages.CallContext(allowance=ALLOWANCE),
        )
        finish = functools.partial(self._on_answer, sent)
        self.call_ledger(node, node.ledger.submit, request, finish)
        return sent

    def query(self, node, key):
        """Query a key at a node."""
        sent = self._create_send(node, key, None)
        self.sends_by_id[next(self._ids)] = sent
        finish = functools.partial(self._on_answer, sent)
        self.call_ledger(node, node.ledger.query, key, finish)
        return sent

    def _create_send(self, node, key, body):
        earlier_runs = tuple(run for run in self.runs if run.key == key)
        return ClientSend(
            key, body, node.kernel.context.incarnation, earlier_runs
        )

    def _on_answer(self, sent, answer):
        sent.answers.append(answer)
        assert len(sent.answers) == 1, 'second answer'
        outcome = answer.result.outcome
        if outcome is NOT_RUN and answer.result not in RESULTS_OF_ONE_SEND:
            for run in sent.earlier_runs:
                assert not run.may_have_run, 'answered as not run after a run'
        if outcome is COMPLETE:
            self._check_complete_answer(sent, answer)

    def _check_complete_answer(self, sent, answer):
        position = int(answer.body.rsplit(b' ', 1)[1])
        run = self.runs[position]
        assert run.key == sent.key, 'answer of another key'
        assert run.outcome is COMPLETE, (
            'complete answer of a run that did not complete'
        )
        if sent.body is not None:
            assert run.body == sent.body, 'answer to another request'

    # All together

    def deliver_all(self, faults=('',), keep=False):
        """Answer the operations and deliver the messages in flight."""
        for number in range(len(self.operations)):
            self.answer_operation(fault=faults[number % len(faults)])
        for message in list(self.messages):
            if message in self.messages:
                self.deliver(self.messages.index(message), keep)

    def settle(self, rounds=50):
        """Deliver, answer and finish everything in order, without faults."""
        for _ in range(rounds):
            self.deliver_all()
            for run in self.open_runs():
                self.finish_run(run, COMPLETE)
            self.advance(0.2)

    def check_all_answered(self):
        """Check that each send to a node that still exists has its answer."""
        incarnations = {
            node.kernel.context.incarnation
            for node in self.nodes_by_address.values()
        }
        for sent in self.sends_by_id.values():
            if sent.incarnation in incarnations:
                assert len(sent.answers) == 1, 'send without an answer'
