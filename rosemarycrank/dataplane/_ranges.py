"""Ranges of the numbers in documents of the store and of targets.

All encoders and decoders take each number in these ranges, and sums and
products of a few of them. A JSON number may be of any size.
"""

import attrs

_MAX_COUNT = 2**31
_MAX_NUMBER = 2**53
_MAX_S = 1e9


@attrs.frozen
class Range:
    """Range of a number, with its ends.

    Attributes
    ----------
    least, largest : float
        Smallest and largest value.
    """

    least: float
    largest: float


#: Ranges by the name of the field. Those of a configuration are wide, as what
#: is odd and can be followed is not refused.
RANGES_BY_FIELD = {
    # Targets. A start in Unix milliseconds and a count of heartbeats stay far
    # below.
    'slots': Range(0, 1_000_000),
    'start': Range(0, _MAX_NUMBER),
    'sequence': Range(0, _MAX_NUMBER),
    # Configuration.
    'version': Range(0, 2**63 - 1),
    'weight': Range(-1e9, 1e9),
    'max_attempts': Range(-_MAX_COUNT, _MAX_COUNT),
    'priority': Range(-_MAX_COUNT, _MAX_COUNT),
    'timeout_s': Range(0.0, _MAX_S),
    'latency_goal_s': Range(0.0, _MAX_S),
    'header_bytes': Range(0, _MAX_NUMBER),
    'body_bytes': Range(0, _MAX_NUMBER),
    'header_timeout_s': Range(0.0, _MAX_S),
    'idle_timeout_s': Range(0.0, _MAX_S),
    # Crashes: times in Unix milliseconds, and digests of requests.
    'crash': Range(0, 2**63 - 1),
    # Costs.
    'calls_per_request': Range(0.0, 1e9),
}


def check(field, value):
    """Check a number.

    Parameters
    ----------
    field : str
        Key of `RANGES_BY_FIELD`.
    value : float
        The number.

    Raises
    ------
    ValueError
        If it is out of range, or no number.
    """
    allowed = RANGES_BY_FIELD[field]
    # No comparison with NaN is true.
    if not allowed.least <= value <= allowed.largest:
        raise ValueError(
            f'{field}: got {_shown(value)}, '
            f'allowed {allowed.least} to {allowed.largest}'
        )


def validate(_instance, attribute, value):
    """Check a number as a validator of an `attrs` attribute."""
    check(attribute.name, value)


def _shown(value):
    """Return a short text for a number, however large it is."""
    if isinstance(value, int) and value.bit_length() > 64:
        return f'an integer of {value.bit_length()} bits'
    return repr(value)
