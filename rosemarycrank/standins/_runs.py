"""Log of the requests that reached an upstream."""

import collections
import time

import attrs

from rosemarycrank import load

MAX_EVENTS_IN_MEMORY = 200_000


class RunLog:
    """Appends run events to a file and keeps the most recent in memory.

    The start of a run is written before the run, so that the file holds it
    even if the process is killed during the run.

    Parameters
    ----------
    upstream : str
        ``host:port`` of the upstream.
    path : str
        File to append to; empty to keep the events in memory only.

    Attributes
    ----------
    events : deque of load.RunEvent
        The most recent events.
    """

    def __init__(self, upstream, path=''):
        self.upstream = upstream
        self.events = collections.deque(maxlen=MAX_EVENTS_IN_MEMORY)
        self._next_number = 0
        self._writer = load.Writer(path) if path else None

    def record_start(self, request):
        """Record the start of a run; return the start event."""
        return self._append_first_event('start', request)

    def record_refusal(self, request, reason):
        """Record that a request was refused without having run."""
        self._append_first_event('refused', request, reason)

    def record_end(self, start_event, ending):
        """Record how the run with the given start event ended."""
        event = attrs.evolve(
            start_event, event='end', at=time.time(), detail=ending
        )
        self._append(event)

    def record_nested_start(self, nonce):
        """Record that a nested call is about to be made."""
        self._append(self._nested_call_event('calling', nonce))

    def record_nested_end(self, nonce, outcome):
        """Record the outcome that a nested call returned to its caller."""
        self._append(self._nested_call_event('call', nonce, outcome))

    def _nested_call_event(self, event, nonce, detail=''):
        return load.RunEvent(
            event=event,
            upstream=self.upstream,
            number=0,
            at=time.time(),
            nonce=nonce,
            detail=detail,
        )

    def _append_first_event(self, event, request, detail=''):
        self._next_number += 1
        record = load.RunEvent(
            event=event,
            upstream=self.upstream,
            number=self._next_number,
            at=time.time(),
            nonce=request.nonce,
            service=request.service,
            method=request.method,
            path=request.path,
            digest=request.digest,
            request_id=request.request_id,
            key=request.key,
            paid=request.paid,
            detail=detail,
        )
        self._append(record)
        return record

    def _append(self, event):
        self.events.append(event)
        if self._writer is not None:
            self._writer.append(event)
