"""Requests to the admin address of a node."""

import json

from rosemarycrank.cli import _output
from rosemarycrank import http_client

TIMEOUT_S = 5.0
_OK = 200


def request(address, method, target):
    """Send one request to a node and return its JSON answer.

    Parameters
    ----------
    address : str
        ``host:port`` of the node's admin address.
    method : str
        HTTP method.
    target : str
        Path with query.

    Returns
    -------
    dict
        The answer.

    Raises
    ------
    RefusedError
        If the address is malformed, or the node refuses the request.
    UnreachableError
        If the node does not answer; the request had no effect.
    AnswerLostError
        If a request that changes something got no answer.
    """
    host, _, port = address.removeprefix('http://').rpartition(':')
    if not host or not port.isdecimal():
        raise _output.RefusedError(
            f'address: got {address!r}, allowed host:port'
        )
    client = http_client.Client(host, int(port), connections=1)
    try:
        response = client.request(method, target, timeout_s=TIMEOUT_S)
    except http_client.HttpError as error:
        no_effect = method == 'GET' or isinstance(
            error, http_client.ConnectFailed
        )
        kind = (
            _output.UnreachableError if no_effect else _output.AnswerLostError
        )
        raise kind(f'{address}: {error}') from error
    finally:
        client.close()
    return _read(address, response)


def _read(address, response):
    if response.status != _OK:
        raise _output.RefusedError(
            f'{address}: status {response.status}, '
            f'{response.body[:200].decode(errors="replace")}'
        )
    try:
        answer = json.loads(response.body)
    except ValueError as error:
        raise _output.RefusedError(f'{address}: {error}') from error
    if not isinstance(answer, dict):
        raise _output.RefusedError(f'{address}: answer is no JSON object')
    return answer
