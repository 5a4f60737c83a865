"""Priority queue of tickets, ordered by importance."""

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
    """Tickets ordered by rank, then shed hash, then order of arrival."""

    def __init__(self):
        self._entries = []
        self._entries_by_id = {}
        self._sequence = itertools.count()

    def __len__(self):
        return len(self._entries)

    def __iter__(self):
        return (entry.ticket for entry in self._entries)

    def push(self, ticket):
        """Insert a ticket at its position in the order.

        Parameters
        ----------
        ticket : Ticket
            The ticket to queue.
        """
        entry = _Entry(
            ticket.rank, ticket.shed_hash, next(self._sequence), ticket
        )
        bisect.insort(self._entries, entry)
        self._entries_by_id[ticket.attempt_id] = entry

    def first(self):
        """Return the most important ticket without removing it.

        Returns
        -------
        Ticket
            The ticket, which stays in the queue.
        """
        return self._entries[0].ticket

    def last(self):
        """Return the least important ticket without removing it.

        Returns
        -------
        Ticket
            The ticket, which stays in the queue.
        """
        return self._entries[-1].ticket

    def pop_first(self):
        """Remove and return the most important ticket.

        Returns
        -------
        Ticket
            The ticket.
        """
        return self._unindex(self._entries.pop(0))

    def pop_last(self):
        """Remove and return the least important ticket.

        Returns
        -------
        Ticket
            The ticket.
        """
        return self._unindex(self._entries.pop())

    def remove(self, attempt_id):
        """Remove the ticket of an attempt; ignore unknown attempts.

        Parameters
        ----------
        attempt_id : str
            Identifier of the attempt.
        """
        entry = self._entries_by_id.pop(attempt_id, None)
        if entry is not None:
            del self._entries[bisect.bisect_left(self._entries, entry)]

    def pop_where(self, predicate):
        """Remove all tickets that satisfy a predicate.

        Parameters
        ----------
        predicate : callable
            Function that takes a ticket and returns whether to remove it.

        Returns
        -------
        list of Ticket
            Removed tickets, most important first.
        """
        removed = [ticket for ticket in self if predicate(ticket)]
        if removed:
            for ticket in removed:
                del self._entries_by_id[ticket.attempt_id]
            self._entries = [
                entry
                for entry in self._entries
                if entry.ticket.attempt_id in self._entries_by_id
            ]
        return removed

    def _unindex(self, entry):
        del self._entries_by_id[entry.ticket.attempt_id]
        return entry.ticket
