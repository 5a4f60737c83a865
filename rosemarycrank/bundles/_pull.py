"""Pulls a newer bundle from one of the nodes that announced it."""

from rosemarycrank.bundles import _messages

PULL_TIMEOUT_S = 0.4

#: Other sources that are remembered while a pull waits for its answer.
MAX_SOURCES = 4


class Puller:
    """Has one pull under way at a time and turns to the next source.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    store : Store
        What is held.
    """

    def __init__(self, context, store):
        self.context = context
        self.store = store
        self._sources = []
        self._timeout = None

    def hear(self, sender):
        """Take note of a node that holds a newer bundle.

        Parameters
        ----------
        sender : str
            Address of the node.
        """
        if self._timeout is None:
            self._pull(sender)
        elif sender not in self._sources:
            # The latest news is the most likely to be the newest version.
            self._sources.insert(0, sender)
            del self._sources[MAX_SOURCES:]

    def ask_whole(self, sender):
        """Ask a node whose delta did not fit for its whole bundle.

        Parameters
        ----------
        sender : str
            Address of the node.
        """
        self.context.send(sender, _messages.BundlePull())

    def done(self):
        """End the pull: a newer bundle was accepted."""
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None
        self._sources.clear()

    def _pull(self, address):
        self._timeout = self.context.timers.after(
            PULL_TIMEOUT_S, self._on_timeout
        )
        self.context.send(address, _messages.BundlePull(self.store.hash))

    def _on_timeout(self, now):
        self._timeout = None
        if self._sources:
            self._pull(self._sources.pop(0))
