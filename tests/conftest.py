"""Profiles of hypothesis for all tests.

The profile ``ci`` runs the same examples every time. It is the default,
unless the environment variable ``HYPOTHESIS_PROFILE`` is set. The option
``--hypothesis-profile`` selects another one.
"""

import os
import pathlib

import hypothesis
import pytest

_KNOWN_RED = pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, database=None
)
hypothesis.settings.register_profile(
    'fuzz', max_examples=2000, deadline=None, print_blob=True
)
if 'HYPOTHESIS_PROFILE' not in os.environ:
    hypothesis.settings.load_profile('ci')


def pytest_collection_modifyitems(items):
    """Report failures of the tests in KNOWN-RED.txt without failing the run.

    A line of that file that is the identifier of a test names it. The run
    prints each of these tests with its outcome.
    """
    known = set(_KNOWN_RED.read_text().splitlines())
    for item in items:
        if item.nodeid in known:
            item.add_marker(
                pytest.mark.xfail(strict=False, reason='in KNOWN-RED.txt')
            )
