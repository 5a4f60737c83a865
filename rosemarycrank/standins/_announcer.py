"""Announces an upstream to its node, and withdraws it."""

import json
import logging

import gevent

from rosemarycrank import http_client
from rosemarycrank.standins import _server

_LOG = logging.getLogger(__name__)
_TIMEOUT_S = 2.0


class Announcer:
    """Announces an upstream to its node at an interval.

    Parameters
    ----------
    settings : UpstreamSettings
        Settings of the upstream.
    address : str
        ``host:port`` that the upstream listens on.
    """

    def __init__(self, settings, address):
        self.announced = False
        self._settings = settings
        self._address = address
        self._client = _server.client(settings.node_admin)
        self._task = None

    def start(self):
        """Start to announce."""
        if self._task is None:
            self._task = gevent.spawn(self._announce_for_ever)

    def withdraw(self):
        """Stop to announce, and withdraw."""
        if self._task is None:
            return
        self._task.kill()
        self._task = None
        self._post('/upstream/withdraw', {'address': self._address})
        self._note(False)

    def _announce_for_ever(self):
        settings = self._settings
        announcement = {
            'service': settings.service,
            'address': self._address,
            'partner': settings.partner,
            'slots': settings.slots,
            'max_connections': settings.max_connections,
        }
        while True:
            self._note(self._post('/upstream/announce', announcement))
            gevent.sleep(settings.heartbeat_s)

    def _post(self, path, values):
        headers = {'Content-Type': 'application/json'}
        body = json.dumps(values).encode()
        try:
            answer = self._client.request(
                'POST', path, body, headers, _TIMEOUT_S
            )
        except http_client.HttpError:
            return False
        return answer.status < 300

    def _note(self, announced):
        if announced != self.announced:
            self.announced = announced
            _LOG.info(
                'announced' if announced else 'not announced',
                extra={'node': self._settings.node_admin},
            )
