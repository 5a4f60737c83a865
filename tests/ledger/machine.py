"""State machine of ledgers under faults; the simulation checks the runs."""

from hypothesis import stateful
from hypothesis import strategies

from tests.ledger import world

NUMBERS = strategies.integers(0, 1000)
FAULTS = strategies.sampled_from(['', '', 'down', 'lost', 'late'])
PAUSES_S = strategies.sampled_from([0.05, 0.4, 1.2, 6.0])
OUTCOMES = strategies.sampled_from(
    [world.NOT_RUN, world.NOT_RUN, world.COMPLETE, world.UNKNOWN]
)
BODIES = strategies.sampled_from([b'body', b'body', b'body', b'other'])


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Sends of clients, faults, pauses, crashes and planned stops.

    The rules apply them in any order, and `world.Simulation` checks each
    run and each answer.
    """

    #: Number of keys chosen by clients, and of keys issued at the start.
    chosen = 1
    issued = 1

    @stateful.initialize(count=strategies.integers(2, 3))
    def start(self, count):
        """Start 2 or 3 nodes; with few nodes and keys, faults coincide."""
        self.simulation = world.Simulation(world.ADDRESSES[:count])
        self.addresses = world.ADDRESSES[:count]
        self.keys = ['client-0'] * self.chosen
        for number in range(self.issued):
            self._issue(number)

    def _node(self, number):
        """Return one of the nodes that run and are not paused, or None."""
        nodes = list(self.simulation.nodes_by_address.values())
        running = [node for node in nodes if not node.paused]
        return running[number % len(running)] if running else None

    def _address(self, number):
        return self.addresses[number % len(self.addresses)]

    def _issue(self, number):
        node = self._node(number)
        self.keys += self.simulation.call_ledger(node, node.ledger.issue, 1)

    @stateful.rule(number=NUMBERS, key=NUMBERS, body=BODIES)
    def submit(self, number, key, body):
        node = self._node(number)
        if node is not None:
            self.simulation.submit(node, self.keys[key % len(self.keys)], body)

    @stateful.rule(key=NUMBERS)
    def submit_everywhere(self, key):
        for number in range(len(self.addresses)):
            self.submit(number, key, b'body')

    @stateful.rule(number=NUMBERS, key=NUMBERS)
    def query(self, number, key):
        node = self._node(number)
        if node is not None:
            self.simulation.query(node, self.keys[key % len(self.keys)])

    @stateful.precondition(lambda self: self.simulation.messages)
    @stateful.rule(number=NUMBERS, keep=strategies.booleans())
    def deliver(self, number, keep):
        self.simulation.deliver(number % len(self.simulation.messages), keep)

    @stateful.precondition(lambda self: self.simulation.messages)
    @stateful.rule(number=NUMBERS)
    def lose_message(self, number):
        del self.simulation.messages[number % len(self.simulation.messages)]

    @stateful.precondition(lambda self: self.simulation.operations)
    @stateful.rule(number=NUMBERS, fault=FAULTS)
    def answer_operation(self, number, fault):
        self.simulation.answer_operation(
            number % len(self.simulation.operations), fault
        )

    @stateful.precondition(lambda self: self.simulation.open_runs())
    @stateful.rule(number=NUMBERS, outcome=OUTCOMES)
    def finish_run(self, number, outcome):
        runs = self.simulation.open_runs()
        self.simulation.finish_run(runs[number % len(runs)], outcome)

    @stateful.rule(seconds=PAUSES_S)
    def advance(self, seconds):
        self.simulation.advance(seconds)

    @stateful.rule(number=NUMBERS)
    def pause_or_resume(self, number):
        node = self.simulation.nodes_by_address.get(self._address(number))
        if node is not None:
            node.paused = not node.paused

    @stateful.rule(number=NUMBERS)
    def crash_or_start(self, number):
        address = self._address(number)
        if address in self.simulation.nodes_by_address:
            self.simulation.crash(address)
        else:
            self.simulation.start(address)

    @stateful.rule(number=NUMBERS)
    def drain(self, number):
        node = self._node(number)
        if node is not None:
            self.simulation.call_ledger(node, node.ledger.start_drain)

    @stateful.rule(number=NUMBERS)
    def end_drain(self, number):
        node = self._node(number)
        if node is not None:
            self.simulation.call_ledger(node, node.ledger.start_drain)
            self.simulation.call_ledger(node, node.ledger.end_drain)

    @stateful.rule()
    def exit_idle(self):
        for address, node in list(self.simulation.nodes_by_address.items()):
            if not node.paused and node.ledger.is_idle():
                self.simulation.crash(address)

    @stateful.rule(
        faults=strategies.lists(FAULTS, min_size=1, max_size=4),
        keep=strategies.booleans(),
        outcome=OUTCOMES,
    )
    def step_all(self, faults, keep, outcome):
        """Advance all operations, messages and runs in flight by one step."""
        self.simulation.deliver_all(faults, keep)
        for run in self.simulation.open_runs():
            self.simulation.finish_run(run, outcome)

    @stateful.rule(number=NUMBERS)
    def change_key(self, number):
        """Replace a key by a new one; messages with the old one remain."""
        position = number % len(self.keys)
        node = self._node(number)
        if self.keys[position].startswith('client'):
            key = f'client-{len(self.simulation.sends_by_id)}'
            self.keys[position] = key
        elif node is not None:
            keys = self.simulation.call_ledger(node, node.ledger.issue, 1)
            self.keys[position : position + 1] = keys or [self.keys[position]]

    def restart_all(self):
        """Restart all nodes, and drop what is in flight."""
        self.simulation.messages.clear()
        self.simulation.operations.clear()
        self.simulation.nodes_by_address.clear()
        for address in self.addresses:
            self.simulation.start(address)

    def teardown(self):
        for node in self.simulation.nodes_by_address.values():
            node.paused = False
        self.simulation.settle(rounds=60)
        self.simulation.check_all_answered()


class ClientKeyMachine(LedgerMachine):
    """All sends under one key that the client chose."""

    issued = 0


class IssuedKeyMachine(LedgerMachine):
    """All sends under one key that a node issued."""

    chosen = 0
