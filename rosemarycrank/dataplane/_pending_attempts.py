"""Attempts that were passed to a peer and have no result yet."""

import attrs

from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _memory

#: Copies of an encoded attempt: it is kept to be sent again, and a stream
#: joins what it has not sent.
ENCODED_COPIES = 2


@attrs.define(eq=False, slots=True)
class PendingAttempt:
    """Attempt without a result.

    Attributes
    ----------
    number : int
        Number of the attempt.
    idempotent : bool
        Whether the attempt may be abandoned and sent to another target.
    parts : tuple of (bytes or bytearray)
        Encoded frame, to be sent again over a new connection.
    sent_to_incarnation : int
        Incarnation of the node that the attempt was sent to; 0 before that.
    on_result : callable
        Called once with the `Result`.
    client : ClientConnection
        Connection on which the request arrived.
    held_bytes : int
        Memory that it takes of the budget for output to nodes.
    """

    number: int
    idempotent: bool
    parts: tuple
    sent_to_incarnation: int
    on_result: object
    client: object
    held_bytes: int = 0

    def memory_bytes(self):
        """Return the memory that it takes beside that of its request.

        A large body is that of the request, which is charged for it.
        """
        size = sum([len(part) for part in self.parts if type(part) is bytes])
        return _memory.MESSAGE_OVERHEAD_BYTES + ENCODED_COPIES * size

    def result_without_memory(self):
        """Return the result when it is not sent for want of memory."""
        return self._result(_frames.Outcome.NOT_RUN, _frames.Reason.QUEUE_FULL)

    def result_without_peer(self, process_ended):
        """Return the result when the peer cannot be reached.

        An attempt that was never sent has not run. If the process of the peer
        has ended, the outcome of any other is unknown. Otherwise the peer may
        still report the result; only an idempotent attempt does not wait for
        that.

        Parameters
        ----------
        process_ended : bool
            Whether the process that the attempt was sent to has ended.

        Returns
        -------
        rosemarycrank.dataplane.Result or None
            The result; None if the attempt stays pending.
        """
        if not self.sent_to_incarnation:
            return self._result(
                _frames.Outcome.NOT_RUN, _frames.Reason.NODE_UNREACHABLE
            )
        if process_ended:
            return self.result_after_restart()
        if self.idempotent:
            return self._result(
                _frames.Outcome.UNKNOWN, _frames.Reason.NODE_UNREACHABLE
            )
        return None

    def result_after_restart(self):
        """Return the result of an attempt whose node's process has ended."""
        return self._result(
            _frames.Outcome.UNKNOWN, _frames.Reason.NODE_RESTARTED
        )

    def _result(self, outcome, reason):
        return _frames.Result(
            self.number, int(outcome), int(reason), 0, b'', b'', None
        )
