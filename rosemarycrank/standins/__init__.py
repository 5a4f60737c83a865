"""Small stand-ins for the platform and for upstreams.

They take the place of what the system calls, in tests, in the demo and in
measurements: `rosemarycrank.standins.platform` and
`rosemarycrank.standins.upstream` are programs, `Tables` is the platform's
logic for tests in virtual time.
"""

from rosemarycrank.standins import _tables

Tables = _tables.Tables

__all__ = ['Tables']
