"""Stand-in for an upstream that a partner runs."""

import pathlib
import time
import typing

import gevent
import typer

from rosemarycrank import _version_option
from rosemarycrank import load
from rosemarycrank.standins import _announcer
from rosemarycrank.standins import _runner
from rosemarycrank.standins import _runs
from rosemarycrank.standins import _server
from rosemarycrank.standins import _settings
from rosemarycrank.standins import _upstream_app

# Idle time that ends the drain on shutdown: requests that the node sent just
# before the withdrawal still arrive.
_REQUIRED_IDLE_S = 0.3
_POLL_INTERVAL_S = 0.02


class Upstream:
    """One upstream and its HTTP server.

    Parameters
    ----------
    settings : UpstreamSettings
        Settings of the upstream.

    Attributes
    ----------
    server : Server
        HTTP server of the upstream.
    announcer : Announcer or None
        Announces the upstream; None before the start and without a node.
    run_log : RunLog or None
        Log of the requests that arrived; None before the start.
    runner : Runner or None
        Runs the requests; None before the start.
    """

    def __init__(self, settings):
        self.settings = settings
        self.server = _server.Server(
            settings.address, None, settings.max_connections
        )
        self.announcer = None
        self.run_log = None
        self.runner = None

    def start(self):
        """Start the server, then announce the upstream to its node."""
        self.server.init_socket()
        settings = self.settings
        address = self.server.bound_address
        self.run_log = _runs.RunLog(address, settings.runs_file)
        nested_calls = _create_nested_calls(settings, self.run_log)
        self.runner = _runner.Runner(settings, self.run_log, nested_calls)
        self.server.application = _upstream_app.application(
            self.runner, self.run_log, self._on_drain_change
        )
        self.server.start()
        if settings.node_admin:
            self.announcer = _announcer.Announcer(settings, address)
            self.announcer.start()

    def stop(self):
        """Withdraw, wait for requests in flight, then stop the server."""
        if self.announcer is not None:
            self.announcer.withdraw()
        self._wait_until_idle()
        self.server.stop(timeout=1.0)

    def _on_drain_change(self, is_draining):
        if self.announcer is None:
            return
        if is_draining:
            self.announcer.withdraw()
        else:
            self.announcer.start()

    def _wait_until_idle(self):
        now = time.monotonic()
        deadline = now + self.settings.drain_s
        idle_since = now
        while now < deadline and now - idle_since < _REQUIRED_IDLE_S:
            gevent.sleep(_POLL_INTERVAL_S)
            now = time.monotonic()
            if self.runner.in_flight:
                idle_since = now


def _create_nested_calls(settings, run_log):
    node = settings.node_http
    if not node:
        return _runner.NestedCalls(None, run_log)
    client = _server.client(node)
    issued_keys = None
    if settings.nested_keys is load.Keys.NODE:
        issued_keys = load.NodeKeys({node: client})
    return _runner.NestedCalls(client, run_log, issued_keys, node)


def serve(settings):
    """Serve until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : UpstreamSettings
        Settings of the upstream.
    """
    stop_requested = _server.stop_event()
    upstream = Upstream(settings)
    upstream.start()
    _server.print_ready(address=upstream.server.bound_address)
    stop_requested.wait()
    upstream.stop()


def _run(
    settings: typing.Annotated[
        pathlib.Path, typer.Option(help='YAML file')
    ] = None,
    address: typing.Annotated[str, typer.Option(help='host:port')] = None,
    service: typing.Annotated[str, typer.Option()] = None,
    partner: typing.Annotated[str, typer.Option()] = None,
    node_admin: typing.Annotated[str, typer.Option(help='host:port')] = None,
    node_http: typing.Annotated[str, typer.Option(help='host:port')] = None,
    slots: typing.Annotated[int, typer.Option(help='requests at once')] = None,
    max_connections: typing.Annotated[int, typer.Option()] = None,
    runs_file: typing.Annotated[str, typer.Option(help='appended to')] = None,
    seed: typing.Annotated[int, typer.Option()] = None,
    version: typing.Annotated[
        bool,
        typer.Option(
            '--version', callback=_version_option.print_version, is_eager=True
        ),
    ] = False,
):
    """Stand in for an upstream."""
    loaded_settings = _server.load_settings(
        settings,
        _settings.UpstreamSettings,
        address=address,
        service=service,
        partner=partner,
        node_admin=node_admin,
        node_http=node_http,
        slots=slots,
        max_connections=max_connections,
        runs_file=runs_file,
        seed=seed,
    )
    _server.configure_logging()
    serve(loaded_settings)


def main():
    """Run the program."""
    _server.run_program(_run)


if __name__ == '__main__':
    main()
