"""Fixtures shared with the stand-ins' tests."""

from tests.standins import conftest

fake_node = conftest.fake_node
start_upstream = conftest.start_upstream
