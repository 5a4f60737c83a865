"""Calls that a node makes, from their start to the final answer."""

import attrs

from rosemarycrank.calls import _allowance
from rosemarycrank.calls import _path_levels
from rosemarycrank import kernel
from rosemarycrank import messages


@attrs.define(eq=False)
class Call:
    """A call that this node makes for a client or for its own upstream.

    ``deadline`` is in seconds of the local clock. ``finish`` is called
    exactly once, with the final `kernel.Answer`. ``parent_token`` is the
    in-flight token of the attempt at the local upstream for which this call
    is made, or empty. ``threshold`` is the lowest shedding threshold in the
    last reply: that of the target or of the services downstream of it.
    ``may_have_run`` is set once an attempt has an unknown outcome. ``digest``
    stands for the request and all that are like it.
    """

    request: object
    idempotent: bool
    context: messages.CallContext
    deadline: float
    allowance: _allowance.Allowance
    finish: object
    request_id: str
    class_name: str
    parent_token: str = ''
    threshold: float = _path_levels.NO_THRESHOLD
    tried_addresses: set = attrs.field(factory=set)
    redirect_count: int = 0
    upstream_attempts: int = 0
    may_have_run: bool = False
    last_refusal: kernel.Answer | None = None
    attempt: object = None
    deadline_timer: object = None
    done: bool = False
    digest: str = ''

    @property
    def shed_score(self):
        """Number that a service compares with its shedding threshold."""
        return self.context.rank + self.context.shed_hash

    @property
    def threshold_key(self):
        """Service and request class, by which thresholds are kept."""
        return self.request.service, self.class_name


class CallTable:
    """Calls that have no final answer yet.

    Attributes
    ----------
    by_request_id : dict of str to Call
        All calls.
    """

    def __init__(self):
        self.by_request_id = {}
        self._nested_by_parent_token = {}

    def add(self, call):
        """Add a call."""
        self.by_request_id[call.request_id] = call
        if call.parent_token:
            nested = self._nested_by_parent_token.setdefault(
                call.parent_token, set()
            )
            nested.add(call)

    def remove(self, call):
        """Remove a call that has its final answer."""
        del self.by_request_id[call.request_id]
        nested = self._nested_by_parent_token.get(call.parent_token)
        if nested is not None:
            nested.discard(call)
            if not nested:
                del self._nested_by_parent_token[call.parent_token]

    def nested(self, parent_token):
        """Return the calls made for an attempt at the local upstream.

        Parameters
        ----------
        parent_token : str
            In-flight token of the attempt.

        Returns
        -------
        list of Call
            Calls that have no final answer yet.
        """
        return list(self._nested_by_parent_token.get(parent_token, ()))
