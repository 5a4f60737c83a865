"""Fixtures that run the command in process, against loopback servers."""

import json
import pathlib
import shutil

import attrs
import pytest
from typer import testing

from rosemarycrank import cli
from rosemarycrank.node import _admin
from rosemarycrank import standins
from rosemarycrank.standins import _server
from rosemarycrank.standins import platform

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'


@attrs.frozen
class Command:
    """Runs commands in the test's process.

    Keyword arguments are paths below ``folder``, inserted into the command
    line. `ok` and `fails` assert the exit code and return the JSON output.
    """

    folder: pathlib.Path

    def run(self, line, **paths):
        full_paths = {k: self.folder / v for k, v in paths.items()}
        arguments = line.format(**full_paths).split()
        return testing.CliRunner().invoke(cli.application, arguments)

    def ok(self, line, **paths):
        result = self.run(f'{line} --json', **paths)
        assert result.exit_code == 0, result.output
        return json.loads(result.stdout)

    def fails(self, code, line, **paths):
        result = self.run(f'{line} --json', **paths)
        assert result.exit_code == code, result.output
        answer = json.loads(result.stdout)
        assert not answer['ok']
        return answer


@pytest.fixture
def command(tmp_path):
    return Command(tmp_path)


@pytest.fixture
def operators(command):
    """Two trusted operators with keys, and a copy of the example bundle."""
    for name in ('ana', 'berta'):
        command.ok(
            f'key create {name} --key {{key}} --trusted-keys {{trusted}}',
            key=f'{name}.key',
            trusted='trusted.yaml',
        )
    shutil.copy(EXAMPLES / 'oficina.bundle.yaml', command.folder / 'b.yaml')


@pytest.fixture
def tables():
    return standins.Tables()


@pytest.fixture
def platform_url(tables):
    server = _server.Server('127.0.0.1:0', platform.Application(tables).wsgi())
    server.start()
    yield f'http://{server.bound_address}'
    server.stop()


class FakeNode:
    """Records the events that the admin server posts to it."""

    def __init__(self):
        self.events = []

    def post(self, event):
        self.events.append(event)

    def dump(self):
        return {
            'node': {'address': '127.0.0.1:1', 'incarnation': 'a'},
            'bundle': {'name': 'oficina', 'version': 3, 'hash': 'ff'},
        }


@pytest.fixture
def node():
    return FakeNode()


@pytest.fixture
def admin_address(node):
    application = _admin.AdminApplication(node)
    server = _server.Server('127.0.0.1:0', application.wsgi)
    server.start()
    yield server.bound_address
    server.stop()
