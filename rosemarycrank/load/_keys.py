"""Sources of idempotency keys."""

import abc

import msgspec

from rosemarycrank import http_client

_ISSUE_TIMEOUT_S = 2.0


class KeySource(abc.ABC):
    """Provides the idempotency key of each paid request."""

    @abc.abstractmethod
    def key_for(self, nonce, node):
        """Return the key of a request.

        Parameters
        ----------
        nonce : str
            Nonce of the request.
        node : str
            ``host:port`` of the node to which the request is sent first.

        Returns
        -------
        str
            The key; empty if the node issued none.
        """

    def discard_keys(self, node):
        """Drop the unused keys of a node that cannot be reached."""


class ClientKeys(KeySource):
    """Keys that clients derive from their nonces."""

    def key_for(self, nonce, node):
        return f'key-{nonce}'


class NodeKeys(KeySource):
    """Keys issued by nodes, requested in batches.

    Parameters
    ----------
    clients_by_node : dict of str to http_client.Client
        Clients of the nodes.
    batch_size : int
        Keys in one batch.
    """

    def __init__(self, clients_by_node, batch_size=50):
        self._clients_by_node = clients_by_node
        self._batch_size = batch_size
        self._keys_by_node = {}

    def key_for(self, nonce, node):
        keys = self._keys_by_node.setdefault(node, [])
        if not keys:
            keys.extend(self._request_batch(node))
        return keys.pop() if keys else ''

    def discard_keys(self, node):
        self._keys_by_node.pop(node, None)

    def _request_batch(self, node):
        client = self._clients_by_node[node]
        path = f'/keys?count={self._batch_size}'
        try:
            response = client.request('POST', path, timeout_s=_ISSUE_TIMEOUT_S)
        except http_client.HttpError:
            return []
        if response.status != 200:
            return []
        return msgspec.json.decode(response.body)['keys']
