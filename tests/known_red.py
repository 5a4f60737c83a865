"""Pytest plug-in that passes over the tests listed in KNOWN-RED.txt.

``make test`` loads it with ``-p tests.known_red``; without it, and with
``make test STRICT=1``, listed tests count like all others. A listed test runs
in its place. Its failure does not change the exit status, and its outcome is
printed at the end. Any other failure counts, and so does a listed name that
matches no collected test.
"""

import re

import pytest

FILE_NAME = 'KNOWN-RED.txt'

#: A line with the full name of a test; other lines are text.
TEST_LINE = re.compile(r'\S+\.py::\S.*')

#: Printed outcome by category of pytest's reports. A listed test that ends in
#: no category, for example as the run was interrupted, has not run.
OUTCOMES_BY_CATEGORY = {
    'xfailed': 'failed',
    'xpassed': 'passed',
    'skipped': 'skipped',
    'failed': 'failed, not passed over',
    'error': 'failed, not passed over',
}
NOT_RUN = 'not run'


def read_names(path):
    """Return the names of the listed tests, in order.

    Parameters
    ----------
    path : pathlib.Path
        The list. Without such a file no test is listed.

    Returns
    -------
    list of str
        Node IDs of tests.
    """
    if not path.exists():
        return []
    lines = (line.rstrip() for line in path.read_text().splitlines())
    return [line for line in lines if TEST_LINE.fullmatch(line)]


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(session, config, items):
    """Mark the listed tests, before any test is deselected."""
    names = read_names(config.rootpath / FILE_NAME)
    mark = pytest.mark.xfail(strict=False, reason=f'listed in {FILE_NAME}')
    for item in items:
        if item.nodeid in names:
            item.add_marker(mark, append=False)
    missing = set(names).difference(item.nodeid for item in items)
    # After an error of collection, which fails the run, tests may be missing.
    if missing and not session.testsfailed:
        raise pytest.UsageError(
            f'{FILE_NAME} lists tests that do not exist: '
            + ', '.join(sorted(missing))
        )


def pytest_terminal_summary(terminalreporter, config):
    """Print the outcome of each listed test, with the text of failures."""
    names = read_names(config.rootpath / FILE_NAME)
    if not names:
        return
    terminalreporter.section(f'tests listed in {FILE_NAME}')
    for name in names:
        for outcome, text in _outcomes(terminalreporter, name):
            terminalreporter.write_line(f'{outcome}: {name}')
            if text:
                terminalreporter.write_line(text)
    terminalreporter.write_line(
        f'{FILE_NAME} says why these {len(names)} tests are listed; their '
        'failures count with "make test STRICT=1" only'
    )


def _outcomes(terminalreporter, name):
    """Return pairs of outcome and text; teardown may add a second one."""
    found = [
        (outcome, report.longreprtext if outcome == 'failed' else '')
        for category, outcome in OUTCOMES_BY_CATEGORY.items()
        for report in terminalreporter.getreports(category)
        if report.nodeid == name
    ]
    return found or [(NOT_RUN, '')]
