"""Bundle documents: the YAML files that operators write."""

import typing

import attrs

from rosemarycrank.bundles import _checks
from rosemarycrank.bundles import _model
from rosemarycrank import settings

#: Largest integer that is exact in JSON decoders that use 64-bit floats.
MAX_VERSION = 2**53 - 1


@attrs.frozen
class _ClassDocument:
    rank: int
    idempotent: bool = True
    allowance: int = 2
    deadline_s: float = 5.0

    constraints: typing.ClassVar[dict] = {
        'rank': settings.Interval(int, 0, _model.MAX_RANK),
        'idempotent': settings.Flag(),
        'allowance': settings.Interval(
            int, 0, _model.MAX_ALLOWANCE, 'retries'
        ),
        'deadline_s': settings.Interval(float, 0.001, 3600.0, 's'),
    }


@attrs.frozen
class _PartnerDocument:
    ended: bool = False
    upstreams: tuple = ()

    constraints: typing.ClassVar[dict] = {
        'ended': settings.Flag(),
        'upstreams': settings.ListOf(settings.Nested(_model.UpstreamGroup)),
    }


@attrs.frozen
class _BundleDocument:
    name: str
    version: int
    classes: dict
    services: tuple
    rules: tuple
    partners: dict = attrs.field(factory=dict)
    policy: _model.Policy = _model.Policy()

    constraints: typing.ClassVar[dict] = {
        'name': settings.NAME,
        'version': settings.Interval(int, 1, MAX_VERSION),
        'classes': settings.MapOf(
            settings.Nested(_ClassDocument), settings.NAME
        ),
        'services': settings.ListOf(settings.NAME, min_items=1),
        'rules': settings.ListOf(settings.Nested(_model.Rule), min_items=1),
        'partners': settings.MapOf(
            settings.Nested(_PartnerDocument), settings.NAME
        ),
        'policy': settings.Nested(_model.Policy),
    }


def load(path):
    """Load a bundle from a YAML file.

    Parameters
    ----------
    path : str or path-like
        The file.

    Returns
    -------
    Bundle
        The bundle.

    Raises
    ------
    rosemarycrank.settings.SettingsError
        If the file is not valid; contains all problems found.
    """
    return _to_bundle(
        settings.load(path, _BundleDocument, _checks.check_references)
    )


def parse(text, source):
    """Build a bundle from YAML text.

    Parameters
    ----------
    text : bytes
        The document.
    source : str
        Name of the document, for error messages.

    Returns
    -------
    Bundle
        The bundle.

    Raises
    ------
    rosemarycrank.settings.SettingsError
        If the document is not valid; contains all problems found.
    """
    return _to_bundle(
        settings.parse(text, _BundleDocument, source, _checks.check_references)
    )


def _to_bundle(document):
    return _model.Bundle(
        name=document.name,
        version=document.version,
        classes_by_name={
            name: _model.RequestClass(name, **attrs.asdict(request_class))
            for name, request_class in document.classes.items()
        },
        rules=_sort_by_service(document.rules),
        services=tuple(sorted(document.services)),
        partners_by_name={
            name: _model.Partner(name, partner.ended, partner.upstreams)
            for name, partner in document.partners.items()
        },
        policy=document.policy,
    )


def _sort_by_service(rules):
    # The sort is stable, so rules of one service keep their order, in which
    # they are matched.
    return tuple(sorted(rules, key=lambda rule: rule.service))
