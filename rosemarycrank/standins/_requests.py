"""Parsed requests of the upstream stand-in."""

import fnmatch
import time

import attrs
import msgspec

from rosemarycrank import load


@attrs.frozen
class Request:
    """A request to run.

    Attributes
    ----------
    service, method, path : str
        Service, HTTP method, and path with query string.
    digest : str
        Digest of service, method, path and body.
    nonce : str
        Nonce from the body, or the last segment of the path.
    request_id, token, key : str
        Request identifier, token and idempotency key of the headers; empty
        if the header is missing.
    paid : bool
        Whether the request may run at most once.
    calls : tuple of load.NestedCall
        Nested calls to make while the request runs.
    deadline_at : float or None
        Deadline in seconds of the monotonic clock; None if there is none.
    """

    service: str
    method: str
    path: str
    digest: str
    nonce: str
    request_id: str = ''
    token: str = ''
    key: str = ''
    paid: bool = False
    calls: tuple[load.NestedCall, ...] = ()
    deadline_at: float | None = None

    def remaining_s(self):
        """Return the seconds until the deadline; None without a deadline."""
        if self.deadline_at is None:
            return None
        return max(0.0, self.deadline_at - time.monotonic())


def parse(settings, request, body):
    """Parse an HTTP request.

    Parameters
    ----------
    settings : UpstreamSettings
        Settings of the upstream.
    request : falcon.Request
        The HTTP request.
    body : bytes
        Complete body of the HTTP request.

    Returns
    -------
    Request
        The parsed request.

    Raises
    ------
    ValueError
        If the deadline header is not an integer.
    """
    content = _decode_content(body)
    path = request.path
    if request.query_string:
        path = f'{path}?{request.query_string}'
    header = request.get_header
    return Request(
        service=settings.service,
        method=request.method,
        path=path,
        digest=load.request_digest(
            settings.service, request.method, path, body
        ),
        nonce=content.nonce or request.path.rpartition('/')[2],
        request_id=header('Rosemarycrank-Request-Id') or '',
        token=header('Rosemarycrank-Token') or '',
        key=header('Idempotency-Key') or '',
        paid=content.paid,
        calls=content.call or _routed_calls(settings, request),
        deadline_at=_deadline_at(header('Rosemarycrank-Deadline-Ms')),
    )


def nested_call_body(call, nonce):
    """Return the body of a nested call.

    Parameters
    ----------
    call : NestedCall
        The nested call.
    nonce : str
        Nonce of the nested call.

    Returns
    -------
    bytes
        JSON body; empty for a GET.
    """
    if call.method == 'GET':
        return b''
    content = load.Content(nonce=nonce, paid=call.paid, call=call.call)
    return msgspec.json.encode(content)


def _decode_content(body):
    try:
        return msgspec.json.decode(body, type=load.Content)
    except msgspec.DecodeError:
        return load.Content()


def _routed_calls(settings, request):
    for route in settings.routes:
        method_matches = route.method in ('*', request.method)
        if method_matches and fnmatch.fnmatchcase(request.path, route.path):
            return route.calls
    return ()


def _deadline_at(milliseconds):
    if not milliseconds:
        return None
    return time.monotonic() + int(milliseconds) / 1000
