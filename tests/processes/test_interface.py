"""Test of the curl examples in docs/INTERFACE.md."""

import pathlib
import re
import subprocess

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'INTERFACE.md'
LINE = re.compile(r'^    (curl .*?)\s*# -> (\d+)(?: (\d+) ([a-z-]+))?$', re.M)


def _curl_lines():
    return LINE.findall(PAGE.read_text())


def _run_command(command, node, admin):
    """Run a command; return status and headers, by lower-case name."""
    output = subprocess.run(
        ['bash', '-c', command.replace('curl -s ', 'curl -si ')],
        env={'NODE': node, 'ADMIN': admin, 'PATH': '/usr/bin:/bin'},
        capture_output=True,
        check=True,
        text=True,
    ).stdout
    head, *fields = output.partition('\n\n')[0].splitlines()
    pairs = (field.partition(':') for field in fields)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    return head.split()[1], headers


def test_curl_lines(oficina):
    """Each documented command returns the documented codes.

    These are status, result code and outcome.
    """
    target = oficina.targets[0]
    lines = _curl_lines()
    assert len(lines) == PAGE.read_text().count('    curl ')
    for command, status, result, outcome in lines:
        actual_status, headers = _run_command(
            command, target.http_address, target.admin_address
        )
        result_header = headers.get('rosemarycrank-result', '')
        assert (actual_status, result_header) == (status, result), command
        assert headers.get('rosemarycrank-outcome', '') == outcome, command
