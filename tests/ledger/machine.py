"""State machine of ledgers under faults, against the world's oracle."""

from hypothesis import stateful
from hypothesis import strategies

from tests.ledger import world as worlds

NUMBERS = strategies.integers(0, 1000)
FAULTS = strategies.sampled_from(['', '', 'down', 'lost', 'late'])
PAUSES_S = strategies.sampled_from([0.05, 0.4, 1.2, 6.0])
OUTCOMES = strategies.sampled_from(
    [worlds.NOT_RUN, worlds.NOT_RUN, worlds.COMPLETE, worlds.UNKNOWN]
)
BODIES = strategies.sampled_from([b'body', b'body', b'body', b'other'])


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Clients, network, platform, pauses, crashes and planned stops."""

    #: Keys that clients chose, and keys that nodes issue at the start.
    chosen = 1
    issued = 1

    @stateful.initialize(count=strategies.integers(2, 3))
    def start(self, count):
        """Few nodes and keys make the same key meet several faults."""
        self.world = worlds.World(worlds.ADDRESSES[:count])
        self.addresses = worlds.ADDRESSES[:count]
        self.keys = ['client-0'] * self.chosen
        for number in range(self.issued):
            self._issue(number)

    def _node(self, number):
        """Return one of the nodes that are not paused, or None."""
        nodes = list(self.world.nodes_by_address.values())
        alive = [node for node in nodes if not node.paused]
        return alive[number % len(alive)] if alive else None

    def _address(self, number):
        return self.addresses[number % len(self.addresses)]

    def _issue(self, number):
        node = self._node(number)
        self.keys += self.world.act(node, node.ledger.issue, 1)

    @stateful.rule(number=NUMBERS, key=NUMBERS, body=BODIES)
    def submit(self, number, key, body):
        node = self._node(number)
        if node is not None:
            self.world.submit(node, self.keys[key % len(self.keys)], body)

    @stateful.rule(key=NUMBERS)
    def submit_everywhere(self, key):
        for number in range(len(self.addresses)):
            self.submit(number, key, b'body')

    @stateful.rule(number=NUMBERS, key=NUMBERS)
    def query(self, number, key):
        node = self._node(number)
        if node is not None:
            self.world.query(node, self.keys[key % len(self.keys)])

    @stateful.precondition(lambda self: self.world.messages)
    @stateful.rule(number=NUMBERS, keep=strategies.booleans())
    def deliver(self, number, keep):
        self.world.deliver(number % len(self.world.messages), keep)

    @stateful.precondition(lambda self: self.world.messages)
    @stateful.rule(number=NUMBERS)
    def lose(self, number):
        del self.world.messages[number % len(self.world.messages)]

    @stateful.precondition(lambda self: self.world.operations)
    @stateful.rule(number=NUMBERS, fault=FAULTS)
    def answer(self, number, fault):
        self.world.answer(number % len(self.world.operations), fault)

    @stateful.precondition(lambda self: self.world.open_runs())
    @stateful.rule(number=NUMBERS, outcome=OUTCOMES)
    def finish_run(self, number, outcome):
        runs = self.world.open_runs()
        self.world.finish_run(runs[number % len(runs)], outcome)

    @stateful.rule(seconds=PAUSES_S)
    def advance(self, seconds):
        self.world.advance(seconds)

    @stateful.rule(number=NUMBERS)
    def pause_or_wake(self, number):
        node = self.world.nodes_by_address.get(self._address(number))
        if node is not None:
            node.paused = not node.paused

    @stateful.rule(number=NUMBERS)
    def crash_or_start(self, number):
        address = self._address(number)
        if address in self.world.nodes_by_address:
            self.world.crash(address)
        else:
            self.world.start(address)

    @stateful.rule(number=NUMBERS)
    def drain(self, number):
        node = self._node(number)
        if node is not None:
            self.world.act(node, node.ledger.start_drain)

    @stateful.rule()
    def exit_idle(self):
        for address, node in list(self.world.nodes_by_address.items()):
            if not node.paused and node.ledger.is_idle():
                self.world.crash(address)

    @stateful.rule(
        faults=strategies.lists(FAULTS, min_size=1, max_size=4),
        keep=strategies.booleans(),
        outcome=OUTCOMES,
    )
    def rush(self, faults, keep, outcome):
        """Let all that is under way make one step."""
        self.world.deliver_all(faults, keep)
        for run in self.world.open_runs():
            self.world.finish_run(run, outcome)

    @stateful.rule(number=NUMBERS)
    def change_key(self, number):
        """Go on with a new key; late copies of the old one remain."""
        position = number % len(self.keys)
        node = self._node(number)
        if self.keys[position].startswith('client'):
            key = f'client-{len(self.world.sends_by_id)}'
            self.keys[position] = key
        elif node is not None:
            keys = self.world.act(node, node.ledger.issue, 1)
            self.keys[position : position + 1] = keys or [self.keys[position]]

    def teardown(self):
        for node in self.world.nodes_by_address.values():
            node.paused = False
        self.world.settle(rounds=60)
        self.world.check_all_answered()


class ClientKeyMachine(LedgerMachine):
    """All sends under one key that the client chose."""

    issued = 0


class IssuedKeyMachine(LedgerMachine):
    """All sends under one key that a node issued."""

    chosen = 0
