"""The one table of result codes."""

import enum

import attrs


class Outcome(enum.Enum):
    """What is known about a request once it has its final answer."""

    COMPLETE = 'complete'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@attrs.frozen
class _Entry:
    number: int
    outcome: Outcome
    http_status: int
    meaning: str


class Result(enum.Enum):
    """Result codes; the value's number is what callers see.

    The hundreds digit gives the group: 1 complete, 2 bad input, 3 refused
    by policy, 4 refused for lack of capacity, 5 failed before it ran,
    6 outcome not known.
    """

    OK = _Entry(100, Outcome.COMPLETE, 200, 'complete answer')
    OK_KEPT = _Entry(
        101,
        Outcome.COMPLETE,
        200,
        'answer kept from an earlier send under the same key',
    )

    UNKNOWN_SERVICE = _Entry(
        200, Outcome.NOT_RUN, 404, 'no such service in the bundle'
    )
    BODY_TOO_LARGE = _Entry(
        201, Outcome.NOT_RUN, 413, 'request body over the limit'
    )
    BAD_DEADLINE = _Entry(
        202, Outcome.NOT_RUN, 400, 'deadline header is not a valid number'
    )
    BODY_TRUNCATED = _Entry(
        203, Outcome.NOT_RUN, 400, 'request body shorter than announced'
    )
    KEY_REUSED = _Entry(
        204,
        Outcome.NOT_RUN,
        422,
        'idempotency key was used with another request',
    )
    KEY_REQUIRED = _Entry(
        205,
        Outcome.NOT_RUN,
        400,
        'non-idempotent request without an idempotency key',
    )
    KEY_INVALID = _Entry(
        206, Outcome.NOT_RUN, 400, 'malformed or forged idempotency key'
    )
    KEY_EXPIRED = _Entry(
        207, Outcome.NOT_RUN, 410, 'idempotency key is past its validity'
    )
    BAD_REQUEST = _Entry(208, Outcome.NOT_RUN, 400, 'malformed request')

    TOKEN_ENDED = _Entry(
        209,
        Outcome.NOT_RUN,
        409,
        'token names no request that is running here',
    )

    NO_BUNDLE = _Entry(
        300, Outcome.NOT_RUN, 503, 'node holds no accepted bundle yet'
    )
    PARTNER_LEFT = _Entry(
        301, Outcome.NOT_RUN, 503, 'partner that runs the upstream has left'
    )
    LEAVING = _Entry(302, Outcome.NOT_RUN, 503, 'node or upstream is draining')
    ALLOWANCE_SPENT = _Entry(
        303, Outcome.NOT_RUN, 503, 'retry allowance of the request is spent'
    )
    REVOKED = _Entry(
        304, Outcome.NOT_RUN, 503, 'attempt was revoked before it ran'
    )
    STALE_ATTEMPT = _Entry(
        305,
        Outcome.NOT_RUN,
        503,
        'attempt names an ended incarnation or is past its validity',
    )
    TOO_DEEP = _Entry(
        306, Outcome.NOT_RUN, 508, 'call depth is over the limit'
    )

    KEY_NEVER_RAN = _Entry(
        307, Outcome.NOT_RUN, 404, 'no request has run under the key'
    )

    SHED = _Entry(400, Outcome.NOT_RUN, 503, 'shed by class under overload')
    DEADLINE_TOO_SHORT = _Entry(
        401,
        Outcome.NOT_RUN,
        504,
        'remaining time cannot cover the observed service time',
    )
    NO_TARGET = _Entry(402, Outcome.NOT_RUN, 503, 'no target is available')
    UPSTREAM_REFUSED = _Entry(
        403, Outcome.NOT_RUN, 503, 'upstream refused and says it did not run'
    )
    BACKPRESSURE = _Entry(
        404, Outcome.NOT_RUN, 503, 'connection to the target is full'
    )
    RETRY_BUDGET_SPENT = _Entry(
        405, Outcome.NOT_RUN, 503, 'retry budget of the service is spent'
    )

    LEDGER_FULL = _Entry(
        406, Outcome.NOT_RUN, 503, 'node owns as many keys as it may'
    )

    CONNECT_FAILED = _Entry(
        500, Outcome.NOT_RUN, 502, 'no connection to the upstream was made'
    )
    LEDGER_UNAVAILABLE = _Entry(
        501,
        Outcome.NOT_RUN,
        503,
        'the key could not be claimed; use a key issued by a node',
    )
    OWNER_UNREACHABLE = _Entry(
        502,
        Outcome.UNKNOWN,
        503,
        'owner of the key cannot be reached; ask again later',
    )

    CLAIM_UNREADABLE = _Entry(
        503,
        Outcome.UNKNOWN,
        503,
        'owner of the key cannot be read; an earlier send may have run',
    )

    ANSWER_LOST = _Entry(
        600, Outcome.UNKNOWN, 502, 'sent on, and no answer came back'
    )
    DEADLINE_PASSED = _Entry(
        601, Outcome.UNKNOWN, 504, 'deadline passed while the request ran'
    )
    ANSWER_TRUNCATED = _Entry(
        602, Outcome.UNKNOWN, 502, 'upstream answer was cut short'
    )
    OWNER_ENDED = _Entry(
        603,
        Outcome.UNKNOWN,
        502,
        'owner of the key ended without a closing record',
    )
    CANCELLED = _Entry(
        604, Outcome.UNKNOWN, 499, 'cancelled by its caller while it ran'
    )

    ANSWER_NOT_KEPT = _Entry(
        605,
        Outcome.UNKNOWN,
        502,
        'a request under the key ran, and its answer is not kept',
    )

    @property
    def number(self):
        """Number that callers see."""
        return self.value.number

    @property
    def outcome(self):
        """Outcome that the code stands for."""
        return self.value.outcome

    @property
    def http_status(self):
        """HTTP status of an answer made by a node."""
        return self.value.http_status

    @property
    def meaning(self):
        """One-line meaning for people."""
        return self.value.meaning


_BY_NUMBER = {result.number: result for result in Result}


def from_number(number):
    """Return the result code with a number.

    Parameters
    ----------
    number : int
        Number of a result code.

    Returns
    -------
    Result
        The code.

    Raises
    ------
    KeyError
        If no code has the number.
    """
    return _BY_NUMBER[number]


def markdown_table():
    """Return the table of ``docs/RESULT_CODES.md``.

    Returns
    -------
    str
        Markdown table, one row a code, ordered by number.
    """
    rows = [
        '| code | name | outcome | HTTP status | meaning |',
        '|' + '---|' * 5,
    ]
    for number in sorted(_BY_NUMBER):
        result = _BY_NUMBER[number]
        rows.append(
            f'| {number} | {result.name} | {result.outcome.value} '
            f'| {result.http_status} | {result.meaning} |'
        )
    return '\n'.join(rows) + '\n'
