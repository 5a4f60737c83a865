"""The ``rosemarycrank`` command."""

import typing

import typer

from rosemarycrank import _version_option
from rosemarycrank.cli import _bundle
from rosemarycrank.cli import _key
from rosemarycrank.cli import _node
from rosemarycrank.cli import _output
from rosemarycrank.cli import _partner
from rosemarycrank.cli import _settings
from rosemarycrank import results

application = typer.Typer(
    help="Operators' command of rosemarycrank.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
application.add_typer(_settings.application, name='settings')
application.add_typer(_bundle.application, name='bundle')
application.add_typer(_key.application, name='key')
application.add_typer(_node.application, name='node')
application.add_typer(_partner.application, name='partner')


@application.callback()
def _options(
    version: typing.Annotated[
        bool,
        typer.Option(
            '--version',
            callback=_version_option.print_version,
            is_eager=True,
            help='Print the version and exit.',
        ),
    ] = False,
):
    """Options of the command as a whole."""


@application.command('result-codes')
def result_codes(
    markdown: typing.Annotated[
        bool, typer.Option('--markdown', help='Print a Markdown table.')
    ] = False,
    as_json: _output.AsJson = False,
):
    """List the result codes that callers see."""
    codes = sorted(results.Result, key=lambda result: result.number)
    if markdown:
        typer.echo(results.markdown_table(), nl=False)
        return
    _output.print_result(
        as_json,
        {
            'codes': [
                {
                    'number': code.number,
                    'name': code.name,
                    'outcome': code.outcome.value,
                    'http_status': code.http_status,
                    'meaning': code.meaning,
                }
                for code in codes
            ]
        },
        [
            f'{code.number} {code.name} ({code.outcome.value}): {code.meaning}'
            for code in codes
        ],
    )


def main():
    """Run the command."""
    application()
