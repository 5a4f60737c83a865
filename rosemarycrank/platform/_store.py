"""Client of the platform's store of rows."""

import base64
import logging
import urllib.parse

import msgspec

from rosemarycrank import dataplane
from rosemarycrank import decoding
from rosemarycrank.platform import _names

#: Partition of all rows that the nodes use.
PARTITION = ''

#: Largest version of a row that is taken for one.
MAX_VERSION = 2**63

#: Largest number of digits of an era that is taken for one.
MAX_ERA_DIGITS = 18

#: Maximum number of bytes of an invalid row in the log.
MAX_LOGGED = 200

_KIND_BY_STATUS = {
    200: dataplane.ReplyKind.OK,
    410: dataplane.ReplyKind.COMPACTED,
    412: dataplane.ReplyKind.CONFLICT,
    429: dataplane.ReplyKind.REFUSED,
    503: dataplane.ReplyKind.REFUSED,
}


class _Row(msgspec.Struct):
    key: str
    part: str = ''
    ver: int = 0
    #: Base64; absent if the row was removed.
    value: str | None = None
    tombstone: bool = False


class _Body(msgspec.Struct):
    ver: int = 0
    rows: list[msgspec.Raw] = []
    has_more: bool = False


_DECODER = msgspec.json.Decoder(_Body)
_ROW_DECODER = msgspec.json.Decoder(_Row)
_LOG = logging.getLogger(__name__)


def _decode_row(data):
    row = decoding.decode(_ROW_DECODER, data)
    if row.part != PARTITION:
        raise ValueError(f'part: got {row.part!r}')
    if not 0 <= row.ver <= MAX_VERSION:
        raise ValueError(f'ver: got {row.ver}')
    value = None
    if row.value is not None and not row.tombstone:
        value = base64.b64decode(row.value, validate=True)
    return dataplane.StoredRow(row.key, row.ver, value)


def _decode_rows(rows):
    """Decode rows; those that are invalid are left out."""
    decoded = []
    for data in rows:
        try:
            decoded.append(_decode_row(data))
        except ValueError as error:
            _LOG.warning(
                'invalid row of the store ignored: %s',
                error,
                extra={
                    'event': 'row_invalid',
                    'row': bytes(data)[:MAX_LOGGED],
                },
            )
    return tuple(decoded)


def _decode_body(data):
    return decoding.decode(_DECODER, data) if data else _Body()


def _decode_reply(http_reply):
    if http_reply.status == 0:
        return dataplane.StoreReply(
            dataplane.ReplyKind.FAILED, detail=http_reply.error
        )
    era = _decode_era(http_reply.values_by_name.get(_names.STORE_ERA_HEADER))
    kind = _KIND_BY_STATUS.get(http_reply.status, dataplane.ReplyKind.FAILED)
    detail = f'status {http_reply.status}'
    try:
        body = _decode_body(http_reply.body)
        rows = _decode_rows(body.rows)
    except ValueError as error:
        if kind is dataplane.ReplyKind.OK:
            return dataplane.StoreReply(
                dataplane.ReplyKind.FAILED,
                detail=f'{detail}: {error}',
                era=era,
            )
        body, rows = _Body(), ()
    return dataplane.StoreReply(kind, rows, body.ver, detail, era)


def _decode_era(value):
    if value is None:
        return None
    if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
        _LOG.warning(
            'the store names an invalid era',
            extra={'event': 'store_era_invalid', 'era': value[:MAX_LOGGED]},
        )
        return None
    return int(value)


class RowStore(dataplane.Store):
    """Store of rows with an HTTP interface.

    Parameters
    ----------
    client : rosemarycrank.dataplane.HttpClient
        HTTP client for the address of the store.
    """

    def __init__(self, client):
        self.client = client

    def read(self, table, on_reply):
        """Read all rows of a table."""
        self._read_page(table, '', None, on_reply)

    def follow(self, table, after, wait_s, on_reply):
        """Wait up to ``wait_s`` seconds for changes after a version."""
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
            lambda http_reply: on_reply(_decode_reply(http_reply)),
        )

    def write(self, table, row, on_reply):
        """Write a row if its stored version is ``row.version``.

        The value None removes the row.
        """
        row_key = {'table_name': table, 'part': PARTITION, 'key': row.key}
        body = {'expected': [row_key | {'ver': row.version}]}
        if row.value is None:
            body['puts'] = []
            body['remove'] = [row_key]
        else:
            value = base64.b64encode(row.value).decode()
            body['puts'] = [row_key | {'value': value}]
            body['remove'] = []
        self.client.call(
            'POST',
            '/rosemarycrank/rows-tx',
            msgspec.json.encode(body),
            dataplane.CALL_TIMEOUT_S,
            lambda http_reply: on_reply(_decode_reply(http_reply)),
        )

    def _read_page(self, table, first_key, previous, on_reply):
        query = {'table_name': table, 'part': PARTITION, 'limit': 500}
        if first_key:
            query['from'] = first_key

        def receive_page(http_reply):
            reply = _decode_reply(http_reply)
            if reply.kind is not dataplane.ReplyKind.OK:
                on_reply(reply)
                return
            if previous is not None and previous.era != reply.era:
                reply = dataplane.StoreReply(
                    dataplane.ReplyKind.FAILED,
                    detail='pages of different eras',
                    era=reply.era,
                )
                on_reply(reply)
                return
            if previous is not None:
                # Keep the version of the first page: changes made while the
                # other pages were read are received by following from there.
                reply = dataplane.StoreReply(
                    reply.kind,
                    previous.rows + reply.rows,
                    previous.version,
                    era=reply.era,
                )
            if _decode_body(http_reply.body).has_more and reply.rows:
                # The smallest key after the last one read.
                next_key = reply.rows[-1].key + '\0'
                self._read_page(table, next_key, reply, on_reply)
                return
            on_reply(reply)

        self.client.call(
            'GET',
            f'/rosemarycrank/rows-get?{urllib.parse.urlencode(query)}',
            None,
            dataplane.CALL_TIMEOUT_S,
            receive_page,
        )
