"""Table of the result codes."""

import enum

import attrs


class Outcome(enum.Enum):
    """Outcome of a request, as known from its final answer.

    COMPLETE: it ran and its answer is complete. NOT_RUN: it did not run, so
    sending it again is safe. UNKNOWN: it may or may not have run.
    """

    COMPLETE = 'complete'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@attrs.frozen
class _CodeProperties:
    number: int
    outcome: Outcome
    http_status: int
    meaning: str


class Result(enum.Enum):
    """Result codes, which callers see as numbers.

    The hundreds digit gives the group: 1 complete, 2 bad input, 3 refused
    by policy, 4 refused for lack of capacity, 5 failed before it ran,
    6 outcome unknown.
    """

    OK = _CodeProperties(100, Outcome.COMPLETE, 200, 'complete answer')
    OK_KEPT = _CodeProperties(
        101,
        Outcome.COMPLETE,
        200,
        'answer kept from an earlier send under the same key',
    )

    UNKNOWN_SERVICE = _CodeProperties(
        200, Outcome.NOT_RUN, 404, 'no such service in the bundle'
    )
    BODY_TOO_LARGE = _CodeProperties(
        201, Outcome.NOT_RUN, 413, 'request body over the limit'
    )
    BAD_DEADLINE = _CodeProperties(
        202, Outcome.NOT_RUN, 400, 'deadline header is not a valid number'
    )
    BODY_TRUNCATED = _CodeProperties(
        203, Outcome.NOT_RUN, 400, 'request body shorter than announced'
    )
    KEY_REUSED = _CodeProperties(
        204,
        Outcome.NOT_RUN,
        422,
        'idempotency key was used with another request',
    )
    KEY_REQUIRED = _CodeProperties(
        205,
        Outcome.NOT_RUN,
        400,
        'non-idempotent request without an idempotency key',
    )
    KEY_INVALID = _CodeProperties(
        206, Outcome.NOT_RUN, 400, 'malformed or forged idempotency key'
    )
    KEY_EXPIRED = _CodeProperties(
        207, Outcome.NOT_RUN, 410, 'idempotency key is past its validity'
    )
    BAD_REQUEST = _CodeProperties(
        208, Outcome.NOT_RUN, 400, 'malformed request'
    )

    TOKEN_ENDED = _CodeProperties(
        209,
        Outcome.NOT_RUN,
        409,
        'token names no request that is running here',
    )

    NO_BUNDLE = _CodeProperties(
        300, Outcome.NOT_RUN, 503, 'node holds no accepted bundle yet'
    )
    PARTNER_LEFT = _CodeProperties(
        301, Outcome.NOT_RUN, 503, 'partner that runs the upstream has left'
    )
    LEAVING = _CodeProperties(
        302, Outcome.NOT_RUN, 503, 'node or upstream is draining'
    )
    ALLOWANCE_SPENT = _CodeProperties(
        303, Outcome.NOT_RUN, 503, 'retry allowance of the request is spent'
    )
    REVOKED = _CodeProperties(
        304, Outcome.NOT_RUN, 503, 'attempt was revoked before it ran'
    )
    STALE_ATTEMPT = _CodeProperties(
        305,
        Outcome.NOT_RUN,
        503,
        'attempt names an ended incarnation or is past its validity',
    )
    TOO_DEEP = _CodeProperties(
        306, Outcome.NOT_RUN, 508, 'call depth is over the limit'
    )

    KEY_NEVER_RAN = _CodeProperties(
        307, Outcome.NOT_RUN, 404, 'no request has run under the key'
    )
    CRASH_SUSPECT = _CodeProperties(
        308,
        Outcome.NOT_RUN,
        503,
        'upstreams have crashed under the request',
    )

    SHED = _CodeProperties(
        400, Outcome.NOT_RUN, 503, 'shed by class under overload'
    )
    DEADLINE_TOO_SHORT = _CodeProperties(
        401,
        Outcome.NOT_RUN,
        504,
        'remaining time cannot cover the observed service time',
    )
    NO_TARGET = _CodeProperties(
        402, Outcome.NOT_RUN, 503, 'no target is available'
    )
    UPSTREAM_REFUSED = _CodeProperties(
        403, Outcome.NOT_RUN, 503, 'upstream refused and says it did not run'
    )
    BACKPRESSURE = _CodeProperties(
        404, Outcome.NOT_RUN, 503, 'connection to the target is full'
    )
    RETRY_BUDGET_SPENT = _CodeProperties(
        405, Outcome.NOT_RUN, 503, 'retry budget of the service is spent'
    )

    LEDGER_FULL = _CodeProperties(
        406, Outcome.NOT_RUN, 503, 'node owns as many keys as it may'
    )

    CONNECT_FAILED = _CodeProperties(
        500, Outcome.NOT_RUN, 502, 'no connection to the upstream was made'
    )
    LEDGER_UNAVAILABLE = _CodeProperties(
        501,
        Outcome.NOT_RUN,
        503,
        'the key could not be claimed; use a key issued by a node',
    )
    OWNER_UNREACHABLE = _CodeProperties(
        502,
        Outcome.UNKNOWN,
        503,
        'owner of the key cannot be reached; ask again later',
    )

    CLAIM_UNREADABLE = _CodeProperties(
        503,
        Outcome.UNKNOWN,
        503,
        'owner of the key cannot be read; an earlier send may have run',
    )

    ANSWER_LOST = _CodeProperties(
        600, Outcome.UNKNOWN, 502, 'sent on, and no answer came back'
    )
    DEADLINE_PASSED = _CodeProperties(
        601, Outcome.UNKNOWN, 504, 'deadline passed while the request ran'
    )
    ANSWER_TRUNCATED = _CodeProperties(
        602, Outcome.UNKNOWN, 502, 'upstream answer was cut short'
    )
    OWNER_ENDED = _CodeProperties(
        603,
        Outcome.UNKNOWN,
        502,
        'owner of the key ended without a closing record',
    )
    CANCELLED = _CodeProperties(
        604, Outcome.UNKNOWN, 499, 'cancelled by its caller while it ran'
    )

    ANSWER_NOT_KEPT = _CodeProperties(
        605,
        Outcome.UNKNOWN,
        502,
        'a request under the key ran, and its answer is not kept',
    )

    @property
    def number(self):
        """Number of the code, which callers see."""
        return self.value.number

    @property
    def outcome(self):
        """Outcome of a request that is answered with the code."""
        return self.value.outcome

    @property
    def http_status(self):
        """HTTP status of the answer if a node generates it."""
        return self.value.http_status

    @property
    def meaning(self):
        """Meaning of the code in one line of text."""
        return self.value.meaning


