"""Content of a bundle in sections: canonical bytes, hash and deltas.

A bundle is cut into sections: one for each class, each partner, the rules
of each service, and the policy. Each section is canonical JSON. The content
hash covers the digests of the sections, so that a delta costs the work of
the sections that it changes.
"""

import hashlib

import attrs
import msgspec

from rosemarycrank.bundles import _model

_TYPES_BY_KIND = {
    'classes': _model.RequestClass,
    'partners': _model.Partner,
    'policy': _model.Policy,
    'rules': tuple[_model.Rule, ...],
}
_DECODERS_BY_KIND = {
    kind: msgspec.json.Decoder(section_type)
    for kind, section_type in _TYPES_BY_KIND.items()
}


class ContentError(ValueError):
    """Content that is malformed, or not what its hash promises."""


@attrs.frozen
class Delta:
    """What changes between the contents of two versions.

    Attributes
    ----------
    base_hash : str
        Content hash that the delta applies to.
    changed : dict of str to bytes
        New and changed sections by key.
    removed : tuple of str
        Keys of removed sections.
    """

    base_hash: str
    changed: dict[str, bytes]
    removed: tuple[str, ...] = ()


@attrs.frozen(eq=False)
class Content:
    """Sections of one version of a bundle.

    Attributes
    ----------
    name : str
        Name of the bundle line.
    version : int
        Version of the bundle.
    sections : dict of str to bytes
        Canonical JSON by key, for example ``'classes/renewal'``.
    digests : dict of str to str
        SHA-256 of each section in hexadecimal.
    hash : str
        Content hash in hexadecimal.
    """

    name: str
    version: int
    sections: dict
    digests: dict
    hash: str
    # Decoded sections by key. A delta hands on what it does not change, so
    # that accepting it costs no decoding of the whole.
    _values: dict = attrs.field(factory=dict, repr=False)

    def delta_from(self, base):
        """Return what changes from an earlier content to this one.

        Parameters
        ----------
        base : Content
            The earlier content.

        Returns
        -------
        Delta
            The changes.
        """
        changed = {
            key: section
            for key, section in self.sections.items()
            if base.digests.get(key) != self.digests[key]
        }
        removed = tuple(sorted(base.sections.keys() - self.sections.keys()))
        return Delta(base.hash, changed, removed)

    def apply(self, delta, version):
        """Return the content after a delta.

        Parameters
        ----------
        delta : Delta
            What changes.
        version : int
            Version of the result.

        Returns
        -------
        Content
            The result; its hash is still to be compared.

        Raises
        ------
        ContentError
            If the delta is for another base.
        """
        if delta.base_hash != self.hash:
            raise ContentError(
                f'base: got {delta.base_hash!r}, allowed {self.hash!r}'
            )
        sections = {**self.sections, **delta.changed}
        digests = {**self.digests, **_digests(delta.changed)}
        values = dict(self._values)
        for key in delta.changed:
            values.pop(key, None)
        for key in delta.removed:
            sections.pop(key, None)
            digests.pop(key, None)
            values.pop(key, None)
        return _make(self.name, version, sections, digests, values)

    def to_bundle(self):
        """Return the bundle.

        Returns
        -------
        Bundle
            The bundle.

        Raises
        ------
        ContentError
            If a section is malformed or refers to an unknown class.
        """
        for key in self.sections.keys() - self._values.keys():
            self._values[key] = _decode(key, self.sections[key])
        return _assemble(self, self._values)

    def to_bytes(self):
        """Return the canonical bytes of the whole content."""
        sections = {
            key: msgspec.Raw(section) for key, section in self.sections.items()
        }
        return msgspec.json.encode(
            _Body(self.name, self.version, sections), order='sorted'
        )


@attrs.frozen
class _Body:
    name: str
    version: int
    sections: dict[str, msgspec.Raw]


_BODY_DECODER = msgspec.json.Decoder(_Body)


def from_bundle(bundle):
    """Return the content of a bundle.

    Parameters
    ----------
    bundle : Bundle
        The bundle.

    Returns
    -------
    Content
        Its content.
    """
    values = {'policy': bundle.policy}
    for name, request_class in bundle.classes_by_name.items():
        values[f'classes/{name}'] = request_class
    for name, partner in bundle.partners_by_name.items():
        values[f'partners/{name}'] = partner
    for service in bundle.services:
        values[f'rules/{service}'] = [
            rule for rule in bundle.rules if rule.service == service
        ]
    sections = {
        key: msgspec.json.encode(value) for key, value in values.items()
    }
    return from_sections(bundle.name, bundle.version, sections)


def from_sections(name, version, sections):
    """Return the content made of sections.

    Parameters
    ----------
    name : str
        Name of the bundle line.
    version : int
        Version of the bundle.
    sections : dict of str to bytes
        Canonical JSON by key.

    Returns
    -------
    Content
        The content; its hash is still to be compared.
    """
    return _make(name, version, sections, _digests(sections))


def from_bytes(body):
    """Return the content with given canonical bytes.

    Parameters
    ----------
    body : bytes
        As made by `Content.to_bytes`.

    Returns
    -------
    Content
        The content; its hash is still to be compared.

    Raises
    ------
    ContentError
        If the bytes are malformed.
    """
    try:
        decoded = _BODY_DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ContentError(f'body: {error}') from error
    sections = {key: bytes(raw) for key, raw in decoded.sections.items()}
    return from_sections(decoded.name, decoded.version, sections)


def _digests(sections):
    return {
        key: hashlib.sha256(section).hexdigest()
        for key, section in sections.items()
    }


def _make(name, version, sections, digests, values=None):
    summary = msgspec.json.encode([name, version, sorted(digests.items())])
    content_hash = hashlib.sha256(summary).hexdigest()
    return Content(
        name, version, sections, digests, content_hash, values or {}
    )


def _decode(key, section):
    kind, _, name = key.partition('/')
    if kind not in _DECODERS_BY_KIND:
        raise ContentError(f'section: got {key!r}')
    try:
        value = _DECODERS_BY_KIND[kind].decode(section)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ContentError(f'{key}: {error}') from error
    _check_name(kind, name, value)
    return value


def _check_name(kind, name, value):
    if kind == 'rules':
        found = {rule.service for rule in value}
    elif kind == 'policy':
        found = {''}
    else:
        found = {value.name}
    if found != {name}:
        raise ContentError(f'{kind}/{name}: got {sorted(found)}')


def _assemble(content, values):
    by_kind = {kind: {} for kind in _DECODERS_BY_KIND}
    for key, value in values.items():
        kind, _, name = key.partition('/')
        by_kind[kind][name] = value
    services = sorted(by_kind['rules'])
    rules = tuple(
        rule for service in services for rule in by_kind['rules'][service]
    )
    unknown = {rule.class_name for rule in rules} - by_kind['classes'].keys()
    if unknown:
        raise ContentError(f'rules: got unknown classes {sorted(unknown)}')
    return _model.Bundle(
        name=content.name,
        version=content.version,
        classes_by_name=by_kind['classes'],
        rules=rules,
        services=tuple(services),
        partners_by_name=by_kind['partners'],
        policy=by_kind['policy'].get('', _model.Policy()),
    )
