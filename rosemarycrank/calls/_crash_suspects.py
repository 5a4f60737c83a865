"""Requests under which upstreams have crashed, as known to one node.

A request may end the process of each upstream that runs it, and comes again
with another identifier. All requests that ran at a crash are under suspicion;
one under which two upstreams have crashed is refused at all nodes for a time.
A good run lifts the suspicion of one crash.
"""

import hashlib
import logging

import attrs

from rosemarycrank import messages

#: Number of crashes under a request after which it is refused.
CRASHES_TO_REFUSE = 2

#: Time for which a request is refused after its last crash, in seconds, and
#: the growth of that time with each further one.
MIN_REFUSAL_S = 60.0
REFUSAL_GROWTH = 4.0
MAX_REFUSAL_S = 4.0 * 3600.0

#: Time in which the runs that one crash has ended are lost, in seconds.
CRASH_SPREAD_S = 1.0

#: Maximum number of requests that are remembered; the oldest are dropped.
MAX_REQUESTS = 10_000

_DIGEST_BYTES = 8
LOG = logging.getLogger(__name__)


def digest_of(request):
    """Return what makes two requests the same, whatever their identifiers.

    Parameters
    ----------
    request : object
        Has the attributes ``service``, ``method``, ``path`` and ``body``.

    Returns
    -------
    str
        Digest in hexadecimal digits.
    """
    parts = (request.service, request.method, request.path)
    head = '\0'.join(parts).encode()
    state = hashlib.blake2b(head, digest_size=_DIGEST_BYTES)
    state.update(b'\0' + request.body)
    return state.hexdigest()


@attrs.define(eq=False)
class _Suspicion:
    """Crashes that count against a request.

    Attributes
    ----------
    crash_ids : dict of str to None
        Identifiers of the crashes, in order.
    last_at : float
        Time of the last one, in seconds of the local clock.
    """

    crash_ids: dict = attrs.field(factory=dict)
    last_at: float = 0.0


class CrashSuspects:
    """Suspicions of one node, and the messages that tell other nodes.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    recipients : callable
        Returns the addresses of the nodes that are told.
    """

    def __init__(self, context, recipients):
        self.context = context
        self._recipients = recipients
        self._suspicion_by_digest = {}
        self._crash_id = ''
        self._crashed_at = 0.0
        self._crash_count = 0

    def __len__(self):
        return len(self._suspicion_by_digest)

    def refused_for_s(self, digest):
        """Return for how long a request is refused; 0 if it may run."""
        suspicion = self._suspicion_by_digest.get(digest)
        if suspicion is None:
            return 0.0
        count = len(suspicion.crash_ids)
        if count < CRASHES_TO_REFUSE:
            return 0.0
        refusal_s = MIN_REFUSAL_S * REFUSAL_GROWTH ** (
            min(count, 16) - CRASHES_TO_REFUSE
        )
        until = suspicion.last_at + min(MAX_REFUSAL_S, refusal_s)
        return max(0.0, until - self.context.now)

    def record_lost_run(self, digest):
        """Record that the local upstream's process ended during a run.

        All nodes are told, before the reply to the attempt is sent.
        """
        now = self.context.now
        if now - self._crashed_at > CRASH_SPREAD_S or not self._crash_id:
            self._crash_count += 1
            self._crash_id = (
                f'{self.context.incarnation:016x}-{self._crash_count}'
            )
            self.context.count('target.crashes')
        self._crashed_at = now
        LOG.warning(
            'the upstream has crashed under a request',
            extra={'digest': digest, 'crash_id': self._crash_id},
        )
        self._tell(messages.CrashMark(digest, self._crash_id, cleared=False))

    def record_good_run(self, digest):
        """Lift the suspicion of one crash from a request that has run well."""
        suspicion = self._suspicion_by_digest.get(digest)
        if suspicion is not None:
            crash_id = next(iter(suspicion.crash_ids))
            self._tell(messages.CrashMark(digest, crash_id, cleared=True))

    def receive(self, mark):
        """Take over what another node has told.

        Parameters
        ----------
        mark : rosemarycrank.messages.CrashMark
            The message.
        """
        if mark.cleared:
            self._clear(mark)
        else:
            self._add(mark)

    def _tell(self, mark):
        self.receive(mark)
        for address in sorted(self._recipients()):
            if address != self.context.address:
                self.context.send(address, mark)

    def _add(self, mark):
        suspicion = self._suspicion_by_digest.pop(mark.digest, None)
        if suspicion is None:
            suspicion = _Suspicion()
        # The newest is last, so that the oldest can be dropped.
        self._suspicion_by_digest[mark.digest] = suspicion
        if mark.crash_id in suspicion.crash_ids:
            return
        suspicion.crash_ids[mark.crash_id] = None
        suspicion.last_at = self.context.now
        if len(suspicion.crash_ids) == CRASHES_TO_REFUSE:
            self.context.count('crash_suspects.refused')
            LOG.warning(
                'request is refused, as upstreams have crashed under it',
                extra={
                    'digest': mark.digest,
                    'crash_ids': list(suspicion.crash_ids),
                },
            )
        if len(self._suspicion_by_digest) > MAX_REQUESTS:
            del self._suspicion_by_digest[
                next(iter(self._suspicion_by_digest))
            ]

    def _clear(self, mark):
        suspicion = self._suspicion_by_digest.get(mark.digest)
        if suspicion is None:
            return
        count = len(suspicion.crash_ids)
        suspicion.crash_ids.pop(mark.crash_id, None)
        if count == CRASHES_TO_REFUSE > len(suspicion.crash_ids):
            LOG.info(
                'request is not refused any more, as it has run well',
                extra={'digest': mark.digest},
            )
        if not suspicion.crash_ids:
            del self._suspicion_by_digest[mark.digest]
