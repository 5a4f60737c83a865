"""Reads bundles from the platform: the row first, then the content."""

import functools

from rosemarycrank.bundles import _content
from rosemarycrank.bundles import _store
from rosemarycrank.bundles import _table
from rosemarycrank import kernel
from rosemarycrank import table_service

#: Reads that may wait for an answer at once.
MAX_PENDING = 4

#: Time after which the same content is fetched again.
FETCH_TIMEOUT_S = 1.0


class PlatformSource:
    """Reads the table's row and fetches the content that it names.

    An answer counts however late it is; what it names is only taken when
    it is newer than what is held.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    store : Store
        What is held.
    take : callable
        Called with head and content of a newer bundle.

    Attributes
    ----------
    reads : int
        Rows read with an answer.
    failures : int
        Operations without an answer.
    """

    def __init__(self, context, store, take):
        self.context = context
        self.store = store
        self.take = take
        self.reads = 0
        self.failures = 0
        self._operations = 0
        self._callbacks_by_id = {}
        self._fetching_hash = ''
        self._fetching_since = 0.0

    @property
    def waiting(self):
        """Operations that wait for an answer."""
        return len(self._callbacks_by_id)

    def poll(self):
        """Read the row, unless too many reads wait already."""
        read = table_service.TableRead(_table.TABLE, _table.CURRENT_KEY)
        self._request(read, self._on_row)

    def on_reply(self, reply):
        """Handle the platform's answer to one of these operations.

        Parameters
        ----------
        reply : rosemarycrank.kernel.PlatformReply
            The answer; those to other operations are ignored.
        """
        callback = self._callbacks_by_id.pop(reply.operation_id, None)
        if callback is None:
            return
        if reply.error:
            self.failures += 1
            self._fetching_hash = ''
            return
        try:
            callback(reply.value)
        except _content.ContentError as error:
            self.store.last_error = str(error)
            self.context.count('bundle.refused')

    def _request(self, operation, callback):
        if len(self._callbacks_by_id) >= MAX_PENDING:
            # The oldest has waited for several polls; give it up.
            self._callbacks_by_id.pop(next(iter(self._callbacks_by_id)))
            self.failures += 1
        self._operations += 1
        operation_id = f'bundle-{self._operations}'
        self._callbacks_by_id[operation_id] = callback
        self.context.emit(kernel.PlatformRequest(operation_id, operation))

    def _on_row(self, row):
        self.reads += 1
        if row is None:
            return
        current = _table.read_row(row.value)
        verdict = self.store.check(current.head)
        if verdict is not _store.Verdict.ACCEPTED:
            self.context.count(f'bundle.{verdict.value}')
            return
        if not self._is_fetching(current.head.hash):
            self._fetch(current)

    def _is_fetching(self, content_hash):
        age_s = self.context.now - self._fetching_since
        return content_hash == self._fetching_hash and age_s < FETCH_TIMEOUT_S

    def _fetch(self, current):
        self._fetching_hash = current.head.hash
        self._fetching_since = self.context.now
        if current.base_hash and current.base_hash == self.store.hash:
            name = _table.delta_name(current.base_hash, current.head.hash)
            callback = functools.partial(self._on_delta, current.head)
            self._request(table_service.ObjectGet(name), callback)
        else:
            self._fetch_whole(current.head)

    def _fetch_whole(self, head):
        self.context.count('bundle.wholes_fetched')
        name = _table.body_name(head.hash)
        callback = functools.partial(self._on_whole, head)
        self._request(table_service.ObjectGet(name), callback)

    def _on_delta(self, head, body):
        content = self._apply(head, body)
        if content is None:
            self._fetch_whole(head)
            return
        self._fetching_hash = ''
        self.take(head, content)

    def _apply(self, head, body):
        if body is None:
            return None
        try:
            return self.store.apply(head, _table.decode_delta(body))
        except _content.ContentError:
            # The whole body may still be good.
            self.context.count('bundle.deltas_malformed')
            return None

    def _on_whole(self, head, body):
        self._fetching_hash = ''
        if body is None:
            raise _content.ContentError(f'object of {head.hash}: not there')
        self.take(head, _content.from_bytes(body))
