"""Roll-out of a signed bundle with one conditional write."""

import time

import attrs

from rosemarycrank.bundles import _content
from rosemarycrank.bundles import _table
from rosemarycrank import table_service

#: Maximum number of attempts to complete the write and learn its outcome.
MAX_WRITE_ATTEMPTS = 4
#: The delay before each attempt is this much longer than the previous one.
WRITE_BACKOFF_STEP_S = 0.5
MAX_PUT_ATTEMPTS = 2


class RollOutError(Exception):
    """A roll-out had no effect, or it is unknown whether it had one.

    Parameters
    ----------
    message : str
        Reason for the failure.
    current_head : Head or None
        Head of the bundle in force; None if unknown.
    """

    def __init__(self, message, current_head=None):
        super().__init__(message)
        self.current_head = current_head


class OutOfSequenceError(RollOutError):
    """The bundle is not the next version of the one in force."""


class LostRaceError(RollOutError):
    """A concurrent roll-out took effect first; this one had no effect."""


class OutcomeUnknownError(RollOutError):
    """The roll-out may or may not have taken effect."""


@attrs.frozen
class RollOut:
    """Result of a roll-out after which its bundle is in force.

    Attributes
    ----------
    head : Head
        Head of the bundle.
    changed : bool
        False if the bundle was already in force, or another operator rolled
        out the same bundle concurrently.
    """

    head: object
    changed: bool


def read_current(client):
    """Read which bundle is in force.

    Parameters
    ----------
    client : object
        Has a method ``execute(operation)`` like `table_service.HttpPlatform`.

    Returns
    -------
    tuple of (CurrentRow or None, table_service.Row or None)
        Parsed and raw row of the bundle in force; both None before the first
        roll-out.

    Raises
    ------
    ContentError
        If the row is malformed.
    rosemarycrank.table_service.PlatformError
        If the platform does not answer.
    """
    read = table_service.TableRead(_table.TABLE, _table.CURRENT_KEY)
    row = client.execute(read)
    return (None, None) if row is None else (_table.parse_row(row.value), row)


def read_content(client, head):
    """Read the content of a bundle from the object store.

    Parameters
    ----------
    client : object
        As for `read_current`.
    head : Head
        Head of the bundle.

    Returns
    -------
    Content or None
        None if the object store does not contain it.

    Raises
    ------
    ContentError
        If the object is malformed or its hash differs from the head's.
    rosemarycrank.table_service.PlatformError
        If the platform does not answer.
    """
    body = client.execute(table_service.ObjectGet(_table.body_name(head.hash)))
    if body is None:
        return None
    content = _content.from_bytes(body)
    if content.hash != head.hash:
        raise _content.ContentError(
            f'bundle body: got hash {content.hash}, expected {head.hash}'
        )
    return content


def roll_out(client, signed, trusted_keys, write_id, sleep=time.sleep):
    """Bring a signed bundle into force.

    Parameters
    ----------
    client : object
        As for `read_current`.
    signed : SignedBundle
        The bundle; the next version of the one in force.
    trusted_keys : rosemarycrank.keys.TrustedKeys
        Keys whose signatures are accepted.
    write_id : str
        Unique identifier of this roll-out.
    sleep : callable, default=time.sleep
        Called before each attempt with the delay in seconds, which is 0
        before the first.

    Returns
    -------
    RollOut
        Result of the roll-out.

    Raises
    ------
    SignatureError
        If the signature or approval of the bundle is missing or invalid.
    OutOfSequenceError
        If the bundle is not the next version of the one in force.
    LostRaceError
        If another roll-out took effect first; this one had no effect.
    OutcomeUnknownError
        If this roll-out may or may not have taken effect.
    rosemarycrank.table_service.PlatformError
        If the platform does not answer; this roll-out had no effect.
    """
    signed.head.verify(trusted_keys)
    current, row = read_current(client)
    if current is not None and current.head.hash == signed.head.hash:
        return RollOut(current.head, changed=False)
    _check_is_next(signed.head, current)
    _store_content(client, signed, current)
    base_hash = current.head.hash if current else ''
    write = table_service.TableWrite(
        table=_table.TABLE,
        key=_table.CURRENT_KEY,
        value=_table.CurrentRow(signed.head, base_hash).to_value(),
        expected_version=row.version if row else 0,
        write_id=write_id,
    )
    changed = _write_current_row(client, write, sleep)
    return RollOut(signed.head, changed)


def _check_is_next(head, current):
    current_head = current.head if current else None
    version = current_head.version if current_head else 0
    if current_head is not None and head.name != current_head.name:
        raise OutOfSequenceError(
            f'bundle name: got {head.name!r}, allowed {current_head.name!r}',
            current_head,
        )
    if head.version != version + 1:
        raise OutOfSequenceError(
            f'bundle version: got {head.version}, allowed {version + 1}; '
            f'version {version} is in force',
            current_head,
        )


def _store_content(client, signed, current):
    content = signed.content
    body = table_service.ObjectPut(
        _table.body_name(content.hash), content.to_bytes()
    )
    _put_object(client, body)
    base = read_content(client, current.head) if current else None
    if base is not None:
        name = _table.delta_name(base.hash, content.hash)
        delta = _table.encode_delta(content.delta_from(base))
        _put_object(client, table_service.ObjectPut(name, delta))


def _put_object(client, operation):
    # The hashes in the object's name determine its content, so putting it
    # twice is harmless.
    for _ in range(MAX_PUT_ATTEMPTS):
        try:
            client.execute(operation)
            return
        except table_service.PlatformAnswerLost:
            stored = client.execute(table_service.ObjectGet(operation.name))
            if stored == operation.body:
                return
    raise table_service.PlatformUnavailable(
        f'object {operation.name}: not stored; no row was written'
    )


def _write_current_row(client, write, sleep):
    may_have_run = False
    for attempt in range(MAX_WRITE_ATTEMPTS):
        sleep(WRITE_BACKOFF_STEP_S * attempt)
        try:
            if may_have_run and _is_written(client, write):
                return True
            # The write is repeated after a lost answer. It is conditional,
            # so at most one copy takes effect. A read alone cannot show that
            # the lost copy will never take effect: the read may return stale
            # data, or reach the table before that copy does.
            row = _write_and_get_row(client, write)
        except table_service.PlatformAnswerLost:
            may_have_run = True
        except table_service.PlatformError:
            if not may_have_run:
                raise
        else:
            return _resolve_outcome(row, write, may_have_run)
    raise OutcomeUnknownError(
        'the answer to the write was lost and could not be read back'
    )


def _is_written(client, write):
    row = client.execute(table_service.TableRead(write.table, write.key))
    return row is not None and row.write_id == write.write_id


def _write_and_get_row(client, write):
    result = client.execute(write)
    if result.row is not None:
        return result.row
    return client.execute(table_service.TableRead(write.table, write.key))


def _resolve_outcome(row, write, may_have_run):
    """Return `RollOut.changed`, judging by the row found after the write."""
    if row is None:
        raise OutcomeUnknownError('no bundle in the table after the write')
    if row.write_id == write.write_id:
        return True
    current = _table.parse_row(row.value)
    head = _table.parse_row(write.value).head
    if head.hash in (current.head.hash, current.base_hash):
        # The bundle is in force, or was until the next roll-out replaced it.
        # Either this roll-out's unanswered write or that of another operator
        # took effect.
        return may_have_run
    message = f'version {current.head.version} is in force'
    if may_have_run and current.head.version > head.version:
        raise OutcomeUnknownError(message, current.head)
    raise LostRaceError(
        f'another roll-out took effect first; {message}', current.head
    )
