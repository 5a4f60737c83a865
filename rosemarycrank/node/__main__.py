"""The ``rosemarycrank-node`` command."""

import json
import pathlib
import signal
import sys
import typing

import gevent
import pynng
import typer

import rosemarycrank
from rosemarycrank import keys
from rosemarycrank import node
from rosemarycrank.node import _logging
from rosemarycrank import settings as settings_module

EXIT_REFUSED = 1
MIN_KEY_BYTES = 16

application = typer.Typer(add_completion=False)


def _print_version(wanted):
    if wanted:
        typer.echo(rosemarycrank.__version__)
        raise typer.Exit


@application.command()
def run(
    settings_file: typing.Annotated[
        pathlib.Path,
        typer.Option('--settings', help='YAML file with the settings.'),
    ],
    version: typing.Annotated[
        bool,
        typer.Option('--version', callback=_print_version, is_eager=True),
    ] = False,
):
    """Run the node of one upstream VM until it is told to stop."""
    try:
        settings = settings_module.load(
            settings_file,
            settings_module.NodeSettings,
            settings_module.NodeSettings.cross_check,
        )
        cluster_key = _read_cluster_key(settings.cluster_key_file)
        trusted_keys = _read_trusted_keys(settings.trusted_keys_file)
        _logging.configure(settings.log_level)
        process = node.Node(settings, cluster_key, trusted_keys)
        process.start()
    except (
        OSError,
        ValueError,
        pynng.NNGException,
        settings_module.SettingsError,
    ) as error:
        _print_errors(error)
        raise typer.Exit(EXIT_REFUSED) from error
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, process.request_stop)
    typer.echo(
        json.dumps(
            {
                'ready': True,
                'address': settings.address,
                'http_address': process.http_address,
                'admin_address': process.admin_address,
            }
        )
    )
    sys.stdout.flush()
    process.stopped.wait()
    process.close()


def _read_cluster_key(path):
    text = pathlib.Path(path).read_text().strip()
    try:
        key = bytes.fromhex(text)
    except ValueError as error:
        raise ValueError(
            f'{path}: got text that is not hexadecimal'
        ) from error
    if len(key) < MIN_KEY_BYTES:
        raise ValueError(
            f'{path}: got {len(key)} bytes, allowed {MIN_KEY_BYTES} or more'
        )
    return key


def _read_trusted_keys(path):
    return keys.load(path) if path else keys.TrustedKeys()


def _print_errors(error):
    leaves = error.exceptions if isinstance(error, ExceptionGroup) else [error]
    for leaf in leaves:
        typer.echo(str(leaf), err=True)


def main():
    """Run the command."""
    application()


if __name__ == '__main__':
    main()
