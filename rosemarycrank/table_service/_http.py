"""Platform client over HTTP."""

import logging
import math
import re
from urllib import parse

import attrs
import msgspec

from rosemarycrank import decoding
from rosemarycrank import http_client
from rosemarycrank.table_service import _errors
from rosemarycrank.table_service import _operations

_MAX_ANSWER_BYTES = 16 * 1024 * 1024
_MAX_CONNECTIONS = 32

_VERSION_TAG = re.compile(r'(?:W/)?"([0-9]{1,18})"')

_OK = 200
_MULTIPLE_CHOICES = 300
_NOT_FOUND = 404
_PRECONDITION_FAILED = 412
_SERVER_ERROR = 500

LOG = logging.getLogger(__name__)


@attrs.frozen
class _RowBody:
    """JSON form of a row.

    The version in an answer is that of the ETag, if there is one.
    """

    value: dict
    write_id: str
    key: str = ''
    version: int = 0


@attrs.frozen
class _RowsBody:
    rows: list[msgspec.Raw]


@attrs.frozen
class _HttpAnswer:
    status: int
    etag: str
    body: bytes


class HttpPlatform:
    """Executes operations on the platform's services over HTTP.

    Each request is sent once and never repeated. `execute` blocks only the
    calling greenlet.

    Parameters
    ----------
    url : str
        ``http://host:port`` of the platform.
    timeout_s : float, default=2.0
        Maximum time for one operation, in seconds.
    max_connections : int, default=32
        Maximum number of open connections.
    max_answer_bytes : int, default=16 MiB
        Maximum length of an answer, headers included.

    Raises
    ------
    ValueError
        If the URL is not ``http://host:port`` or the time-out is not
        positive.
    """

    def __init__(
        self,
        url,
        timeout_s=2.0,
        max_connections=_MAX_CONNECTIONS,
        max_answer_bytes=_MAX_ANSWER_BYTES,
    ):
        if not (math.isfinite(timeout_s) and timeout_s > 0):
            raise ValueError(f'timeout_s: got {timeout_s!r}, allowed > 0')
        parts = parse.urlsplit(url)
        if parts.scheme != 'http' or not parts.hostname or not parts.port:
            raise ValueError(f'url: got {url!r}, allowed http://host:port')
        self._timeout_s = timeout_s
        self._base_path = parts.path.rstrip('/')
        self._client = http_client.Client(
            parts.hostname,
            parts.port,
            max_connections=max_connections,
            connect_timeout_s=timeout_s,
            read_timeout_s=timeout_s,
            max_answer_bytes=max_answer_bytes,
        )
        self._methods_by_type = {
            _operations.TableRead: self._read,
            _operations.TableList: self._list,
            _operations.TableWrite: self._write,
            _operations.ObjectGet: self._get,
            _operations.ObjectPut: self._put,
        }

    def execute(self, operation):
        """Execute one operation.

        Parameters
        ----------
        operation : object
            Instance of an operation class of `rosemarycrank.table_service`.

        Returns
        -------
        object
            The result that the operation class describes.

        Raises
        ------
        PlatformUnavailable
            If a write certainly did not take effect, or a read got no
            usable answer.
        PlatformAnswerLost
            If a write may or may not have taken effect.
        """
        return self._methods_by_type[type(operation)](operation)

    def close(self):
        """Close the idle connections."""
        self._client.close()

    def _read(self, operation):
        answer = self._request_read(_row_path(operation))
        if answer.status == _NOT_FOUND:
            return None
        return _decode_row(operation.key, answer)

    def _list(self, operation):
        query = parse.urlencode(
            {'prefix': operation.prefix, 'limit': operation.limit}
        )
        answer = self._request_read(
            f'/tables/{_quote(operation.table)}?{query}'
        )
        if answer.status == _NOT_FOUND:
            return []
        body = _decode(answer.body, _RowsBody)
        return _decode_listed_rows(operation.table, body.rows)

    def _write(self, operation):
        answer = self._request_write(
            _row_path(operation),
            msgspec.json.encode(_RowBody(operation.value, operation.write_id)),
            _precondition_headers(operation.expected_version),
            accepted_statuses=(_PRECONDITION_FAILED,),
        )
        applied = answer.status != _PRECONDITION_FAILED
        if applied:
            row = _operations.Row(
                operation.key,
                operation.value,
                operation.expected_version + 1,
                operation.write_id,
            )
            return _operations.WriteResult(True, row)
        return _operations.WriteResult(False, _current_row(operation, answer))

    def _get(self, operation):
        answer = self._request_read(f'/objects/{_quote(operation.name)}')
        return None if answer.status == _NOT_FOUND else answer.body

    def _put(self, operation):
        self._request_write(
            f'/objects/{_quote(operation.name)}', operation.body, {}
        )

    def _request_read(self, path):
        try:
            answer = self._request('GET', path)
        except http_client.HttpError as error:
            raise _errors.PlatformUnavailable(_describe(error)) from error
        if answer.status not in (_OK, _NOT_FOUND):
            raise _errors.PlatformUnavailable(
                f'unexpected status {answer.status}'
            )
        return answer

    def _request_write(self, path, body, headers, accepted_statuses=()):
        try:
            answer = self._request('PUT', path, body, headers)
        except http_client.ConnectFailed as error:
            raise _errors.PlatformUnavailable(_describe(error)) from error
        except Exception as error:
            # After any error on an established connection, the platform
            # may have executed the request.
            raise _errors.PlatformAnswerLost(_describe(error)) from error
        if _OK <= answer.status < _MULTIPLE_CHOICES:
            return answer
        if answer.status in accepted_statuses:
            return answer
        if answer.status >= _SERVER_ERROR:
            # A gateway may send such a status after the write took effect.
            raise _errors.PlatformAnswerLost(
                f'unexpected status {answer.status}'
            )
        raise _errors.PlatformUnavailable(f'unexpected status {answer.status}')

    def _request(self, method, path, body=b'', headers=None):
        response = self._client.request(
            method, self._base_path + path, body, headers, self._timeout_s
        )
        return _HttpAnswer(response.status, _etag(response), response.body)


