"""Sources of idempotency keys."""

import abc

import msgspec

from rosemarycrank import http_client

_TIMEOUT_S = 2.0


class KeySource(abc.ABC):
    """Gives each paid request its key."""

    @abc.abstractmethod
    def key_for(self, nonce, node):
        """Return the key of a request.

        Parameters
        ----------
        nonce : str
            Nonce of the request.
        node : str
            ``host:port`` of the node that it goes to first.

        Returns
        -------
        str
            The key; empty if none could be had.
        """

    def discard_keys(self, node):
        """Drop keys that a node issued; it cannot be reached."""


class ClientKeys(KeySource):
    """Keys that clients make themselves."""

    def key_for(self, nonce, node):
        return f'key-{nonce}'


class NodeKeys(KeySource):
    """Keys that nodes issue, taken in batches.

    Parameters
    ----------
    clients_by_node : dict of str to http_client.Client
        Clients of the nodes.
    batch : int
        Keys asked for at once.
    """

    def __init__(self, clients_by_node, batch=50):
        self._clients_by_node = clients_by_node
        self._batch = batch
        self._keys_by_node = {}

    def key_for(self, nonce, node):
        keys = self._keys_by_node.setdefault(node, [])
        if not keys:
            keys.extend(self._issue(node))
        return keys.pop() if keys else ''

    def discard_keys(self, node):
        self._keys_by_node.pop(node, None)

    def _issue(self, node):
        client = self._clients_by_node[node]
        target = f'/keys?count={self._batch}'
        try:
            answer = client.request('POST', target, timeout_s=_TIMEOUT_S)
        except http_client.HttpError:
            return []
        if answer.status != 200:
            return []
        return msgspec.json.decode(answer.body)['keys']
