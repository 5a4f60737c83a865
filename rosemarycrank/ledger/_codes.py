"""Result codes that the ledger gives in cases of its own."""

from rosemarycrank import results

#: No request has run under the key. No code says just that yet.
NEVER_RAN = results.Result.REVOKED

#: The table cannot tell who owns the key; an earlier send may have run.
UNREADABLE = results.Result.OWNER_UNREACHABLE

#: The ledger holds as many keys as it may.
FULL = results.Result.LEDGER_UNAVAILABLE

#: A request under the key ran, and its answer is not at hand.
NOT_KEPT = results.Result.ANSWER_LOST