def _etag(response):
    """Return the ETag header; an empty string if there is none."""
    return response.headers.get('etag', '')


def _describe(error):
    return f'{type(error).__name__}: {error}'


def _quote(segment):
    return parse.quote(segment, safe='')


def _row_path(operation):
    return f'/tables/{_quote(operation.table)}/{_quote(operation.key)}'


def _precondition_headers(expected_version):
    if expected_version == 0:
        return {'If-None-Match': '*'}
    return {'If-Match': f'"{expected_version}"'}


def _decode(body, body_type):
    try:
        return decoding.decode(msgspec.json.Decoder(body_type), body)
    except decoding.DecodeError as error:
        raise _errors.PlatformUnavailable(
            f'cannot decode the answer: {error}'
        ) from error


def _to_row(body, key, version):
    if version < 1:
        raise _errors.PlatformUnavailable(f'version of the row: got {version}')
    return _operations.Row(key, body.value, version, body.write_id)


def _decode_listed_rows(table, rows):
    """Decode rows; those that another writer has spoiled are left out."""
    decoded = []
    for data in rows:
        try:
            body = _decode(data, _RowBody)
            decoded.append(_to_row(body, body.key, body.version))
        except _errors.PlatformUnavailable as error:
            LOG.warning(
                'invalid row ignored',
                extra={'table': table, 'error': str(error)},
            )
    return decoded


def _decode_row(key, answer):
    body = _decode(answer.body, _RowBody)
    match = _VERSION_TAG.fullmatch(answer.etag)
    version = int(match[1]) if match else body.version
    return _to_row(body, key, version)


def _current_row(operation, answer):
    """Return the row in the answer to a refused write; None without one."""
    if not answer.body or answer.body == b'null':
        return None
    return _decode_row(operation.key, answer)
