"""Operator tokens: bearer tokens for the admin address (RFC 6750)."""

import pathlib
import re

AUTHORIZATION_HEADER = 'Authorization'

MIN_TOKEN_CHARS = 32

#: Characters that RFC 6750 allows in a bearer token.
_TOKEN_PATTERN = re.compile(r'[A-Za-z0-9._~+/-]{%d,}=*' % MIN_TOKEN_CHARS)


def read_tokens(path):
    """Read a file of operator tokens.

    Parameters
    ----------
    path : str or path-like
        File with one token per line; empty lines are ignored.

    Returns
    -------
    tuple of str
        The tokens, at least one.

    Raises
    ------
    OSError
        If the file cannot be read.
    ValueError
        If it contains no token, or a malformed one.
    """
    try:
        lines = pathlib.Path(path).read_text('ascii').split('\n')
    except UnicodeDecodeError as error:
        raise ValueError(f'{path}: got text that is not ASCII') from error
    tokens = []
    for number, line in enumerate(lines, start=1):
        token = line.strip()
        if not token:
            continue
        # The error does not quote the value, which may be a mistyped secret.
        if not _TOKEN_PATTERN.fullmatch(token):
            raise ValueError(
                f'{path}:{number}: operator token: got {len(token)} '
                f'characters, allowed {MIN_TOKEN_CHARS} or more of A-Z, '
                'a-z, 0-9, ., _, ~, +, / and -'
            )
        tokens.append(token)
    if not tokens:
        raise ValueError(f'{path}: got no operator token, allowed 1 or more')
    return tuple(tokens)


def bearer_credentials(token):
    """Return the value of the Authorization header for a token."""
    return f'Bearer {token}'
