"""Base class of ledgers."""

import abc

import attrs

from rosemarycrank import kernel
from rosemarycrank import messages


@attrs.frozen
class KeyedRequest:
    """A non-idempotent request under an idempotency key.

    ``deadline`` is in seconds of the local clock. ``context`` goes along
    to the key's owner, and ``run`` gets it back unchanged.
    """

    key: str
    service: str
    method: str
    path: str
    headers: dict
    body: bytes
    deadline: float
    context: messages.CallContext = messages.CallContext()


class Ledger(kernel.Component):
    """Decides which node may run a keyed request, and keeps its outcome.

    The ledger runs a request by calling ``self.run(request, finish)``,
    which the call path sets once at start; ``finish`` is called exactly
    once with a `rosemarycrank.kernel.Answer`. The ledger may run a key
    again only after an answer whose outcome is NOT_RUN.
    """

    name = 'ledger'
    run = None

    @abc.abstractmethod
    def submit(self, request, finish):
        """Have a request run at most once, here or at the key's owner.

        Parameters
        ----------
        request : KeyedRequest
            The request.
        finish : callable
            Called exactly once with the final `kernel.Answer`.
        """

    @abc.abstractmethod
    def query(self, key, finish):
        """Find out what became of a key, without running anything.

        Parameters
        ----------
        key : str
            Idempotency key.
        finish : callable
            Called exactly once with a `kernel.Answer`.
        """

    @abc.abstractmethod
    def issue(self, count):
        """Return new keys that this node owns.

        Parameters
        ----------
        count : int
            How many.

        Returns
        -------
        list of str
            Keys.
        """
