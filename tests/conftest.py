"""Profiles of hypothesis, and marks, for all tests.

The profile ``ci`` runs the same examples every time. It is the default,
unless the environment variable ``HYPOTHESIS_PROFILE`` is set. The option
``--hypothesis-profile`` selects another one.
"""

import os
import pathlib

import hypothesis
import pytest

#: Folders and files, below this one, whose tests use real sockets, processes
#: or the machine's clock.
REAL_TIME_PATHS = (
    'bundles/test_processes.py',
    'dataplane/test_slow_readers.py',
    'load',
    'node',
    'platform/test_early_answers.py',
    'platform/test_memory_limit.py',
    'platform/test_processes.py',
    'platform/test_starts.py',
    'processes',
    'soak',
    'standins',
    'table_service/test_http.py',
    'test_http_client.py',
)

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, database=None
)
hypothesis.settings.register_profile(
    'fuzz', max_examples=2000, deadline=None, print_blob=True
)
if 'HYPOTHESIS_PROFILE' not in os.environ:
    hypothesis.settings.load_profile('ci')


def pytest_collection_modifyitems(items):
    """Mark the tests that do not run in virtual time."""
    root = pathlib.Path(__file__).parent
    real_time_paths = [root / path for path in REAL_TIME_PATHS]
    for item in items:
        if any(item.path.is_relative_to(path) for path in real_time_paths):
            item.add_marker(pytest.mark.real_time)
