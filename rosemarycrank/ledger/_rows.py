"""Rows of the platform's table that say who owns a client's key."""

import attrs
import msgspec

TABLE = 'keys'


class BadRow(ValueError):
    """A row that does not have the form of a claim."""


@attrs.frozen
class Claim:
    """Value of a row: the owner of a key and the request under it.

    ``tick_s`` is the time of the claim in seconds of the owner's clock.
    """

    owner: str
    incarnation: str
    tick_s: float
    digest: str

    def is_by(self, address, incarnation):
        """Return whether a run of a node made the claim."""
        return self.owner == address and self.incarnation == incarnation_name(
            incarnation
        )


@attrs.frozen
class ClaimRow:
    """A claim as it stands in the table."""

    claim: Claim
    version: int


def incarnation_name(incarnation):
    """Return an incarnation as rows and records write it."""
    return f'{incarnation:016x}'


def to_value(claim):
    """Return the value to write for a claim."""
    return msgspec.to_builtins(claim)


def from_row(row):
    """Return the claim in a row.

    Parameters
    ----------
    row : rosemarycrank.table_service.Row
        Row of the table of keys.

    Returns
    -------
    ClaimRow
        The claim.

    Raises
    ------
    BadRow
        If the row's value is no claim.
    """
    try:
        claim = msgspec.convert(row.value, Claim, strict=False)
        int(claim.incarnation, 16)
    except ValueError as error:
        raise BadRow(str(error)) from error
    return ClaimRow(claim, row.version)
