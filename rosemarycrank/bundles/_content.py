"""Content of a bundle in sections: canonical bytes, hash and deltas.

The content is split into sections: one for each request class, one for each
partner, one for the rules of each service, and one for the policy. Each
section is canonical JSON. The content hash is computed from the name, the
version and the digests of the sections, so applying a delta hashes and
decodes only the sections that it changes.
"""

import hashlib
import itertools

import attrs
import msgspec

from rosemarycrank.bundles import _model
from rosemarycrank import decoding

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
    """Content that is malformed or does not match its hash."""


@attrs.frozen
class Delta:
    """Difference between the contents of two versions.

    Attributes
    ----------
    base_hash : str
        Hash of the content that the delta applies to.
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
        Name shared by all versions of the bundle.
    version : int
        Version of the bundle.
    sections : dict of str to bytes
        Canonical JSON by key, for example ``'classes/renewal'``.
    digests : dict of str to str
        SHA-256 of each section in hexadecimal, by key.
    hash : str
        Content hash in hexadecimal.
    """

    name: str
    version: int
    sections: dict
    digests: dict
    hash: str
    # Decoded sections by kind and name, and the keys of the sections that
    # are not decoded yet. `apply` passes the unchanged decoded sections on
    # to the new content, so accepting a delta decodes only its own sections.
    _decoded_by_kind: dict = attrs.field(repr=False)
    _undecoded_keys: set = attrs.field(repr=False)

    def delta_from(self, base):
        """Return the delta from an earlier content to this one.

        Parameters
        ----------
        base : Content
            The earlier content.

        Returns
        -------
        Delta
            The changed and removed sections.
        """
        changed = {
            key: section
            for key, section in self.sections.items()
            if base.digests.get(key) != self.digests[key]
        }
        removed = tuple(sorted(base.sections.keys() - self.sections.keys()))
        return Delta(base.hash, changed, removed)

    def apply(self, delta, version):
        """Return the content that results from applying a delta.

        Parameters
        ----------
        delta : Delta
            Changes to this content.
        version : int
            Version of the result.

        Returns
        -------
        Content
            The result; the caller compares its hash with the expected one.

        Raises
        ------
        ContentError
            If the delta applies to a content with another hash.
        """
        if delta.base_hash != self.hash:
            raise ContentError(
                f'delta base: got {delta.base_hash!r}, expected {self.hash!r}'
            )
        sections = {**self.sections, **delta.changed}
        digests = {**self.digests, **_compute_digests(delta.changed)}
        for key in delta.removed:
            sections.pop(key, None)
            digests.pop(key, None)
        undecoded_keys = self._undecoded_keys | delta.changed.keys()
        undecoded_keys.difference_update(delta.removed)
        decoded_by_kind = self._decoded_values_after(delta)
        return _make_content(
            self.name,
            version,
            sections,
            digests,
            undecoded_keys,
            decoded_by_kind,
        )

    def to_bundle(self):
        """Decode the sections into a bundle.

        Returns
        -------
        Bundle
            The bundle.

        Raises
        ------
        ContentError
            If a section is malformed, its key does not match the names in
            it, or a rule refers to an unknown class.
        """
        while self._undecoded_keys:
            key = next(iter(self._undecoded_keys))
            kind, name = _split_key(key)
            value = _decode_section(kind, name, self.sections[key])
            self._decoded_by_kind.setdefault(kind, {})[name] = value
            self._undecoded_keys.discard(key)
        return _build_bundle(self, self._decoded_by_kind)

    def to_bytes(self):
        """Return the canonical bytes of the whole content."""
        sections = {
            key: msgspec.Raw(section) for key, section in self.sections.items()
        }
        return msgspec.json.encode(
            _Body(self.name, self.version, sections), order='sorted'
        )

    def _decoded_values_after(self, delta):
        """Return the decoded sections that a delta does not change."""
        affected = [
            _split_key(key) for key in (*delta.changed, *delta.removed)
        ]
        kinds = {kind for kind, _ in affected}
        # The two contents share the dictionaries of unchanged kinds.
        decoded_by_kind = {
            kind: dict(values) if kind in kinds else values
            for kind, values in self._decoded_by_kind.items()
        }
        for kind, name in affected:
            decoded_by_kind.get(kind, {}).pop(name, None)
        return decoded_by_kind


