"""What the load driver sends, and when."""

import enum
import heapq
import itertools
import random

import attrs
import msgspec

from rosemarycrank.load import _constraints
from rosemarycrank.load import _records


class Retries(enum.Enum):
    """What a client does when it is not given a complete answer.

    ``OBEY`` waits as long as Retry-After says; ``HARD`` sends again at
    once. Both keep to the same key.
    """

    NONE = 'none'
    OBEY = 'obey'
    HARD = 'hard'


class Keys(enum.Enum):
    """Where the keys of paid requests come from."""

    CLIENT = 'client'
    NODE = 'node'


@_constraints.with_constraints
@attrs.frozen
class RequestKind:
    """A kind of request and its arrival rate.

    Attributes
    ----------
    name : str
        Name in reports.
    service, method, path : str
        The request; ``{nonce}`` in the path stands for its nonce, which a
        GET needs as its last segment.
    rate : float
        Arrivals per second, as a Poisson process.
    paid : bool
        Whether the request may run at most once; it then brings a key.
    deadline_ms : int
        Time that the client gives.
    retries : Retries
        What the client does without a complete answer.
    max_sends : int
        Most sends of one request.
    body_bytes : int
        Padding of the body, in bytes.
    call : tuple of NestedCall
        Calls that the upstream shall make; not for a GET.
    """

    name: str
    service: str
    method: str = 'GET'
    path: str = '/{nonce}'
    rate: float = 1.0
    paid: bool = False
    deadline_ms: int = 2000
    retries: Retries = Retries.NONE
    max_sends: int = 4
    body_bytes: int = 100
    call: tuple[_records.NestedCall, ...] = ()

    def path_of(self, nonce):
        """Return the path of the request with a nonce."""
        return self.path.replace('{nonce}', nonce)

    def body_of(self, nonce):
        """Return the body of the request with a nonce."""
        if self.method == 'GET':
            return b''
        content = _records.Content(
            nonce=nonce,
            paid=self.paid,
            call=self.call,
            padding='x' * self.body_bytes,
        )
        return msgspec.json.encode(content)


@_constraints.with_constraints
@attrs.frozen
class Phase:
    """Multiplies arrival rates from ``start_s`` to ``end_s``.

    Without ``requests``, the names of kinds, it applies to all.
    """

    start_s: float
    end_s: float
    factor: float
    requests: tuple[str, ...] = ()

    def factor_of(self, name, at_s):
        """Return the factor on a kind at a time."""
        named = not self.requests or name in self.requests
        if named and self.start_s <= at_s < self.end_s:
            return self.factor
        return 1.0


@_constraints.with_constraints
@attrs.frozen
class Scenario:
    """A run of the load driver.

    Attributes
    ----------
    requests : tuple of RequestKind
        What is sent.
    duration_s : float
        Seconds during which requests arrive.
    phases : tuple of Phase
        Changes of the rates.
    keys : Keys
        Where keys come from.
    seed : int
        Seed of arrivals, nonces and choices of node.
    connections : int
        Most connections to one node.
    ask_later : bool
        Whether clients ask what became of a paid request whose outcome is
        unknown, at the end of the run.
    """

    requests: tuple[RequestKind, ...]
    duration_s: float = 20.0
    phases: tuple[Phase, ...] = ()
    keys: Keys = Keys.CLIENT
    seed: int = 0
    connections: int = 256
    ask_later: bool = True


@attrs.frozen(order=True)
class Arrival:
    """A request that is due ``at_s`` seconds after the start."""

    at_s: float
    nonce: str
    kind: RequestKind = attrs.field(order=False)


def arrivals(scenario):
    """Yield the arrivals of a scenario in order of time.

    Parameters
    ----------
    scenario : Scenario
        The scenario.

    Yields
    ------
    Arrival
        The same ones for the same scenario.
    """
    streams = [_arrivals_of(scenario, kind) for kind in scenario.requests]
    return heapq.merge(*streams)


def _arrivals_of(scenario, kind):
    if kind.rate <= 0:
        return
    source = random.Random(f'{scenario.seed} {kind.name}')
    at_s = 0.0
    for number in itertools.count():
        at_s += source.expovariate(_rate(scenario, kind, at_s))
        if at_s >= scenario.duration_s:
            return
        name = kind.name.replace('.', '-')
        nonce = f'{name}-{number}-{source.getrandbits(48):012x}'
        yield Arrival(at_s, nonce, kind)


def _rate(scenario, kind, at_s):
    rate = kind.rate
    for phase in scenario.phases:
        rate *= phase.factor_of(kind.name, at_s)
    return max(rate, 1e-9)
