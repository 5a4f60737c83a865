"""Differences between the contents of two bundles."""

import attrs
import msgspec


@attrs.frozen
class Change:
    """One section that differs.

    Attributes
    ----------
    key : str
        Key of the section, for example ``'partners/acme'``.
    before, after : object
        Its values as JSON data; None where it does not exist.
    """

    key: str
    before: object
    after: object


def diff(base, content):
    """Return the sections that differ.

    Parameters
    ----------
    base, content : Content
        The contents to compare.

    Returns
    -------
    list of Change
        Changes in the order of their keys.
    """
    return [
        Change(key, _value(base, key), _value(content, key))
        for key in sorted(base.sections.keys() | content.sections.keys())
        if base.sections.get(key) != content.sections.get(key)
    ]


def _value(content, key):
    section = content.sections.get(key)
    return None if section is None else msgspec.json.decode(section)
