"""Requests, calls and attempts in the simulation of overload control."""

import enum

import attrs

from benchmarks import _model_settings


class Outcome(enum.Enum):
    """Outcome of a call or of an attempt.

    LATE is that of a client request whose deadline passed without an answer.
    """

    COMPLETE = 'complete'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'
    LATE = 'late'


class State(enum.Enum):
    """State of an attempt."""

    SENT = 'sent'
    QUEUED = 'queued'
    RUNNING = 'running'
    ENDED = 'ended'


@attrs.define(eq=False)
class Request:
    """One client request, which may be sent several times."""

    number: int
    rank: int
    shed_hash: float
    created_at: float
    sends: int = 0
    completed: bool = False
    allowance: int = _model_settings.ALLOWANCE


@attrs.define(eq=False)
class Call:
    """A call at its entry node.

    ``on_finished`` is called once, with the outcome and the retry-after time
    in seconds.
    """

    request: Request
    service: str
    deadline: float
    on_finished: object
    attempt: object = None
    excluded: set = attrs.field(factory=set)
    finished: bool = False

    def cancel(self):
        """Cancel the call and, through its attempt, all nested calls."""
        self.finished = True
        if self.attempt:
            self.attempt.target_node.cancel(self.attempt)


@attrs.define(eq=False)
class Attempt:
    """One attempt of a call at one target.

    ``on_reply`` is called with the outcome and the reply. ``child`` is the
    nested call, and ``work_s`` the service time in seconds without it.
    """

    identifier: str
    request: Request
    target_node: object
    deadline: float
    on_reply: object
    ticket: object = None
    admitted_at: float = 0.0
    state: State = State.SENT
    child: Call | None = None
    work_s: float = 0.0
