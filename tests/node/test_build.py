"""Construction of a node's kernel."""

import pytest

from rosemarycrank import keys
from rosemarycrank import node
from rosemarycrank import settings

NOW = 5000.0


@pytest.fixture
def kernel():
    values = {
        'address': '127.0.0.1:12002',
        'http_address': '127.0.0.1:0',
        'admin_address': '127.0.0.1:0',
        'failure_domain': 'escazu',
        'cluster_key_file': 'key',
        'seed': 7,
    }
    checked = settings.build(settings.NodeSettings, values)
    trusted = keys.TrustedKeys()
    return node.build_kernel(checked, b'k' * 32, trusted, NOW, 1)


def test_timers_keep_their_delays(kernel):
    """Timers are started against the clock that drives the kernel.

    If the kernel's clock were still 0 while components start their timers,
    all timers would be overdue at the first event.
    """
    assert NOW < kernel.next_due() < NOW + 1.0
    assert kernel.advance(NOW) == []


def test_the_dump_has_a_section_for_each_component(kernel):
    sections = kernel.dump()
    assert {'membership', 'bundle', 'ledger', 'target', 'entry'} <= set(
        sections
    )
