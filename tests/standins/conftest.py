"""Fixtures: stand-ins that serve within the test process."""

import json

import attrs
import pytest

from rosemarycrank import http_client
from rosemarycrank.standins import _server
from rosemarycrank.standins import _settings
from rosemarycrank.standins import _tables
from rosemarycrank.standins import platform
from rosemarycrank.standins import upstream
from tests.standins import _fake_node


@attrs.frozen
class JsonClient:
    """HTTP client that sends and receives JSON."""

    client: http_client.Client

    def call(self, method, path, value=None, **headers):
        """Send a request; return status and decoded body.

        An underscore in the name of a header stands for a hyphen.
        """
        header_fields = {k.replace('_', '-'): v for k, v in headers.items()}
        body = b'' if value is None else json.dumps(value).encode()
        response = self.client.request(method, path, body, header_fields, 5.0)
        return response.status, json.loads(response.body or b'null')


@pytest.fixture
def platform_client():
    """JSON client of a running platform stand-in."""
    application = platform.Application(_tables.Tables())
    server = _server.Server('127.0.0.1:0', application.wsgi())
    server.start()
    client = _server.client(server.bound_address)
    yield JsonClient(client)
    client.close()
    server.stop()


@pytest.fixture
def start_upstream():
    """Function that starts an upstream and returns it and its client."""
    running = []

    def start(**settings):
        instance = upstream.Upstream(
            _settings.UpstreamSettings(
                service_time=_settings.ServiceTime(median_ms=5), **settings
            )
        )
        instance.start()
        client = _server.client(instance.server.bound_address)
        running.append((instance, client))
        return instance, JsonClient(client)

    yield start
    for instance, client in running:
        client.close()
        instance.server.stop()


@pytest.fixture
def fake_node():
    """Fake node that forwards calls to upstreams."""
    node = _fake_node.FakeNode()
    yield node
    node.stop()
