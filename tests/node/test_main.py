"""The node's command refuses what it cannot run with, in one line."""

import socket

import pytest
from typer import testing

from rosemarycrank.node import __main__ as command

KEY = '00112233445566778899aabbccddeeff'


@pytest.fixture
def start(tmp_path):
    """A function that runs the command with changed settings."""

    def start(key=KEY, **changed):
        (tmp_path / 'key').write_text(key)
        settings = {
            'address': '127.0.0.1:12001',
            'http_address': '127.0.0.1:0',
            'admin_address': '127.0.0.1:0',
            'failure_domain': 'escazu',
            'cluster_key_file': tmp_path / 'key',
            **changed,
        }
        path = tmp_path / 'node.yaml'
        lines = [f'{name}: {value}\n' for name, value in settings.items()]
        path.write_text(''.join(lines))
        return testing.CliRunner().invoke(
            command.application, ['--settings', str(path)]
        )

    return start


@pytest.mark.parametrize(
    'changed, said',
    [
        ({'key': 'xyz'}, 'not hexadecimal'),
        ({'key': '0011'}, 'allowed 16 or more'),
        ({'admission': 'guess'}, "got 'guess', allowed"),
        ({'failure_domain': '""'}, 'failure_domain'),
        ({'nonsense': '1'}, 'nonsense'),
    ],
)
def test_bad_settings_are_refused(start, changed, said):
    ended = start(**changed)
    assert ended.exit_code == command.EXIT_REFUSED
    assert said in ended.stderr
    assert 'Traceback' not in ended.stderr


def test_an_address_in_use_is_refused(start):
    with socket.socket() as taken:
        taken.bind(('127.0.0.1', 0))
        taken.listen()
        address = f'127.0.0.1:{taken.getsockname()[1]}'
        ended = start(http_address=address)
    assert ended.exit_code == command.EXIT_REFUSED
    assert 'in use' in ended.stderr
