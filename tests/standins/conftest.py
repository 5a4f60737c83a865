"""Stand-ins that serve inside the test's process."""

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
    """Sends and receives JSON."""

    client: http_client.Client

    def call(self, method, path, value=None, **headers):
        """Return status and decoded body; '_' in names of headers is '-'."""
        named = {k.replace('_', '-'): v for k, v in headers.items()}
        body = b'' if value is None else json.dumps(value).encode()
        answer = self.client.request(method, path, body, named, 5.0)
        return answer.status, json.loads(answer.body or b'null')


@pytest.fixture
def platform_client():
    """A client of a platform stand-in."""
    application = platform.Application(_tables.Tables())
    server = _server.Server('127.0.0.1:0', application.wsgi())
    server.start()
    client = _server.client(server.bound_address)
    yield JsonClient(client)
    client.close()
    server.stop()


@pytest.fixture
def start_upstream():
    """A function that starts an upstream and returns it and its client."""
    started = []

    def start(**settings):
        served = upstream.Upstream(
            _settings.UpstreamSettings(
                service_time=_settings.ServiceTime(median_ms=5), **settings
            )
        )
        served.start()
        client = _server.client(served.server.bound_address)
        started.append((served, client))
        return served, JsonClient(client)

    yield start
    for served, client in started:
        client.close()
        served.server.stop()


@pytest.fixture
def fake_node():
    """A node that passes calls on."""
    node = _fake_node.FakeNode()
    yield node
    node.stop()
