"""Roll-out of a signed bundle by one conditional write."""

import time

import attrs

from rosemarycrank.bundles import _content
from rosemarycrank.bundles import _table
from rosemarycrank import table_service

#: Attempts to learn what became of a write whose answer was lost.
WRITE_ATTEMPTS = 4
WRITE_BACKOFF_S = 0.5
PUT_ATTEMPTS = 2


class RollOutError(Exception):
    """A roll-out that did not bring its bundle into force.

    Parameters
    ----------
    message : str
        What happened.
    current_head : Head or None
        Head of the bundle that stands, as far as it is known.
    """

    def __init__(self, message, current_head=None):
        super().__init__(message)
        self.current_head = current_head


class OutOfSequenceError(RollOutError):
    """The bundle does not follow the one that stands."""


class LostRaceError(RollOutError):
    """Another operator's roll-out came first; this one had no effect."""


class OutcomeUnknownError(RollOutError):
    """The write's answer was lost and could not be read back."""


@attrs.frozen
class RollOut:
    """A roll-out that took effect.

    Attributes
    ----------
    head : Head
        Head of the bundle in force.
    changed : bool
        False if it was in force already, or another operator brought the
        same bundle into force.
    """

    head: object
    changed: bool


def read_current(client):
    """Read which bundle stands.

    Parameters
    ----------
    client : object
        Has ``execute(operation)``, as `table_service.HttpPlatform`.

    Returns
    -------
    tuple of (CurrentRow or None, table_service.Row or None)
        The bundle, and the row that names it; None before the first
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
    return (None, None) if row is None else (_table.read_row(row.value), row)


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
        None if the store does not have it.

    Raises
    ------
    ContentError
        If the object is malformed or does not have the head's hash.
    rosemarycrank.table_service.PlatformError
        If the platform does not answer.
    """
    body = client.execute(table_service.ObjectGet(_table.body_name(head.hash)))
    if body is None:
        return None
    content = _content.from_bytes(body)
    if content.hash != head.hash:
        raise _content.ContentError(
            f'object: got hash {content.hash}, allowed {head.hash}'
        )
    return content


def roll_out(client, signed, trusted_keys, write_id, sleep=time.sleep):
    """Bring a signed bundle into force.

    Parameters
    ----------
    client : object
        As for `read_current`.
    signed : SignedBundle
        The bundle; its version follows the one that stands.
    trusted_keys : rosemarycrank.keys.TrustedKeys
        Whose signatures count.
    write_id : str
        Unique identifier of this roll-out.
    sleep : callable, default=time.sleep
        Waits a number of seconds before an attempt, 0 before the first.

    Returns
    -------
    RollOut
        What took effect.

    Raises
    ------
    SignatureError
        If the bundle is not signed and approved as it has to be.
    OutOfSequenceError
        If it does not follow the bundle that stands.
    LostRaceError
        If another roll-out came first; this one had no effect.
    OutcomeUnknownError
        If it may or may not have taken effect.
    rosemarycrank.table_service.PlatformError
        If the platform does not answer; the roll-out had no effect.
    """
    signed.head.verify(trusted_keys)
    current, row = read_current(client)
    if current is not None and current.head.hash == signed.head.hash:
        return RollOut(current.head, changed=False)
    _check_follows(signed.head, current)
    _store_content(client, signed, current)
    base_hash = current.head.hash if current else ''
    write = table_service.TableWrite(
        table=_table.TABLE,
        key=_table.CURRENT_KEY,
        value=_table.CurrentRow(signed.head, base_hash).to_value(),
        expected_version=row.version if row else 0,
        write_id=write_id,
    )
    changed = _write_current(client, write, sleep)
    return RollOut(signed.head, changed)


def _check_follows(head, current):
    standing = current.head if current else None
    version = standing.version if standing else 0
    if standing is not None and head.name != standing.name:
        raise OutOfSequenceError(
            f'name: got {head.name!r}, allowed {standing.name!r}', standing
        )
    if head.version != version + 1:
        raise OutOfSequenceError(
            f'version: got {head.version}, allowed {version + 1}; version '
            f'{version} stands',
            standing,
        )


def _store_content(client, signed, current):
    content = signed.content
    body = table_service.ObjectPut(
        _table.body_name(content.hash), content.to_bytes()
    )
    _put(client, body)
    base = read_content(client, current.head) if current else None
    if base is not None:
        name = _table.delta_name(base.hash, content.hash)
        delta = _table.encode_delta(content.delta_from(base))
        _put(client, table_service.ObjectPut(name, delta))


def _put(client, operation):
    # The name says what the object holds, so a second put does no harm.
    for _ in range(PUT_ATTEMPTS):
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


def _write_current(client, write, sleep):
    may_have_run = False
    for attempt in range(WRITE_ATTEMPTS):
        sleep(WRITE_BACKOFF_S * attempt)
        try:
            if may_have_run and _is_written(client, write):
                return True
            # The write is conditional, so of two copies at most one takes
            # effect. A read alone could not tell that the lost one never
            # will: it may lag, or come before the write does.
            row = _written_row(client, write)
        except table_service.PlatformAnswerLost:
            may_have_run = True
        except table_service.PlatformError:
            if not may_have_run:
                raise
        else:
            return _judge(row, write, may_have_run)
    raise OutcomeUnknownError(
        'the answer to the write was lost and could not be read back'
    )


def _is_written(client, write):
    row = client.execute(table_service.TableRead(write.table, write.key))
    return row is not None and row.write_id == write.write_id


def _written_row(client, write):
    result = client.execute(write)
    if result.row is not None:
        return result.row
    return client.execute(table_service.TableRead(write.table, write.key))


def _judge(row, write, may_have_run):
    if row is None:
        raise OutcomeUnknownError('the table says that no bundle stands')
    if row.write_id == write.write_id:
        return True
    current = _table.read_row(row.value)
    head = _table.read_row(write.value).head
    if head.hash in (current.head.hash, current.base_hash):
        # It is in force, or was until the next roll-out replaced it. The
        # lost write may have done so, or another operator's.
        return may_have_run
    message = f'version {current.head.version} stands'
    if may_have_run and current.head.version > head.version:
        raise OutcomeUnknownError(message, current.head)
    raise LostRaceError(
        f'another roll-out came first; {message}', current.head
    )
