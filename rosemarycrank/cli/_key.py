"""Commands for operators' keys and the list of trusted keys."""

import pathlib
import typing

import typer

from rosemarycrank.cli import _output
from rosemarycrank import keys

application = typer.Typer(help="Operators' keys.", no_args_is_help=True)

_Operator = typing.Annotated[str, typer.Argument(help='Name of the operator.')]
_KeyFile = typing.Annotated[
    pathlib.Path, typer.Option('--key', help='New file for the private key.')
]
_TrustedKeys = typing.Annotated[
    pathlib.Path, typer.Option(help='List of trusted keys.')
]


@application.command()
def create(
    operator: _Operator,
    key: _KeyFile,
    trusted_keys: _TrustedKeys,
    as_json: _output.AsJson = False,
):
    """Create the first key of an operator and trust it."""
    with _output.exit_on_error(as_json):
        trusted = _load_or_empty(trusted_keys)
        if operator in trusted.operators:
            raise _output.RefusedError(
                f'operator: got {operator!r}, which has keys; use rotate'
            )
        _add_key(trusted, operator, key, trusted_keys, as_json)


@application.command()
def rotate(
    operator: _Operator,
    key: _KeyFile,
    trusted_keys: _TrustedKeys,
    as_json: _output.AsJson = False,
):
    """Create a further key of an operator; the earlier ones stay trusted."""
    with _output.exit_on_error(as_json):
        trusted = keys.load(trusted_keys)
        _require_operator(trusted, operator)
        _add_key(trusted, operator, key, trusted_keys, as_json)


@application.command()
def revoke(
    operator: _Operator,
    public_key: typing.Annotated[
        str, typer.Argument(help='Public key in hexadecimal.')
    ],
    trusted_keys: _TrustedKeys,
    as_json: _output.AsJson = False,
):
    """Revoke one key of an operator."""
    with _output.exit_on_error(as_json):
        trusted = keys.load(trusted_keys)
        _require_operator(trusted, operator)
        known = [key.public_key for key in trusted.operators[operator]]
        if public_key not in known:
            raise _output.RefusedError(
                f'public key: got {public_key!r}, allowed one of {known}'
            )
        trusted = trusted.with_revoked(operator, public_key)
        keys.replace_file(trusted_keys, trusted.to_yaml())
        _output.print_result(
            as_json,
            {'operator': operator, 'revoked': public_key},
            [f'{operator}: revoked {public_key}'],
        )


@application.command('list')
def list_keys(trusted_keys: _TrustedKeys, as_json: _output.AsJson = False):
    """List the trusted and revoked keys."""
    with _output.exit_on_error(as_json):
        operators = keys.load(trusted_keys).operators
        data = {
            operator: [
                {'public_key': key.public_key, 'revoked': key.revoked}
                for key in operator_keys
            ]
            for operator, operator_keys in operators.items()
        }
        lines = [
            f'{operator} {key.public_key} '
            f'{"revoked" if key.revoked else "trusted"}'
            for operator, operator_keys in sorted(operators.items())
            for key in operator_keys
        ]
        _output.print_result(as_json, {'operators': data}, lines)


def _add_key(trusted, operator, key_file, trusted_file, as_json):
    private_key = keys.PrivateKey.create()
    # The new list is validated before any file is written, so that an
    # invalid operator name leaves no key file behind.
    text = trusted.with_key(operator, private_key.public_key).to_yaml()
    keys.parse(text.encode(), str(trusted_file))
    private_key.write(key_file)
    keys.replace_file(trusted_file, text)
    _output.print_result(
        as_json,
        {
            'operator': operator,
            'public_key': private_key.public_key,
            'key_file': str(key_file),
        },
        [
            f'{operator}: created {private_key.public_key}',
            f'private key in {key_file}; listed in {trusted_file}',
        ],
    )


def _load_or_empty(path):
    return keys.load(path) if path.exists() else keys.TrustedKeys()


def _require_operator(trusted, operator):
    if operator not in trusted.operators:
        raise _output.RefusedError(
            f'operator: got {operator!r}, allowed one of '
            f'{sorted(trusted.operators)}'
        )