@attrs.frozen
class _Body:
    name: str
    version: int
    sections: dict[str, msgspec.Raw]


_BODY_DECODER = msgspec.json.Decoder(_Body)


def from_bundle(bundle):
    """Encode a bundle as content.

    Parameters
    ----------
    bundle : Bundle
        The bundle.

    Returns
    -------
    Content
        The encoded bundle.
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
    """Build content from encoded sections, without decoding them.

    Parameters
    ----------
    name : str
        Name shared by all versions of the bundle.
    version : int
        Version of the bundle.
    sections : dict of str to bytes
        Canonical JSON by key.

    Returns
    -------
    Content
        The content; the caller compares its hash with the expected one.
    """
    return _make_content(
        name, version, sections, _compute_digests(sections), set(sections)
    )


def from_bytes(body):
    """Parse the canonical bytes of a whole content.

    Parameters
    ----------
    body : bytes
        Result of `Content.to_bytes`.

    Returns
    -------
    Content
        The content; the caller compares its hash with the expected one.

    Raises
    ------
    ContentError
        If the bytes are malformed.
    """
    try:
        decoded = decoding.decode(_BODY_DECODER, body)
    except decoding.DecodeError as error:
        raise ContentError(f'malformed bundle body: {error}') from error
    sections = {key: bytes(raw) for key, raw in decoded.sections.items()}
    return from_sections(decoded.name, decoded.version, sections)


def _compute_digests(sections):
    return {
        key: hashlib.sha256(section).hexdigest()
        for key, section in sections.items()
    }


def _make_content(
    name, version, sections, digests, undecoded_keys, decoded_by_kind=None
):
    summary = msgspec.json.encode([name, version, sorted(digests.items())])
    return Content(
        name,
        version,
        sections,
        digests,
        hashlib.sha256(summary).hexdigest(),
        decoded_by_kind or {},
        undecoded_keys,
    )


def _split_key(key):
    kind, _, name = key.partition('/')
    return kind, name


def _decode_section(kind, name, section):
    if kind not in _DECODERS_BY_KIND:
        raise ContentError(f'section of unknown kind {kind!r}')
    try:
        value = decoding.decode(_DECODERS_BY_KIND[kind], section)
    except decoding.DecodeError as error:
        raise ContentError(f'{kind}/{name}: {error}') from error
    _check_section_name(kind, name, value)
    return value


def _check_section_name(kind, name, value):
    if kind == 'rules':
        names = {rule.service for rule in value}
    elif kind == 'policy':
        names = {''}
    else:
        names = {value.name}
    if names != {name}:
        raise ContentError(f'{kind}/{name}: section names {sorted(names)}')


def _build_bundle(content, decoded_by_kind):
    rules_by_service = decoded_by_kind.get('rules', {})
    classes_by_name = decoded_by_kind.get('classes', {})
    services = tuple(sorted(rules_by_service))
    rules = tuple(
        itertools.chain.from_iterable(
            rules_by_service[service] for service in services
        )
    )
    unknown = {rule.class_name for rule in rules} - classes_by_name.keys()
    if unknown:
        raise ContentError(f'rules refer to unknown classes {sorted(unknown)}')
    return _model.Bundle(
        name=content.name,
        version=content.version,
        classes_by_name=classes_by_name,
        rules=rules,
        services=services,
        partners_by_name=decoded_by_kind.get('partners', {}),
        policy=decoded_by_kind.get('policy', {}).get('', _model.Policy()),
    )
