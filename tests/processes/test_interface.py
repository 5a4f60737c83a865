"""The curl lines of docs/INTERFACE.md."""

import pathlib
import re
import subprocess

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'INTERFACE.md'
LINE = re.compile(r'^    (curl .*?)\s*# -> (\d+)(?: (\d+) ([a-z-]+))?$', re.M)


def _lines():
    return LINE.findall(PAGE.read_text())


def _run(command, node, admin):
    """Run a command line and return status and headers by lower name."""
    printed = subprocess.run(
        ['bash', '-c', command.replace('curl -s ', 'curl -si ')],
        env={'NODE': node, 'ADMIN': admin, 'PATH': '/usr/bin:/bin'},
        capture_output=True,
        check=True,
        text=True,
    ).stdout
    head, *fields = printed.partition('\n\n')[0].splitlines()
    pairs = (field.partition(':') for field in fields)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    return head.split()[1], headers


def test_curl_lines(oficina):
    target = oficina.targets[0]
    lines = _lines()
    assert len(lines) == PAGE.read_text().count('    curl ')
    for command, status, result, outcome in lines:
        answered, headers = _run(
            command, target.http_address, target.admin_address
        )
        told = headers.get('rosemarycrank-result', '')
        assert (answered, told) == (status, result), command
        assert headers.get('rosemarycrank-outcome', '') == outcome, command
