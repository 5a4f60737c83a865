"""Schedule of comparisons with the nodes whose state differs."""


class DueComparisons:
    """Connections to nodes whose state differs, until they are compared.

    Each comparison is delayed by a random time, so that of many nodes that
    connect to one that has just started, few send it the same.

    Parameters
    ----------
    max_delay_s : float
        Maximum delay of a comparison, in seconds.
    random : random.Random
        Random source.
    """

    def __init__(self, max_delay_s, random):
        self._max_delay_s = max_delay_s
        self._random = random
        self._due_at_by_connection = {}

    def report(self, connection, differs, now):
        """Schedule a comparison, or cancel it.

        Parameters
        ----------
        connection : Peer
            Connection to the other node.
        differs : bool
            Whether its state differs.
        now : float
            Seconds of the node's clock.
        """
        if not differs:
            self._due_at_by_connection.pop(connection, None)
        elif connection not in self._due_at_by_connection:
            delay_s = self._max_delay_s * self._random.random()
            self._due_at_by_connection[connection] = now + delay_s

    def take(self, now):
        """Return the next connection that is due; None without one.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        """
        if not self._due_at_by_connection:
            return None
        connection, due_at = min(
            self._due_at_by_connection.items(), key=lambda item: item[1]
        )
        if now < due_at:
            return None
        del self._due_at_by_connection[connection]
        return connection
