"""Rows of the platform's table with the owners of client-chosen keys."""

import attrs
import msgspec

TABLE = 'keys'


class InvalidRow(ValueError):
    """A row whose value is not a claim."""


@attrs.frozen
class Claim:
    """Value of a row: the owner of a key and the digest of its request.

    ``tick_s`` is the time of the claim in seconds of the owner's clock.
    """

    owner: str
    incarnation: str
    tick_s: float
    digest: str

    def belongs_to(self, address, incarnation):
        """Return whether this incarnation of a node made the claim."""
        return (
            self.owner == address
            and self.incarnation == format_incarnation(incarnation)
        )


@attrs.frozen
class ClaimRow:
    """A claim with the version of its row in the table."""

    claim: Claim
    version: int


def format_incarnation(incarnation):
    """Return an incarnation in the format of rows and records."""
    return f'{incarnation:016x}'


def to_value(claim):
    """Return the row value of a claim."""
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
    InvalidRow
        If the row's value is not a claim.
    """
    try:
        claim = msgspec.convert(row.value, Claim, strict=False)
        int(claim.incarnation, 16)
    except ValueError as error:
        raise InvalidRow(str(error)) from error
    return ClaimRow(claim, row.version)
