"""List of operators whose signatures are trusted."""

import typing

import attrs
import yaml

from rosemarycrank import settings

PUBLIC_KEY = settings.Text(r'[0-9a-f]{64}', '64 hexadecimal digits')


@attrs.frozen
class TrustedKey:
    """A public key of an operator.

    Attributes
    ----------
    public_key : str
        Raw Ed25519 public key in hexadecimal.
    revoked : bool
        Whether signatures with the key are rejected.
    """

    public_key: str
    revoked: bool = False

    constraints: typing.ClassVar[dict] = {
        'public_key': PUBLIC_KEY,
        'revoked': settings.Flag(),
    }


@attrs.frozen
class TrustedKeys:
    """Operators and their public keys.

    Attributes
    ----------
    operators : dict of str to tuple of TrustedKey
        Keys by name of the operator, oldest first.
    """

    operators: dict = attrs.field(factory=dict)

    constraints: typing.ClassVar[dict] = {
        'operators': settings.MapOf(
            settings.ListOf(settings.Nested(TrustedKey), min_items=1),
            settings.NAME,
        ),
    }

    def trusts(self, operator, public_key):
        """Return whether a key of an operator is trusted.

        Parameters
        ----------
        operator : str
            Name of the operator.
        public_key : str
            Key in hexadecimal.

        Returns
        -------
        bool
            False if the operator or key is unknown, or the key is revoked.
        """
        return any(
            key.public_key == public_key and not key.revoked
            for key in self.operators.get(operator, ())
        )

    def with_key(self, operator, public_key):
        """Return a copy of the list with one more key.

        Parameters
        ----------
        operator : str
            Name of the operator, who need not be in the list yet.
        public_key : str
            Key in hexadecimal.

        Returns
        -------
        TrustedKeys
            The new list.
        """
        keys = self.operators.get(operator, ())
        added = (*keys, TrustedKey(public_key))
        return TrustedKeys({**self.operators, operator: added})

    def with_revoked(self, operator, public_key):
        """Return a copy of the list with one key revoked.

        Parameters
        ----------
        operator : str
            Name of the operator.
        public_key : str
            Key in hexadecimal.

        Returns
        -------
        TrustedKeys
            The new list.

        Raises
        ------
        KeyError
            If the operator does not have this key.
        """
        keys = self.operators.get(operator, ())
        if public_key not in [key.public_key for key in keys]:
            raise KeyError(f'{operator} {public_key}')
        revoked = tuple(
            attrs.evolve(key, revoked=True)
            if key.public_key == public_key
            else key
            for key in keys
        )
        return TrustedKeys({**self.operators, operator: revoked})

    def to_yaml(self):
        """Return the list as a YAML document."""
        operators = {
            operator: [attrs.asdict(key) for key in keys]
            for operator, keys in self.operators.items()
        }
        return yaml.safe_dump({'operators': operators}, sort_keys=True)


def _check_keys_are_unique(document, context):
    # Each bundle is approved by a second operator. The holder of a key that
    # is listed under two names could approve alone.
    first_by_public_key = {}
    for operator, keys in document.get('operators').as_dict().items():
        operator_context = context.child('operators').child(operator)
        for index, key in enumerate(keys.as_list()):
            public_key = key.get('public_key')
            first = first_by_public_key.setdefault(
                str(public_key.data), public_key
            )
            if first is not public_key:
                operator_context.item(index).child('public_key').add_problem(
                    public_key.line,
                    public_key.describe(),
                    f'each key once; also on line {first.line}',
                )


def load(path):
    """Load the list of trusted keys.

    Parameters
    ----------
    path : str or path-like
        YAML file.

    Returns
    -------
    TrustedKeys
        The list.

    Raises
    ------
    rosemarycrank.settings.SettingsError
        With all problems of the file, including keys that are listed
        under two names.
    """
    return settings.load(path, TrustedKeys, _check_keys_are_unique)


def parse(text, source):
    """Build the list from YAML text; raises the same errors as `load`.

    Parameters
    ----------
    text : bytes
        The document.
    source : str
        Name of the document in error messages.

    Returns
    -------
    TrustedKeys
        The list.
    """
    return settings.parse(text, TrustedKeys, source, _check_keys_are_unique)
