"""Reads bundles from the platform: the current row, then the content."""

import functools

from rosemarycrank.bundles import _content
from rosemarycrank.bundles import _store
from rosemarycrank.bundles import _table
from rosemarycrank import kernel
from rosemarycrank import table_service

#: Maximum number of operations in flight.
MAX_PENDING = 4

#: Time after which a content whose fetch has not completed is fetched again.
FETCH_TIMEOUT_S = 1.0


class PlatformSource:
    """Reads the current row and fetches the content that it refers to.

    Late answers are used too. This is safe, since a bundle is accepted only
    if it is newer than the node's.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    store : Store
        The node's bundle.
    on_bundle : callable
        Called with head and content of a bundle that was fetched.

    Attributes
    ----------
    reads : int
        Reads of the row that were answered.
    failures : int
        Operations that failed or were abandoned without an answer.
    """

    def __init__(self, context, store, on_bundle):
        self.context = context
        self.store = store
        self.on_bundle = on_bundle
        self.reads = 0
        self.failures = 0
        self._operation_count = 0
        self._callbacks_by_id = {}
        self._fetching_hash = ''
        self._fetch_started_at_s = 0.0

    @property
    def pending(self):
        """Number of operations in flight."""
        return len(self._callbacks_by_id)

    def poll(self):
        """Read the current row, and the content if its bundle is newer."""
        read = table_service.TableRead(_table.TABLE, _table.CURRENT_KEY)
        self._send_request(read, self._on_row)

    def on_reply(self, reply):
        """Handle the platform's answer to an operation.

        Parameters
        ----------
        reply : rosemarycrank.kernel.PlatformReply
            The answer; ignored if it is to another component's operation or
            to an abandoned one.
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

    def _send_request(self, operation, callback):
        if len(self._callbacks_by_id) >= MAX_PENDING:
            # The oldest operation has been in flight for several polls;
            # abandon it.
            self._callbacks_by_id.pop(next(iter(self._callbacks_by_id)))
            self.failures += 1
        self._operation_count += 1
        operation_id = f'bundle-{self._operation_count}'
        self._callbacks_by_id[operation_id] = callback
        self.context.emit(kernel.PlatformRequest(operation_id, operation))

    def _on_row(self, row):
        self.reads += 1
        if row is None:
            return
        current = _table.parse_row(row.value)
        verdict = self.store.check(current.head)
        if verdict is not _store.Verdict.ACCEPTED:
            self.context.count(f'bundle.{verdict.value}')
            return
        if not self._is_fetching(current.head.hash):
            self._fetch(current)

    def _is_fetching(self, content_hash):
        age_s = self.context.now - self._fetch_started_at_s
        return content_hash == self._fetching_hash and age_s < FETCH_TIMEOUT_S

    def _fetch(self, current):
        self._fetching_hash = current.head.hash
        self._fetch_started_at_s = self.context.now
        if current.base_hash and current.base_hash == self.store.hash:
            name = _table.delta_name(current.base_hash, current.head.hash)
            callback = functools.partial(self._on_delta, current.head)
            self._send_request(table_service.ObjectGet(name), callback)
        else:
            self._fetch_whole(current.head)

    def _fetch_whole(self, head):
        self.context.count('bundle.wholes_fetched')
        name = _table.body_name(head.hash)
        callback = functools.partial(self._on_whole, head)
        self._send_request(table_service.ObjectGet(name), callback)

    def _on_delta(self, head, body):
        content = self._apply(head, body)
        if content is None:
            self._fetch_whole(head)
            return
        self._fetching_hash = ''
        self.on_bundle(head, content)

    def _apply(self, head, body):
        if body is None:
            return None
        try:
            return self.store.apply(head, _table.decode_delta(body))
        except _content.ContentError:
            # Fall back to the whole body, which may be valid.
            self.context.count('bundle.deltas_malformed')
            return None

    def _on_whole(self, head, body):
        self._fetching_hash = ''
        if body is None:
            raise _content.ContentError(f'bundle body {head.hash}: not found')
        self.on_bundle(head, _content.from_bytes(body))
