"""Announcements of an upstream at its node, and their withdrawal."""

import json
import logging

import gevent

from rosemarycrank import http_client
from rosemarycrank.standins import _server

_LOG = logging.getLogger(__name__)
_REQUEST_TIMEOUT_S = 2.0


class Announcer:
    """Announces an upstream to its node at a fixed interval.

    Parameters
    ----------
    settings : UpstreamSettings
        Settings of the upstream.
    address : str
        ``host:port`` that the upstream listens on.

    Attributes
    ----------
    announced : bool
        Whether the node accepted the last announcement; False after a
        withdrawal.
    """

    def __init__(self, settings, address):
        self.announced = False
        self._settings = settings
        self._address = address
        self._client = _server.client(settings.node_admin)
        self._greenlet = None

    def start(self):
        """Start the periodic announcements, unless they are running."""
        if self._greenlet is None:
            self._greenlet = gevent.spawn(self._announce_periodically)

    def withdraw(self):
        """Stop the announcements and withdraw the upstream from the node."""
        if self._greenlet is None:
            return
        self._greenlet.kill()
        self._greenlet = None
        self._post('/upstream/withdraw', {'address': self._address})
        self._set_announced(False)

    def _announce_periodically(self):
        settings = self._settings
        announcement = {
            'service': settings.service,
            'address': self._address,
            'partner': settings.partner,
            'slots': settings.slots,
            'max_connections': settings.max_connections,
        }
        while True:
            self._set_announced(self._post('/upstream/announce', announcement))
            gevent.sleep(settings.heartbeat_s)

    def _post(self, path, values):
        headers = {'Content-Type': 'application/json'}
        body = json.dumps(values).encode()
        try:
            response = self._client.request(
                'POST', path, body, headers, _REQUEST_TIMEOUT_S
            )
        except http_client.HttpError:
            return False
        return response.status < 300

    def _set_announced(self, announced):
        if announced != self.announced:
            self.announced = announced
            _LOG.info(
                'upstream announced to the node'
                if announced
                else 'upstream not announced to the node',
                extra={'node': self._settings.node_admin},
            )
