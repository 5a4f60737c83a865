"""The node's command refuses unusable settings with one-line errors."""

import socket

import pytest
from typer import testing

from rosemarycrank.node import __main__ as command

KEY = '00112233445566778899aabbccddeeff'


@pytest.fixture
def start(tmp_path):
    """A function that runs the command with some settings changed."""

    def start(key=KEY, **changed_settings):
        (tmp_path / 'key').write_text(key)
        settings = {
            'address': '127.0.0.1:12001',
            'http_address': '127.0.0.1:0',
            'admin_address': '127.0.0.1:0',
            'failure_domain': 'escazu',
            'cluster_key_file': tmp_path / 'key',
            **changed_settings,
        }
        path = tmp_path / 'node.yaml'
        lines = [f'{name}: {value}\n' for name, value in settings.items()]
        path.write_text(''.join(lines))
        return testing.CliRunner().invoke(
            command.application, ['--settings', str(path)]
        )

    return start


@pytest.mark.parametrize(
    'changed_settings, expected_text',
    [
        ({'key': 'xyz'}, 'not hexadecimal'),
        ({'key': '0011'}, 'allowed 16 or more'),
        ({'admission': 'guess'}, "got 'guess', allowed"),
        ({'failure_domain': '""'}, 'failure_domain'),
        ({'nonsense': '1'}, 'nonsense'),
    ],
)
def test_bad_settings_are_refused(start, changed_settings, expected_text):
    result = start(**changed_settings)
    assert result.exit_code == command.EXIT_REFUSED
    assert expected_text in result.stderr
    assert 'Traceback' not in result.stderr


def test_an_address_in_use_is_refused(start):
    with socket.socket() as listening:
        listening.bind(('127.0.0.1', 0))
        listening.listen()
        address = f'127.0.0.1:{listening.getsockname()[1]}'
        result = start(http_address=address)
    assert result.exit_code == command.EXIT_REFUSED
    assert 'in use' in result.stderr
