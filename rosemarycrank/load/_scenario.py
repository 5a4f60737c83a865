"""Scenarios of the load driver, and the arrivals that they define."""

import enum
import heapq
import itertools
import random

import attrs
import msgspec

from rosemarycrank.load import _constraints
from rosemarycrank.load import _records


class Retries(enum.Enum):
    """How a client retries a request without a complete answer.

    ``OBEY`` waits for the time in the retry-after header; ``HARD`` sends
    again at once. Both use the same idempotency key for all sends.
    """

    NONE = 'none'
    OBEY = 'obey'
    HARD = 'hard'


class Keys(enum.Enum):
    """Source of the idempotency keys of paid requests."""

    CLIENT = 'client'
    NODE = 'node'


@_constraints.with_constraints
@attrs.frozen
class RequestKind:
    """A kind of request and its arrival rate.

    Attributes
    ----------
    name : str
        Name of the class in statistics and events.
    service, method, path : str
        The request; ``{nonce}`` in the path is replaced by its nonce, which
        must be the last path segment of a GET.
    rate : float
        Mean arrivals per second of a Poisson process.
    paid : bool
        Whether the request may run at most once; it is then sent with an
        idempotency key.
    deadline_ms : int
        Deadline that the client sends, from the time of each send.
    retries : Retries
        How the client retries without a complete answer.
    max_sends : int
        Maximum number of sends of one request.
    body_bytes : int
        Padding of the body, in bytes.
    call : tuple of NestedCall
        Nested calls that the upstream makes; ignored for a GET.
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

    def path_for(self, nonce):
        """Return the path of a request, given its nonce."""
        return self.path.replace('{nonce}', nonce)

    def body_for(self, nonce):
        """Return the body of a request, given its nonce."""
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
    """Multiplies arrival rates by a factor from ``start_s`` to ``end_s``.

    ``requests`` are the names of the kinds of request to which the phase
    applies; if empty, it applies to all.
    """

    start_s: float
    end_s: float
    factor: float
    requests: tuple[str, ...] = ()

    def factor_at(self, name, at_s):
        """Return the factor on the rate of a kind of request at a time."""
        applies = not self.requests or name in self.requests
        if applies and self.start_s <= at_s < self.end_s:
            return self.factor
        return 1.0


@_constraints.with_constraints
@attrs.frozen
class Scenario:
    """A run of the load driver.

    Attributes
    ----------
    requests : tuple of RequestKind
        Kinds of request to send.
    duration_s : float
        Seconds during which new requests arrive.
    phases : tuple of Phase
        Changes of the arrival rates over time.
    keys : Keys
        Source of idempotency keys.
    seed : int
        Seed of arrivals, nonces and the choice of nodes.
    connections : int
        Maximum number of connections to one node.
    ask_later : bool
        Whether clients query the keys of paid requests with unknown outcome
        at the end of the run.
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
    """Return the arrivals of a scenario in order of time.

    Parameters
    ----------
    scenario : Scenario
        The scenario.

    Returns
    -------
    iterator of Arrival
        Arrivals; the same scenario gives the same ones.
    """
    streams = [_arrivals_of_kind(scenario, kind) for kind in scenario.requests]
    return heapq.merge(*streams)


def _arrivals_of_kind(scenario, kind):
    if kind.rate <= 0:
        return
    rng = random.Random(f'{scenario.seed} {kind.name}')
    at_s = 0.0
    for number in itertools.count():
        at_s += rng.expovariate(_rate_at(scenario, kind, at_s))
        if at_s >= scenario.duration_s:
            return
        name = kind.name.replace('.', '-')
        nonce = f'{name}-{number}-{rng.getrandbits(48):012x}'
        yield Arrival(at_s, nonce, kind)


def _rate_at(scenario, kind, at_s):
    rate = kind.rate
    for phase in scenario.phases:
        rate *= phase.factor_at(kind.name, at_s)
    return max(rate, 1e-9)
