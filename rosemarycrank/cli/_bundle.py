"""Commands for bundles: check, sign, approve, roll-out, status, diff."""

import json
import pathlib
import typing
import uuid

import typer

from rosemarycrank import bundles
from rosemarycrank.cli import _output
from rosemarycrank import keys
from rosemarycrank import table_service

application = typer.Typer(help='Bundles of policy.', no_args_is_help=True)

SHORT_HASH_CHARS = 12
SIGNED_SUFFIX = '.signed.json'

_BundleFile = typing.Annotated[
    pathlib.Path, typer.Argument(help='Bundle in YAML.')
]
_SignedFile = typing.Annotated[
    pathlib.Path, typer.Argument(help='Signed bundle.')
]
_Operator = typing.Annotated[
    str, typer.Option(help='Name of the operator in the trusted list.')
]
_KeyFile = typing.Annotated[
    pathlib.Path, typer.Option('--key', help="Operator's private key.")
]
_Out = typing.Annotated[
    pathlib.Path | None, typer.Option(help='File to write.')
]
_Platform = typing.Annotated[
    str, typer.Option('--platform', help='URL: http://host:port.')
]
_TrustedKeys = typing.Annotated[
    pathlib.Path, typer.Option(help='List of trusted keys.')
]


@application.command()
def check(file: _BundleFile, as_json: _output.AsJson = False):
    """Check a bundle; print all problems at once."""
    with _output.exit_on_error(as_json):
        content = bundles.content_from_bundle(bundles.load(file))
        _output.print_result(
            as_json,
            _identity(content),
            [f'{file}: valid bundle, {_describe(content)}'],
        )


@application.command()
def sign(
    file: _BundleFile,
    operator: _Operator,
    key: _KeyFile,
    out: _Out = None,
    as_json: _output.AsJson = False,
):
    """Sign a bundle as its author."""
    with _output.exit_on_error(as_json):
        content = bundles.content_from_bundle(bundles.load(file))
        head = bundles.unsigned_head(content).sign(
            operator, keys.PrivateKey.read(key)
        )
        out = out or file.with_name(f'{file.stem}{SIGNED_SUFFIX}')
        _write(out, bundles.SignedBundle(head, content))
        _output.print_result(
            as_json,
            {**_identity(content), 'author': operator, 'file': str(out)},
            [f'{out}: signed by {operator}, {_describe(content)}'],
        )


@application.command()
def approve(
    file: _SignedFile,
    operator: _Operator,
    key: _KeyFile,
    out: _Out = None,
    as_json: _output.AsJson = False,
):
    """Approve a signed bundle as the second operator."""
    with _output.exit_on_error(as_json):
        signed = bundles.signed_from_bytes(file.read_bytes())
        head = signed.head.approve(operator, keys.PrivateKey.read(key))
        content = signed.content
        _write(out or file, bundles.SignedBundle(head, content))
        _output.print_result(
            as_json,
            {
                **_identity(content),
                'author': head.author.operator,
                'approver': operator,
                'file': str(out or file),
            },
            [
                f'{out or file}: signed by {head.author.operator}, approved '
                f'by {operator}, {_describe(content)}'
            ],
        )


@application.command('roll-out')
def roll_out(
    file: _SignedFile,
    platform_url: _Platform,
    trusted_keys: _TrustedKeys,
    as_json: _output.AsJson = False,
):
    """Bring a signed and approved bundle into force."""
    with _output.exit_on_error(as_json):
        signed = bundles.signed_from_bytes(file.read_bytes())
        rolled_out = bundles.roll_out(
            table_service.HttpPlatform(platform_url),
            signed,
            keys.load(trusted_keys),
            uuid.uuid4().hex,
        )
        state = 'rolled out' if rolled_out.changed else 'was in force already'
        _output.print_result(
            as_json,
            {**_identity(signed.content), 'changed': rolled_out.changed},
            [f'{state}: {_describe(signed.content)}'],
        )


@application.command()
def status(
    platform_url: _Platform,
    trusted_keys: typing.Annotated[
        pathlib.Path | None, typer.Option(help='List of trusted keys.')
    ] = None,
    as_json: _output.AsJson = False,
):
    """Print which bundle is in force; verify it if given trusted keys."""
    with _output.exit_on_error(as_json):
        client = table_service.HttpPlatform(platform_url)
        current, _ = bundles.read_current(client)
        if current is None:
            _output.print_result(
                as_json, {'version': 0}, ['no bundle was rolled out yet']
            )
            return
        head = current.head
        if trusted_keys is not None:
            head.verify(keys.load(trusted_keys))
        _output.print_result(
            as_json,
            {
                **_identity(head),
                'author': head.author and head.author.operator,
                'approver': head.approver and head.approver.operator,
                'verified': trusted_keys is not None,
            },
            _status_lines(head, trusted_keys is not None),
        )


@application.command()
def diff(
    file: _BundleFile,
    base: typing.Annotated[
        pathlib.Path | None,
        typer.Argument(help='Bundle in YAML to compare with.'),
    ] = None,
    platform_url: typing.Annotated[
        str,
        typer.Option('--platform', help='Compare with the bundle in force.'),
    ] = '',
    as_json: _output.AsJson = False,
):
    """Show changes of a bundle against a file or the bundle in force."""
    if (base is None) == (not platform_url):
        raise typer.BadParameter('give either BASE or --platform')
    with _output.exit_on_error(as_json):
        content = bundles.content_from_bundle(bundles.load(file))
        if base is not None:
            base_content = bundles.content_from_bundle(bundles.load(base))
        else:
            base_content = _current_content(platform_url)
        changes = bundles.diff(base_content, content)
        _output.print_result(
            as_json,
            {
                'base': _identity(base_content),
                'changes': [
                    {'key': c.key, 'before': c.before, 'after': c.after}
                    for c in changes
                ],
                **_identity(content),
            },
            _diff_lines(base_content, content, changes),
        )


def _current_content(platform_url):
    client = table_service.HttpPlatform(platform_url)
    current, _ = bundles.read_current(client)
    if current is None:
        raise _output.RefusedError('no bundle was rolled out yet')
    content = bundles.read_content(client, current.head)
    if content is None:
        raise _output.RefusedError(
            f'object store: no body for hash {current.head.hash}'
        )
    return content


def _write(path, signed):
    keys.replace_file(path, signed.to_bytes().decode())


def _identity(bundle):
    return {
        'name': bundle.name,
        'version': bundle.version,
        'hash': bundle.hash,
    }


def _describe(bundle):
    short_hash = bundle.hash[:SHORT_HASH_CHARS]
    return f'{bundle.name} version {bundle.version} ({short_hash})'


def _status_lines(head, verified):
    yield f'{_describe(head)} is in force'
    for role in ('author', 'approver'):
        signature = getattr(head, role)
        yield f'{role}: {signature.operator if signature else "none"}'
    yield f'signatures: {"verified" if verified else "not verified"}'


def _diff_lines(base, content, changes):
    yield f'{_describe(base)} -> {_describe(content)}'
    for change in changes:
        yield change.key
        if change.before is not None:
            yield f'  - {json.dumps(change.before, sort_keys=True)}'
        if change.after is not None:
            yield f'  + {json.dumps(change.after, sort_keys=True)}'
    if not changes:
        yield 'no changes'
