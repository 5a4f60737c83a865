"""Pulls newer bundles from the nodes that announce them."""

from rosemarycrank.bundles import _messages

PULL_TIMEOUT_S = 0.4

#: Maximum number of sources queued while a pull is in flight.
MAX_WAITING_SOURCES = 4


class Puller:
    """Sends one pull at a time; after a timeout, pulls from the next source.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    store : Store
        The node's bundle.
    """

    def __init__(self, context, store):
        self.context = context
        self.store = store
        self._waiting_sources = []
        self._timeout_timer = None

    def add_source(self, sender):
        """Pull from a node with a newer bundle, or queue it as a source.

        Parameters
        ----------
        sender : str
            Address of the node.
        """
        if self._timeout_timer is None:
            self._pull(sender)
        elif sender not in self._waiting_sources:
            # The latest announcement is the most likely to be of the newest
            # version.
            self._waiting_sources.insert(0, sender)
            del self._waiting_sources[MAX_WAITING_SOURCES:]

    def request_whole(self, sender):
        """Request the whole bundle from a node whose delta did not apply.

        Parameters
        ----------
        sender : str
            Address of the node.
        """
        self.context.send(sender, _messages.BundlePull())

    def finish(self):
        """End the pull after a newer bundle was accepted."""
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
            self._timeout_timer = None
        self._waiting_sources.clear()

    def _pull(self, address):
        self._timeout_timer = self.context.timers.after(
            PULL_TIMEOUT_S, self._on_timeout
        )
        self.context.send(address, _messages.BundlePull(self.store.hash))

    def _on_timeout(self, now):
        self._timeout_timer = None
        if self._waiting_sources:
            self._pull(self._waiting_sources.pop(0))
