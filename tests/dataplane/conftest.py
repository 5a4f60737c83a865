"""Fixtures for the tests of the data path."""

import pytest

from tests.dataplane import fakes


@pytest.fixture
def reactor():
    return fakes.VirtualReactor()
