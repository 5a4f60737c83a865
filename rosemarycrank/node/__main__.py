"""The ``rosemarycrank-node`` command."""

import json
import pathlib
import signal
import sys
import typing

import gevent
import pynng
import typer

from rosemarycrank import _version_option
from rosemarycrank import keys
from rosemarycrank import node
from rosemarycrank.node import _logging
from rosemarycrank import settings as settings_module

EXIT_REFUSED = 1
MIN_KEY_BYTES = 16

application = typer.Typer(add_completion=False)


@application.command()
def run(
    settings_file: typing.Annotated[
        pathlib.Path,
        typer.Option('--settings', help='YAML file with the settings.'),
    ],
    version: typing.Annotated[
        bool,
        typer.Option(
            '--version', callback=_version_option.print_version, is_eager=True
        ),
    ] = False,
):
    """Run the node of one upstream VM until SIGTERM or SIGINT."""
    try:
        settings = settings_module.load(
            settings_file,
            settings_module.NodeSettings,
            settings_module.NodeSettings.cross_check,
        )
        cluster_key = _read_cluster_key(settings.cluster_key_file)
        trusted_keys = _read_trusted_keys(settings.trusted_keys_file)
        _logging.configure(settings.log_level)
        node_process = node.Node(settings, cluster_key, trusted_keys)
        node_process.start()
    except (
        OSError,
        ValueError,
        pynng.NNGException,
        settings_module.SettingsError,
    ) as error:
        _print_errors(error)
        raise typer.Exit(EXIT_REFUSED) from error
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, node_process.request_stop)
    typer.echo(
        json.dumps(
            {
                'ready': True,
                'address': settings.address,
                'http_address': node_process.http_address,
                'admin_address': node_process.admin_address,
            }
        )
    )
    sys.stdout.flush()
    node_process.stopped.wait()
    node_process.close()


def _read_cluster_key(path):
    text = pathlib.Path(path).read_text().strip()
    try:
        key = bytes.fromhex(text)
    except ValueError as error:
        raise ValueError(
            f'{path}: got a cluster key that is not hexadecimal'
        ) from error
    if len(key) < MIN_KEY_BYTES:
        raise ValueError(
            f'{path}: got a cluster key of {len(key)} bytes, '
            f'allowed {MIN_KEY_BYTES} or more'
        )
    return key


def _read_trusted_keys(path):
    return keys.load(path) if path else keys.TrustedKeys()


def _print_errors(error):
    errors = error.exceptions if isinstance(error, ExceptionGroup) else [error]
    for single_error in errors:
        typer.echo(str(single_error), err=True)


def main():
    """Run the command."""
    application()


if __name__ == '__main__':
    main()
