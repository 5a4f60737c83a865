"""Content of a bundle in sections: canonical bytes, hash and deltas.

A bundle is cut into sections: one for each class, each partner, the rules
of each service, and the policy. Each section is canonical JSON. The content
hash covers the digests of the sections, so that a delta costs the work of
the sections that it changes.
"""

import hashlib
import itertools

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
    # Decoded sections by kind and name, and the keys still to be decoded. A
    # delta hands on what it does not change, so that accepting it costs no
    # decoding of the whole.
    _values_by_kind: dict = attrs.field(repr=False)
    _undecoded: set = attrs.field(repr=False)

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
        for key in delta.removed:
            sections.pop(key, None)
            digests.pop(key, None)
        undecoded = self._undecoded | delta.changed.keys()
        undecoded.difference_update(delta.removed)
        values_by_kind = self._values_after(delta)
        return _make(
            self.name, version, sections, digests, undecoded, values_by_kind
        )

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
        while self._undecoded:
            key = next(iter(self._undecoded))
            kind, name = _split(key)
            value = _decode(kind, name, self.sections[key])
            self._values_by_kind.setdefault(kind, {})[name] = value
            self._undecoded.discard(key)
        return _assemble(self, self._values_by_kind)

    def to_bytes(self):
        """Return the canonical bytes of the whole content."""
        sections = {
            key: msgspec.Raw(section) for key, section in self.sections.items()
        }
        return msgspec.json.encode(
            _Body(self.name, self.version, sections), order='sorted'
        )

    def _values_after(self, delta):
        """Return the decoded values that a delta leaves as they are."""
        touched = [_split(key) for key in (*delta.changed, *delta.removed)]
        kinds = {kind for kind, _ in touched}
        # Kinds that the delta leaves alone are shared, not copied.
        values_by_kind = {
            kind: dict(values) if kind in kinds else values
            for kind, values in self._values_by_kind.items()
        }
        for kind, name in touched:
            values_by_kind.get(kind, {}).pop(name, None)
        return values_by_kind


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
    return _make(name, version, sections, _digests(sections), set(sections))


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


def _make(name, version, sections, digests, undecoded, values_by_kind=None):
    summary = msgspec.json.encode([name, version, sorted(digests.items())])
    return Content(
        name,
        version,
        sections,
        digests,
        hashlib.sha256(summary).hexdigest(),
        values_by_kind or {},
        undecoded,
    )


def _split(key):
    kind, _, name = key.partition('/')
    return kind, name


def _decode(kind, name, section):
    if kind not in _DECODERS_BY_KIND:
        raise ContentError(f'section: got kind {kind!r}')
    try:
        value = _DECODERS_BY_KIND[kind].decode(section)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ContentError(f'{kind}/{name}: {error}') from error
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


def _assemble(content, values_by_kind):
    rules_by_service = values_by_kind.get('rules', {})
    classes_by_name = values_by_kind.get('classes', {})
    services = tuple(sorted(rules_by_service))
    rules = tuple(
        itertools.chain.from_iterable(
            rules_by_service[service] for service in services
        )
    )
    unknown = {rule.class_name for rule in rules} - classes_by_name.keys()
    if unknown:
        raise ContentError(f'rules: got unknown classes {sorted(unknown)}')
    return _model.Bundle(
        name=content.name,
        version=content.version,
        classes_by_name=classes_by_name,
        rules=rules,
        services=services,
        partners_by_name=values_by_kind.get('partners', {}),
        policy=values_by_kind.get('policy', {}).get('', _model.Policy()),
    )
