"""Load driver, and checker of the records of clients and upstreams.

`rosemarycrank.load.__main__` is the command line. The stand-ins share the
record classes, and write those of upstreams.
"""

from rosemarycrank.load import _checker
from rosemarycrank.load import _constraints
from rosemarycrank.load import _driver
from rosemarycrank.load import _keys
from rosemarycrank.load import _records
from rosemarycrank.load import _scenario

FRACTION = _constraints.FRACTION

ClientEvent = _records.ClientEvent
ClientKeys = _keys.ClientKeys
Content = _records.Content
Driver = _driver.Driver
Keys = _scenario.Keys
NestedCall = _records.NestedCall
NodeKeys = _keys.NodeKeys
Report = _checker.Report
RequestKind = _scenario.RequestKind
RunEvent = _records.RunEvent
Scenario = _scenario.Scenario
Writer = _records.Writer
answer_digest = _records.answer_digest
check = _checker.check
with_constraints = _constraints.with_constraints
constrained_field = _constraints.constrained_field
check_files = _checker.check_files
read_records = _records.read_records
request_digest = _records.request_digest
retries_by_request = _checker.retries_by_request

__all__ = [
    'ClientEvent',
    'ClientKeys',
    'Content',
    'Driver',
    'FRACTION',
    'Keys',
    'NestedCall',
    'NodeKeys',
    'Report',
    'RequestKind',
    'RunEvent',
    'Scenario',
    'Writer',
    'answer_digest',
    'check',
    'check_files',
    'constrained_field',
    'read_records',
    'request_digest',
    'retries_by_request',
    'with_constraints',
]
