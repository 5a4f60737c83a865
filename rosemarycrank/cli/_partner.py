"""Command that tells nodes directly that a partner has left."""

import typing
from urllib import parse

import typer

from rosemarycrank.cli import _admin
from rosemarycrank.cli import _exit_codes
from rosemarycrank.cli import _output

application = typer.Typer(
    help='Partners that run upstreams.', no_args_is_help=True
)


@application.callback()
def _group():
    """Make typer keep ``leave`` as a subcommand."""


@application.command()
def leave(
    partner: typing.Annotated[str, typer.Argument(help='Name.')],
    node: typing.Annotated[
        list[str],
        typer.Option(help='Admin address of a node; give several.'),
    ],
    token_file: _admin.TokenFile = None,
    ca_file: _admin.CaFile = None,
    as_json: _output.AsJson = False,
):
    """Have nodes refuse new work for a partner that has left.

    Every node is tried. Also roll out a bundle with the partner ended:
    nodes that start later read it from the bundle.
    """
    with _output.exit_on_error(as_json):
        credentials = _admin.read_credentials(token_file, ca_file)
    errors_by_node = {}
    path = f'/partners/{parse.quote(partner, safe="")}/leave'
    for address in node:
        try:
            _admin.request(credentials, address, 'POST', path)
        except _output.NODE_ERRORS as error:
            errors_by_node[address] = error
    notified = [address for address in node if address not in errors_by_node]
    codes = [_output.exit_code_of(e) for e in errors_by_node.values()]
    _output.print_result(
        as_json,
        {
            'ok': not errors_by_node,
            'partner': partner,
            'told': notified,
            'errors': {a: str(e) for a, e in errors_by_node.items()},
        },
        [
            *(f'{address}: {partner} has left' for address in notified),
            *(f'{address}: {e}' for address, e in errors_by_node.items()),
        ],
    )
    raise typer.Exit(max(codes, default=_exit_codes.ExitCode.OK).value)
