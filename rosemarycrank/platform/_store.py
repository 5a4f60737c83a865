"""Calls of the platform's store of rows."""

import base64
import urllib.parse

import msgspec

from rosemarycrank import dataplane

#: Partition of all rows that the nodes use.
PARTITION = ''

_KIND_BY_STATUS = {
    200: dataplane.ReplyKind.OK,
    410: dataplane.ReplyKind.COMPACTED,
    412: dataplane.ReplyKind.CONFLICT,
    429: dataplane.ReplyKind.REFUSED,
    503: dataplane.ReplyKind.REFUSED,
}


class _Row(msgspec.Struct):
    key: str
    ver: int = 0
    #: Base64; absent in a row that was removed.
    value: str | None = None
    tombstone: bool = False


class _Body(msgspec.Struct):
    ver: int = 0
    rows: list[_Row] = []
    has_more: bool = False


_DECODER = msgspec.json.Decoder(_Body)


def _stored(row):
    value = None
    if row.value is not None and not row.tombstone:
        value = base64.b64decode(row.value)
    return dataplane.StoredRow(row.key, row.ver, value)


def _reply(answer):
    if answer.status == 0:
        return dataplane.StoreReply(
            dataplane.ReplyKind.FAILED, detail=answer.error
        )
    kind = _KIND_BY_STATUS.get(answer.status, dataplane.ReplyKind.FAILED)
    detail = f'status {answer.status}'
    try:
        body = _DECODER.decode(answer.body) if answer.body else _Body()
        rows = tuple(_stored(row) for row in body.rows)
    except (msgspec.MsgspecError, ValueError) as error:
        if kind is dataplane.ReplyKind.OK:
            return dataplane.StoreReply(
                dataplane.ReplyKind.FAILED, detail=f'{detail}: {error}'
            )
        body, rows = _Body(), ()
    return dataplane.StoreReply(kind, rows, body.ver, detail)


class RowStore(dataplane.Store):
    """The store, over HTTP.

    Parameters
    ----------
    client : rosemarycrank.dataplane.HttpClient
        Way to it.
    """

    def __init__(self, client):
        self.client = client

    def read(self, table, on_reply):
        """Read all rows of a table."""
        self._read_page(table, '', None, on_reply)

    def follow(self, table, after, wait_s, on_reply):
        """Wait for rows that changed after a version."""
        query = urllib.parse.urlencode(
            {
                'table_name': table,
                'after': after,
                'wait_ms': int(wait_s * 1000),
            }
        )
        self.client.call(
            'GET',
            f'/rosemarycrank/rows-feed?{query}',
            None,
            wait_s + dataplane.LONG_POLL_MARGIN_S,
            lambda answer: on_reply(_reply(answer)),
        )

    def write(self, table, row, on_reply):
        """Write a row if it stands at its version; None removes it."""
        name = {'table_name': table, 'part': PARTITION, 'key': row.key}
        body = {'expected': [name | {'ver': row.version}]}
        if row.value is None:
            body['puts'] = []
            body['remove'] = [name]
        else:
            value = base64.b64encode(row.value).decode()
            body['puts'] = [name | {'value': value}]
            body['remove'] = []
        self.client.call(
            'POST',
            '/rosemarycrank/rows-tx',
            msgspec.json.encode(body),
            dataplane.CALL_TIMEOUT_S,
            lambda answer: on_reply(_reply(answer)),
        )

    def _read_page(self, table, start, before, on_reply):
        query = {'table_name': table, 'part': PARTITION, 'limit': 500}
        if start:
            query['from'] = start

        def take(answer):
            reply = _reply(answer)
            if reply.kind is not dataplane.ReplyKind.OK:
                on_reply(reply)
                return
            if before is not None:
                # What changed since the first page is followed from there.
                reply = dataplane.StoreReply(
                    reply.kind, before.rows + reply.rows, before.version
                )
            if _DECODER.decode(answer.body).has_more and reply.rows:
                # The least key after the last one that was read.
                following = reply.rows[-1].key + '\0'
                self._read_page(table, following, reply, on_reply)
                return
            on_reply(reply)

        self.client.call(
            'GET',
            f'/rosemarycrank/rows-get?{urllib.parse.urlencode(query)}',
            None,
            dataplane.CALL_TIMEOUT_S,
            take,
        )
