"""Command that checks the settings of a node."""

import importlib
import pathlib
import typing

import typer

from rosemarycrank.cli import _output
from rosemarycrank import kernel
from rosemarycrank import settings

application = typer.Typer(help='Settings of nodes.', no_args_is_help=True)

#: Kinds of plug-in. Importing the package of a kind registers its plug-ins.
PLUGIN_KINDS = ('admission', 'balancing', 'ledger', 'retry')


@application.callback()
def _group():
    """Make typer keep ``check`` as a subcommand."""


@application.command()
def check(
    file: typing.Annotated[pathlib.Path, typer.Argument(help='YAML file.')],
    as_json: _output.AsJson = False,
):
    """Check the settings of a node; print all problems at once."""
    with _output.exit_on_error(as_json):
        node = settings.load(file, settings.NodeSettings, _cross_check)
        _output.print_result(
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
        plugin = document.get(kind)
        names = kernel.plugin_names(kind)
        if plugin.data is not None and plugin.data not in names:
            context.child(kind).add_problem(
                plugin.line, plugin.describe(), f'one of {names}'
            )
