"""Adapter of the data path to the users' platform."""

import logging

from rosemarycrank import dataplane
from rosemarycrank.platform import _configuration
from rosemarycrank.platform import _heartbeats
from rosemarycrank.platform import _names
from rosemarycrank.platform import _store

_LOG = logging.getLogger(__name__)


class PlatformAdapter(dataplane.Adapter):
    """Header names, document formats and store of the platform.

    Parameters
    ----------
    store_address : tuple of (str, int)
        Address of the store.
    """

    names = _names.HEADERS

    def __init__(self, store_address):
        self.store_address = store_address

    def open_store(self, reactor):
        """Return the store of rows."""
        client = dataplane.HttpClient(reactor, self.store_address)
        return _store.RowStore(client)

    def decode_configuration(self, body):
        """Decode a configuration document."""
        return _configuration.decode(body)

    def handle_control(self, message, registration):
        """Handle a heartbeat or a withdrawal of the local target.

        What is not in force is not acknowledged.
        """
        path = message.target.partition(b'?')[0]
        instance = _heartbeats.instance_from_path(path)
        if not instance:
            return dataplane.Reply(404)
        try:
            if message.method == b'PUT':
                heartbeat = _heartbeats.decode(instance, message.body)
                is_in_force = registration.report(heartbeat)
            elif message.method == b'DELETE':
                born_ms = _heartbeats.decode_withdrawal(message.body)
                is_in_force = registration.withdraw(instance, born_ms)
            else:
                return dataplane.Reply(405)
        except ValueError as error:
            _LOG.warning(
                'invalid heartbeat or withdrawal of target %s: %s',
                instance,
                error,
                extra={'event': 'heartbeat_invalid', 'instance': instance},
            )
            return dataplane.Reply(400)
        return dataplane.Reply(200 if is_in_force else 409, b'{}')

    def is_readiness_probe(self, message):
        """Return whether a request is a readiness probe of the node."""
        return message.target.partition(b'?')[0] == _names.READY_PATH
