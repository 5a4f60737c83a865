"""Command that checks the settings of a node."""

import importlib
import pathlib
import typing

import typer

from rosemarycrank.cli import _output
from rosemarycrank import kernel
from rosemarycrank import settings

application = typer.Typer(help='Settings of nodes.', no_args_is_help=True)

#: Kinds of plug-ins; each is a package that registers its plug-ins.
PLUGIN_KINDS = ('admission', 'balancing', 'ledger', 'retry')


@application.callback()
def _group():
    """Keep ``check`` a subcommand."""


@application.command()
def check(
    file: typing.Annotated[pathlib.Path, typer.Argument(help='YAML file.')],
    as_json: _output.AsJson = False,
):
    """Check the settings of a node; print all problems at once."""
    with _output.reporting(as_json):
        node = settings.load(file, settings.NodeSettings, _cross_check)
        _output.show(
            as_json,
            {'file': str(file), 'address': node.address},
            [f'{file}: valid settings of {node.address}'],
        )


def _cross_check(document, context):
    settings.NodeSettings.cross_check(document, context)
    _check_plugins(document, context)


def _check_plugins(document, context):
    for kind in PLUGIN_KINDS:
        importlib.import_module(f'rosemarycrank.{kind}')
        found = document.get(kind)
        names = kernel.names(kind)
        if found.data is not None and found.data not in names:
            context.child(kind).add_problem(
                found.line, found.describe(), f'one of {names}'
            )
