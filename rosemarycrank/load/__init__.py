"""Load driver, and the checker of histories.

`rosemarycrank.load.__main__` is the program. The records of what clients
were told and of what upstreams ran are shared with the stand-ins.
"""

from rosemarycrank.load import _checker
from rosemarycrank.load import _driver
from rosemarycrank.load import _records
from rosemarycrank.load import _scenario

ClientEvent = _records.ClientEvent
Content = _records.Content
Driver = _driver.Driver
NestedCall = _records.NestedCall
Report = _checker.Report
RequestKind = _scenario.RequestKind
RunEvent = _records.RunEvent
Scenario = _scenario.Scenario
Writer = _records.Writer
answer_digest = _records.answer_digest
check = _checker.check
check_files = _checker.check_files
extra_attempts = _checker.extra_attempts
read_lines = _records.read_lines
request_digest = _records.request_digest

__all__ = [
    'ClientEvent',
    'Content',
    'Driver',
    'NestedCall',
    'Report',
    'RequestKind',
    'RunEvent',
    'Scenario',
    'Writer',
    'answer_digest',
    'check',
    'check_files',
    'extra_attempts',
    'read_lines',
    'request_digest',
]
