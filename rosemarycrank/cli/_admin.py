"""Requests to the admin address of a node."""

import json
import pathlib
import typing

import attrs
import typer

from rosemarycrank import addresses
from rosemarycrank.cli import _output
from rosemarycrank import http_client

TIMEOUT_S = 5.0
_OK = 200
_UNAUTHORIZED = 401

#: Type of the option for the authorities that sign certificates of nodes.
CaFile = typing.Annotated[
    pathlib.Path | None,
    typer.Option(
        '--ca-file', help='Trusted authorities in PEM; turns on TLS.'
    ),
]

#: Type of the option for the operator's token.
TokenFile = typing.Annotated[
    pathlib.Path | None,
    typer.Option('--token-file', help="File with the operator's token."),
]


@attrs.frozen
class Credentials:
    """Operator's token, and TLS context that verifies nodes.

    Attributes
    ----------
    token : str
        Operator's token; empty to send none.
    tls_context : gevent.ssl.SSLContext or None
        Context that verifies nodes; None for plain connections.
    """

    token: str = attrs.field(default='', repr=False)
    tls_context: object = None

    def headers(self):
        """Return the headers that authenticate a request."""
        if not self.token:
            return {}
        return {
            http_client.AUTHORIZATION_HEADER: http_client.bearer_credentials(
                self.token
            )
        }


def read_credentials(token_file, ca_file):
    """Read the files given by the options for credentials.

    Parameters
    ----------
    token_file : pathlib.Path or None
        File with tokens, of which the first is sent.
    ca_file : pathlib.Path or None
        Authorities that sign the nodes' certificates; None for plain
        connections.

    Returns
    -------
    Credentials
        Credentials for requests to nodes.

    Raises
    ------
    OSError, RefusedError
        If a file cannot be read or is malformed.
    """
    token, tls_context = '', None
    try:
        if token_file is not None:
            token = http_client.read_tokens(token_file)[0]
        if ca_file is not None:
            tls_context = http_client.client_tls_context(ca_file)
    except ValueError as error:
        raise _output.RefusedError(str(error)) from error
    return Credentials(token, tls_context)


def request(credentials, address, method, path):
    """Send one request to a node and return its JSON answer.

    Parameters
    ----------
    credentials : Credentials
        Credentials to send to the node.
    address : str
        ``host:port`` of the node's admin address.
    method : str
        HTTP method.
    path : str
        Path and query of the URL.

    Returns
    -------
    dict
        The decoded answer.

    Raises
    ------
    RefusedError
        If the address is malformed, or the node refuses the request.
    UnreachableError
        If the node does not answer and the request had no effect.
    AnswerLostError
        If a request that may have changed state got no answer.
    """
    try:
        host, port = addresses.parse(address.removeprefix('http://'))
    except ValueError as error:
        raise _output.RefusedError(str(error)) from error
    client = http_client.Client(
        host, port, max_connections=1, tls_context=credentials.tls_context
    )
    try:
        response = client.request(
            method,
            path,
            headers=credentials.headers(),
            timeout_s=TIMEOUT_S,
        )
    except http_client.HttpError as error:
        no_effect = method == 'GET' or isinstance(
            error, http_client.ConnectFailed
        )
        error_type = (
            _output.UnreachableError if no_effect else _output.AnswerLostError
        )
        raise error_type(f'{address}: {error}') from error
    finally:
        client.close()
    return _decode_answer(address, response)


def _decode_answer(address, response):
    if response.status == _UNAUTHORIZED:
        raise _output.RefusedError(
            f'{address}: operator token: missing or not valid; nothing was '
            'done; give --token-file with a token of this node'
        )
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
        raise _output.RefusedError(f'{address}: answer is not a JSON object')
    return answer
