"""Exit codes of the operators' command."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes; ``docs/COMMANDS.md`` lists them."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    LOST_RACE = 4
    UNKNOWN = 5


MEANINGS = {
    ExitCode.OK: 'done',
    ExitCode.REFUSED: 'refused: a file, signature, version or request',
    ExitCode.USAGE: 'wrong usage of the command line',
    ExitCode.UNREACHABLE: 'platform or node does not answer; no effect',
    ExitCode.LOST_RACE: 'another roll-out came first; no effect',
    ExitCode.UNKNOWN: 'outcome unknown: the answer was lost',
}


def markdown_table():
    """Return the table of ``docs/COMMANDS.md``.

    Returns
    -------
    str
        Markdown table with one row for each code.
    """
    rows = ['| exit code | meaning |', '|---|---|']
    rows += [f'| {code.value} | {MEANINGS[code]} |' for code in ExitCode]
    return '\n'.join(rows) + '\n'
