"""Queue of tickets in order of importance."""

import bisect
import itertools

import attrs


@attrs.frozen(order=True)
class _Entry:
    rank: int
    shed_hash: float
    sequence: int
    ticket: object = attrs.field(order=False)


class TicketQueue:
    """Tickets ordered by rank, then hash, then arrival."""

    def __init__(self):
        self._entries = []
        self._by_id = {}
        self._sequence = itertools.count()

    def __len__(self):
        return len(self._entries)

    def __iter__(self):
        return (entry.ticket for entry in self._entries)

    def push(self, ticket):
        """Add a ticket at its place.

        Parameters
        ----------
        ticket : Ticket
            The ticket.
        """
        entry = _Entry(
            ticket.rank, ticket.shed_hash, next(self._sequence), ticket
        )
        bisect.insort(self._entries, entry)
        self._by_id[ticket.attempt_id] = entry

    def first(self):
        """Return the most important ticket.

        Returns
        -------
        Ticket
            The ticket; it stays in the queue.
        """
        return self._entries[0].ticket

    def last(self):
        """Return the least important ticket.

        Returns
        -------
        Ticket
            The ticket; it stays in the queue.
        """
        return self._entries[-1].ticket

    def pop_first(self):
        """Take out the most important ticket.

        Returns
        -------
        Ticket
            The ticket.
        """
        return self._forget(self._entries.pop(0))

    def pop_last(self):
        """Take out the least important ticket.

        Returns
        -------
        Ticket
            The ticket.
        """
        return self._forget(self._entries.pop())

    def remove(self, attempt_id):
        """Take out one ticket; an unknown one is ignored.

        Parameters
        ----------
        attempt_id : str
            Identifier of its attempt.
        """
        entry = self._by_id.pop(attempt_id, None)
        if entry is not None:
            del self._entries[bisect.bisect_left(self._entries, entry)]

    def pop_where(self, condition):
        """Take out every ticket that meets a condition.

        Parameters
        ----------
        condition : callable
            Takes a ticket and returns whether it is to go.

        Returns
        -------
        list of Ticket
            What was taken out, most important first.
        """
        taken = [ticket for ticket in self if condition(ticket)]
        if taken:
            for ticket in taken:
                del self._by_id[ticket.attempt_id]
            self._entries = [
                entry
                for entry in self._entries
                if entry.ticket.attempt_id in self._by_id
            ]
        return taken

    def _forget(self, entry):
        del self._by_id[entry.ticket.attempt_id]
        return entry.ticket
