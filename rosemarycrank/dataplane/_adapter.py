"""Interface of a node to the platform on which it runs."""

import abc


class Adapter(abc.ABC):
    """Interface of a node to the platform on which it runs.

    Attributes
    ----------
    names : HeaderNames
        Names of the header fields.
    """

    names = None

    @abc.abstractmethod
    def open_store(self, reactor):
        """Return the `Store` for discovery and configuration."""

    @abc.abstractmethod
    def decode_configuration(self, body):
        """Decode a document to a `Configuration`.

        Raises
        ------
        ValueError
            If the document is invalid.
        """

    @abc.abstractmethod
    def handle_control(self, message, registration):
        """Handle a heartbeat or withdrawal of the local target.

        Parameters
        ----------
        message : Message
            Request of the target.
        registration : Registration
            Registration to update.

        Returns
        -------
        Reply
            Reply to the target.
        """

    @abc.abstractmethod
    def is_readiness_probe(self, message):
        """Return whether a request is a readiness probe of the node."""
