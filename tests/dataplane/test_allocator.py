"""Memory that is freed goes back to the system."""

import subprocess
import sys

import pytest

from rosemarycrank.dataplane import _allocator

MB = 1_000_000

#: Memory that may stay of 90 MB that were freed, in bytes.
MAX_KEPT_BYTES = 10 * MB

# Small blocks that outlive large ones lie between them.
_BLOCKS = """
import mmap
from rosemarycrank.dataplane import _allocator

def resident_bytes():
    with open('/proc/self/statm') as file:
        return int(file.read().split()[1]) * mmap.PAGESIZE

{call}
bytes(30_000_000)
before = resident_bytes()
large, small = [], []
for _ in range(60):
    large.append(bytearray(b'x') * 1_500_000)
    small.append(bytes(5000))
del large
{call_after}
print(resident_bytes() - before)
"""


def _kept_bytes(call='', call_after=''):
    """Return what stays of large blocks in another process."""
    script = _BLOCKS.format(call=call, call_after=call_after)
    output = subprocess.run(
        [sys.executable, '-c', script], check=True, capture_output=True
    )
    return int(output.stdout)


needs_gnu_library = pytest.mark.skipif(
    _allocator._library('mallopt') is None, reason='needs the GNU C library'
)


# Guards against a node whose resident memory stays high after large messages,
# so that the next ones take it above its limit.
@needs_gnu_library
@pytest.mark.parametrize(
    'calls',
    [
        {'call': '_allocator.fix_thresholds()'},
        {'call_after': '_allocator.trim()'},
    ],
    ids=['thresholds', 'trim'],
)
def test_memory_of_large_blocks_is_given_back(calls):
    assert _kept_bytes(**calls) <= MAX_KEPT_BYTES


def test_library_without_such_functions_is_left_alone(monkeypatch):
    monkeypatch.setattr(_allocator, '_library', lambda _function: None)
    _allocator.fix_thresholds()
    assert not _allocator.trim()
