"""What the head of an HTTP response has to be, for all that read responses.

The parsers check the names and values of fields and the length of the body.
They take some heads that are none (RFC 9110, 9112), which are found here.
"""

import re

#: Smallest and largest status (RFC 9110, 15).
MIN_STATUS = 100
MAX_STATUS = 599

_VERSIONS = ('1.0', '1.1')
_CONTROL_BYTE = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')
_STATUS_LINE = re.compile(rb'HTTP/[0-9]\.[0-9] [0-9]{3}')
_TRANSFER_ENCODING = b'transfer-encoding'


def find_fault(status, version, reason, fields):
    """Return what is wrong with the head of a response.

    Parameters
    ----------
    status : int
        Status.
    version : str
        Version of the protocol, as ``1.1``.
    reason : bytes
        Reason phrase.
    fields : list of (bytes, bytes)
        Header fields, with names in lower case.

    Returns
    -------
    str or None
        Description of the fault; None if there is none.
    """
    if not is_status(status):
        return f'status outside {MIN_STATUS} to {MAX_STATUS}'
    if version not in _VERSIONS:
        return 'another version of the protocol'
    if _CONTROL_BYTE.search(reason):
        return 'control byte in the reason phrase'
    values = [value for _, value in fields]
    if _contains_status_line(b'\n'.join((reason, *values))):
        return 'status line within a head'
    codings = [value for name, value in fields if name == _TRANSFER_ENCODING]
    # The body of any other one would not be that of the response.
    if codings and (len(codings) > 1 or codings[0].lower() != b'chunked'):
        return 'transfer coding other than chunked'
    return None


def is_status(number):
    """Return whether a number is a status of HTTP."""
    return MIN_STATUS <= number <= MAX_STATUS


def _contains_status_line(text):
    """Return whether a reason phrase or field values have a status line.

    The beginning of a head, cut off within its status line or a field, and the
    head behind it are parsed as one. What follows the cut stands in the reason
    phrase or in the value of that field.
    """
    return b'HTTP/' in text and _STATUS_LINE.search(text) is not None
