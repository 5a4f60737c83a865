"""Base class of ledgers and the requests that they run."""

import abc

import attrs

from rosemarycrank import kernel
from rosemarycrank import messages


@attrs.frozen
class KeyedRequest:
    """A non-idempotent request with its idempotency key.

    ``deadline`` is in seconds of the local clock. ``context`` is passed
    unchanged to ``Ledger.run``, also when the owner of the key is another
    node.
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
    """Decides which node may run a keyed request, and stores its outcome.

    The ledger runs a request by calling ``self.run(request, finish)``. The
    call path sets ``run`` once at start, and must call ``finish`` exactly
    once with a `rosemarycrank.kernel.Answer`. The ledger may run the
    request of a key again only after an answer whose outcome is NOT_RUN.
    """

    name = 'ledger'
    run = None

    @abc.abstractmethod
    def submit(self, request, finish):
        """Run a request at most once, here or at the owner of its key.

        Parameters
        ----------
        request : KeyedRequest
            Request to run.
        finish : callable
            Called exactly once with the final `kernel.Answer`.
        """

    @abc.abstractmethod
    def query(self, key, finish):
        """Look up the outcome of a key without running a request.

        Parameters
        ----------
        key : str
            Idempotency key.
        finish : callable
            Called exactly once with a `kernel.Answer`.
        """

    @abc.abstractmethod
    def issue(self, count):
        """Return new idempotency keys that this node owns.

        Parameters
        ----------
        count : int
            Number of keys.

        Returns
        -------
        list of str
            New keys.
        """
