"""Commands for running nodes: dump, status, drain."""

import json
import typing

import typer

from rosemarycrank.cli import _admin
from rosemarycrank.cli import _output

application = typer.Typer(help='Running nodes.', no_args_is_help=True)

_Address = typing.Annotated[
    str, typer.Argument(help='Admin address of the node: host:port.')
]

#: Fields shown by `status`: section of the dump, key, and title.
_STATUS_FIELDS = (
    ('node', 'address', 'address'),
    ('node', 'incarnation', 'incarnation'),
    ('bundle', 'name', 'bundle'),
    ('bundle', 'version', 'bundle version'),
    ('bundle', 'hash', 'bundle hash'),
)


@application.command()
def dump(
    address: _Address,
    token_file: _admin.TokenFile = None,
    ca_file: _admin.CaFile = None,
    as_json: _output.AsJson = False,
):
    """Print the state of every part of a node."""
    with _output.exit_on_error(as_json):
        credentials = _admin.read_credentials(token_file, ca_file)
        state = _admin.request(credentials, address, 'GET', '/dump')
        _output.print_result(
            as_json,
            {'dump': state},
            [json.dumps(state, indent=2, sort_keys=True)],
        )


@application.command()
def status(
    address: _Address,
    token_file: _admin.TokenFile = None,
    ca_file: _admin.CaFile = None,
    as_json: _output.AsJson = False,
):
    """Print a node's address, incarnation and bundle."""
    with _output.exit_on_error(as_json):
        credentials = _admin.read_credentials(token_file, ca_file)
        state = _admin.request(credentials, address, 'GET', '/dump')
        values_by_title = {
            title: state.get(section, {}).get(key)
            for section, key, title in _STATUS_FIELDS
        }
        _output.print_result(
            as_json,
            {
                title.replace(' ', '_'): v
                for title, v in values_by_title.items()
            },
            [f'{title}: {value}' for title, value in values_by_title.items()],
        )


@application.command()
def drain(
    address: _Address,
    stop: typing.Annotated[
        bool, typer.Option('--stop', help='Exit once nothing is in flight.')
    ] = False,
    token_file: _admin.TokenFile = None,
    ca_file: _admin.CaFile = None,
    as_json: _output.AsJson = False,
):
    """Have a node take no new work and finish what is in flight."""
    with _output.exit_on_error(as_json):
        credentials = _admin.read_credentials(token_file, ca_file)
        query = '?stop=true' if stop else ''
        _admin.request(credentials, address, 'POST', f'/drain{query}')
        _output.print_result(
            as_json,
            {'address': address, 'draining': True, 'stop': stop},
            [f'{address}: draining'],
        )
