"""Cancellations of attempts, repeated until the target's node replies."""

import attrs

from rosemarycrank import messages

#: Time after which a cancellation without a reply is sent again, in seconds;
#: it doubles with each repetition.
FIRST_REPEAT_S = 0.2

#: Number of repetitions. They cover the time in which a silent connection is
#: replaced. An attempt that has ended meanwhile has no reply left.
MAX_REPEATS = 5


@attrs.define(eq=False)
class _Cancellation:
    address: str
    repeats: int = 0
    timer: object = None


class Cancellations:
    """Attempts that were cancelled and may not know of it.

    A message can be lost without notice. The target's node replies to each
    attempt that it ends.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    """

    def __init__(self, context):
        self.context = context
        self._by_attempt_id = {}

    def __len__(self):
        return len(self._by_attempt_id)

    def send(self, address, attempt_id):
        """Cancel an attempt.

        Parameters
        ----------
        address : str
            ``host:port`` of the target's node.
        attempt_id : str
            ID of the attempt.
        """
        cancellation = _Cancellation(address)
        self._by_attempt_id[attempt_id] = cancellation
        self._send(attempt_id, cancellation)

    def confirm(self, attempt_id):
        """Stop repeating, as the target's node has replied to the attempt."""
        cancellation = self._by_attempt_id.pop(attempt_id, None)
        if cancellation is not None:
            cancellation.timer.cancel()

    def _send(self, attempt_id, cancellation):
        self.context.send(cancellation.address, messages.Cancel(attempt_id))
        delay_s = FIRST_REPEAT_S * 2**cancellation.repeats
        cancellation.timer = self.context.timers.after(
            delay_s, lambda _now: self._repeat(attempt_id, cancellation)
        )

    def _repeat(self, attempt_id, cancellation):
        if cancellation.repeats == MAX_REPEATS:
            del self._by_attempt_id[attempt_id]
            return
        cancellation.repeats += 1
        self.context.count('entry.repeated_cancellations')
        self._send(attempt_id, cancellation)