_RESULTS_BY_NUMBER = {result.number: result for result in Result}


def from_number(number):
    """Return the result code that has a given number.

    Parameters
    ----------
    number : int
        Number of a result code.

    Returns
    -------
    Result
        Result code.

    Raises
    ------
    KeyError
        If no code has the number.
    """
    return _RESULTS_BY_NUMBER[number]


def from_message(number):
    """Return the result that another node reports in a message.

    Parameters
    ----------
    number : int
        Number of a result code, which may be one of a later release.

    Returns
    -------
    Result
        Result code; `Result.ANSWER_LOST`, whose outcome is unknown, if no
        code has the number.
    """
    return _RESULTS_BY_NUMBER.get(number, Result.ANSWER_LOST)


def markdown_table():
    """Return the table of result codes for ``docs/RESULT_CODES.md``.

    Returns
    -------
    str
        Markdown table with one row per code, ordered by number.
    """
    rows = [
        '| code | name | outcome | HTTP status | meaning |',
        '|' + '---|' * 5,
    ]
    for number in sorted(_RESULTS_BY_NUMBER):
        result = _RESULTS_BY_NUMBER[number]
        rows.append(
            f'| {number} | {result.name} | {result.outcome.value} '
            f'| {result.http_status} | {result.meaning} |'
        )
    return '\n'.join(rows) + '\n'
