"""Stand-in for the platform: table service and object store over HTTP."""

import enum
import pathlib
import random
import re
import typing

import attrs
import falcon
import gevent
import msgspec
import typer

from rosemarycrank import _version_option
from rosemarycrank import load
from rosemarycrank.standins import _server
from rosemarycrank.standins import _tables
from rosemarycrank import table_service

_VERSION_TAG = re.compile(r'"(\d+)"')


class Mode(enum.Enum):
    """How the platform answers."""

    UP = 'up'
    DOWN = 'down'
    SLOW = 'slow'
    LOSE_ANSWERS = 'lose-answers'


@load.with_constraints
@attrs.frozen
class Control:
    """Switches of the stand-in.

    ``delay_s`` is the delay of each request in mode slow; ``rate`` is the
    share of writes, in [0, 1], whose answers are lost in mode lose-answers.
    """

    mode: Mode = Mode.UP
    delay_s: float = 1.0
    rate: float = load.constrained_field(load.FRACTION, 1.0)


@load.with_constraints
@attrs.frozen
class Settings:
    """Settings of the stand-in."""

    address: str = '127.0.0.1:0'
    seed: int = 0


@attrs.frozen
class _WriteBody:
    value: dict
    write_id: str


class Application:
    """HTTP interface of the table service and the object store.

    Parameters
    ----------
    tables : Tables
        Tables and objects that execute the operations.
    seed : int
        Seed of the choice of answers that are lost.

    Attributes
    ----------
    answers_lost : int
        Number of writes whose answer was dropped.
    """

    def __init__(self, tables, seed=0):
        self.tables = tables
        self.control = Control()
        self.answers_lost = 0
        self._random = random.Random(seed)

    def wsgi(self):
        """Return the WSGI application.

        Returns
        -------
        falcon.App
            The application.
        """
        app = falcon.App(middleware=[self])
        app.add_route('/control', _ControlResource(self))
        app.add_route('/tables/{table}', _TableResource(self))
        app.add_route('/tables/{table}/{key:path}', _RowResource(self))
        app.add_route('/objects/{name:path}', _ObjectResource(self))
        return app

    def process_request(self, request, response):
        """Drop or delay a request, according to the current mode."""
        if request.path == '/control':
            return
        if self.control.mode is Mode.DOWN:
            _server.drop_connection(request)
            response.complete = True
        elif self.control.mode is Mode.SLOW:
            gevent.sleep(self.control.delay_s)

    def maybe_drop_answer(self, request):
        """Drop the answer to a write at random in mode lose-answers."""
        loses_answers = self.control.mode is Mode.LOSE_ANSWERS
        if loses_answers and self._random.random() < self.control.rate:
            self.answers_lost += 1
            _server.drop_connection(request)


class _ControlResource:
    def __init__(self, application):
        self._application = application

    def on_get(self, request, response):
        application = self._application
        response.media = {
            'mode': application.control.mode.value,
            'reads': application.tables.reads,
            'writes': application.tables.writes,
            'answers_lost': application.answers_lost,
        }

    def on_post(self, request, response):
        body = _server.read_body(request) or b''
        self._application.control = _server.changed_switches(body, Control())
        self.on_get(request, response)


class _TableResource:
    def __init__(self, application):
        self._application = application

    def on_get(self, request, response, table):
        operation = table_service.TableList(
            table=table,
            prefix=request.get_param('prefix') or '',
            limit=request.get_param_as_int('limit') or 1000,
        )
        rows = self._application.tables.execute(operation)
        response.media = {'rows': [attrs.asdict(row) for row in rows]}


class _RowResource:
    def __init__(self, application):
        self._application = application

    def on_get(self, request, response, table, key):
        operation = table_service.TableRead(table=table, key=key)
        row = self._application.tables.execute(operation)
        if row is None:
            raise falcon.HTTPNotFound
        _respond_with_row(response, row)

    def on_put(self, request, response, table, key):
        body = _decode(_server.read_body(request) or b'', _WriteBody)
        operation = table_service.TableWrite(
            table=table,
            key=key,
            value=body.value,
            expected_version=_expected_version(request),
            write_id=body.write_id,
        )
        result = self._application.tables.execute(operation)
        self._application.maybe_drop_answer(request)
        if not result.applied:
            response.status = falcon.HTTP_412
        if result.row is not None:
            _respond_with_row(response, result.row)


class _ObjectResource:
    def __init__(self, application):
        self._application = application

    def on_get(self, request, response, name):
        operation = table_service.ObjectGet(name)
        body = self._application.tables.execute(operation)
        if body is None:
            raise falcon.HTTPNotFound
        response.content_type = 'application/octet-stream'
        response.data = body

    def on_put(self, request, response, name):
        body = _server.read_body(request)
        if body is None:
            raise falcon.HTTPBadRequest
        operation = table_service.ObjectPut(name, body)
        self._application.tables.execute(operation)
        self._application.maybe_drop_answer(request)
        response.media = {}


def _respond_with_row(response, row):
    response.etag = str(row.version)
    response.media = attrs.asdict(row)


def _expected_version(request):
    if request.get_header('If-None-Match') == '*':
        return 0
    match = _VERSION_TAG.fullmatch(request.get_header('If-Match') or '')
    if match is None:
        raise falcon.HTTPBadRequest(
            description='If-Match: "<version>" or If-None-Match: * is required'
        )
    return int(match.group(1))


def _decode(body, body_class):
    try:
        return msgspec.json.decode(body, type=body_class)
    except msgspec.DecodeError as error:
        raise falcon.HTTPBadRequest(description=str(error)) from error


def serve(settings):
    """Serve until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : Settings
        Settings of the stand-in.
    """
    application = Application(_tables.Tables(), settings.seed)
    server = _server.Server(settings.address, application.wsgi())
    stop_requested = _server.stop_event()
    server.start()
    _server.print_ready(address=server.bound_address)
    stop_requested.wait()
    server.stop(timeout=1.0)


def _run(
    settings: typing.Annotated[
        pathlib.Path, typer.Option(help='YAML file')
    ] = None,
    address: typing.Annotated[str, typer.Option(help='host:port')] = None,
    version: typing.Annotated[
        bool,
        typer.Option(
            '--version', callback=_version_option.print_version, is_eager=True
        ),
    ] = False,
):
    """Stand in for the platform's table service and object store."""
    loaded_settings = _server.load_settings(
        settings, Settings, address=address
    )
    serve(loaded_settings)


def main():
    """Run the program."""
    _server.run_program(_run)


if __name__ == '__main__':
    main()
