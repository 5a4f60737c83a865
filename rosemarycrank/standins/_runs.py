"""Record of what reached an upstream."""

import collections
import time

import attrs

from rosemarycrank import load

MAX_KEPT_EVENTS = 200_000


class RunLog:
    """Appends run events to a file, and keeps the last ones.

    A start is written before the run, so that the record holds it even if
    the process is killed.

    Parameters
    ----------
    upstream : str
        ``host:port`` of the upstream.
    path : str
        File to append to; empty for none.
    """

    def __init__(self, upstream, path=''):
        self.upstream = upstream
        self.events = collections.deque(maxlen=MAX_KEPT_EVENTS)
        self._next_number = 0
        self._writer = load.Writer(path) if path else None

    def start(self, request):
        """Record that a request starts to run; return its event."""
        return self._first('start', request)

    def refuse(self, request, reason):
        """Record that a request arrived and did not run."""
        self._first('refused', request, reason)

    def end(self, start, how):
        """Record how the run of a start event ended."""
        event = attrs.evolve(start, event='end', at=time.time(), detail=how)
        self._append(event)

    def calling(self, nonce):
        """Record that a nested call is about to be made."""
        self._append(self._call_event('calling', nonce))

    def called(self, nonce, told):
        """Record what the caller of a nested call was told."""
        self._append(self._call_event('call', nonce, told))

    def _call_event(self, event, nonce, detail=''):
        return load.RunEvent(
            event=event,
            upstream=self.upstream,
            number=0,
            at=time.time(),
            nonce=nonce,
            detail=detail,
        )

    def _first(self, event, request, detail=''):
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
