"""Stand-ins for the platform and for upstreams.

They replace the services that the nodes depend on in tests, in the demo and
in benchmarks. `rosemarycrank.standins.platform` and
`rosemarycrank.standins.upstream` are programs that serve HTTP. `Tables` is
the platform's logic in memory, for tests that run in simulated time.
"""

from rosemarycrank.standins import _tables

Tables = _tables.Tables

__all__ = ['Tables']
