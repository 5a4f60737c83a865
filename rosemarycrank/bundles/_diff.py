"""Differences between the contents of two bundles."""

import attrs
import msgspec


@attrs.frozen
class Change:
    """A section that differs between two contents.

    Attributes
    ----------
    key : str
        Key of the section, for example ``'partners/acme'``.
    before, after : object
        Decoded JSON of the section in each content; None if the content
        does not have the section.
    """

    key: str
    before: object
    after: object


def diff(base, content):
    """Return the sections that differ between two contents.

    Parameters
    ----------
    base, content : Content
        Earlier and later content.

    Returns
    -------
    list of Change
        Changes, sorted by key.
    """
    return [
        Change(key, _decode_section(base, key), _decode_section(content, key))
        for key in sorted(base.sections.keys() | content.sections.keys())
        if base.sections.get(key) != content.sections.get(key)
    ]


def _decode_section(content, key):
    section = content.sections.get(key)
    return None if section is None else msgspec.json.decode(section)
