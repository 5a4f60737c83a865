"""Two operators who sign, approve and roll out bundles."""

import attrs
import msgspec

from rosemarycrank import bundles
from rosemarycrank import http_client
from rosemarycrank import keys

AUTHOR = 'author'
APPROVER = 'approver'
TIMEOUT_S = 5.0
_CURRENT = '/tables/bundles/current'


class Operators:
    """The keys of two operators, and the list that trusts them.

    Parameters
    ----------
    folder : pathlib.Path
        Where the list is kept.

    Attributes
    ----------
    trusted_keys_path : pathlib.Path
        The list of trusted keys.
    """

    def __init__(self, folder):
        self.trusted_keys_path = folder / 'trusted-keys.yaml'
        self._author_key = keys.PrivateKey.create()
        self._approver_key = keys.PrivateKey.create()
        trusted = (
            keys.TrustedKeys()
            .with_key(AUTHOR, self._author_key.public_key)
            .with_key(APPROVER, self._approver_key.public_key)
        )
        self.trusted_keys_path.write_text(trusted.to_yaml())

    def roll_out(self, path, platform_url):
        """Sign, approve and roll out a bundle.

        Parameters
        ----------
        path : pathlib.Path
            The bundle.
        platform_url : str
            Base URL of the platform.

        Raises
        ------
        RuntimeError
            If another roll-out came first.
        """
        content = bundles.content_from_bundle(bundles.load(path))
        head = bundles.head_of(content)
        head = head.sign(AUTHOR, self._author_key)
        head = head.approve(APPROVER, self._approver_key)
        host, _, port = platform_url.removeprefix('http://').rpartition(':')
        client = http_client.Client(host, int(port))
        client.request(
            'PUT',
            f'/objects/bundles/{content.hash}',
            content.to_bytes(),
            timeout_s=TIMEOUT_S,
        )
        row = {
            'value': {'head': attrs.asdict(head), 'base_hash': ''},
            'write_id': f'{head.name}-{head.version}',
        }
        answer = client.request(
            'PUT',
            _CURRENT,
            msgspec.json.encode(row),
            _condition(client),
            TIMEOUT_S,
        )
        client.close()
        if answer.status != 200:
            raise RuntimeError(f'roll-out: got status {answer.status}')


def _condition(client):
    answer = client.request('GET', _CURRENT, timeout_s=TIMEOUT_S)
    if answer.status == 404:
        return {'If-None-Match': '*'}
    return {'If-Match': answer.headers['etag']}
