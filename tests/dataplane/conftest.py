"""Fixtures of the data path's tests."""

import pytest

from tests.dataplane import fakes


@pytest.fixture
def reactor():
    return fakes.VirtualReactor()
