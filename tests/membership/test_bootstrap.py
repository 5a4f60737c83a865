"""Joining through the seeds, and through the platform's seed table."""

import pytest

from rosemarycrank import kernel
from rosemarycrank import table_service


class FakeSeedTable:
    """The platform's seed table, with conditional writes."""

    def __init__(self, network):
        self.network = network
        self.by_key = {}
        self.error = ''
        self.write_count = 0

    def handle(self, member, effect):
        value = None if self.error else self._apply(effect.operation)
        reply = kernel.PlatformReply(
            effect.operation_id, self.error, value=value
        )
        self.network.handle_event(member, reply)

    def _apply(self, operation):
        if isinstance(operation, table_service.TableList):
            return list(self.by_key.values())
        row = self.by_key.get(operation.key)
        version = 0 if row is None else row.version
        if operation.expected_version != version:
            return table_service.WriteResult(False, row)
        self.write_count += 1
        self.by_key[operation.key] = table_service.Row(
            operation.key, operation.value, version + 1, operation.write_id
        )
        return table_service.WriteResult(True, self.by_key[operation.key])


@pytest.fixture
def table(network):
    table = FakeSeedTable(network)
    network.on_platform_request = table.handle
    return table


def test_nodes_without_seeds_join_through_the_table(network, table):
    for domain in 'ab':
        for number in range(4):
            address = f'{domain}{number}:1'
            network.start(address, domain, seeds=()).announce('gallery')
    network.run(120)
    for member in network.by_address.values():
        assert len(member.target_addresses('gallery')) == 8


def test_unchanged_bridges_write_their_rows_once(network, table, start_domain):
    start_domain(network, 4)
    network.run(3600)
    assert sorted(table.by_key) == ['a.0', 'a.1', 'a.2']
    assert table.write_count == 3


def test_seeds_suffice_while_the_platform_is_down(network, table, start_site):
    table.error = 'down'
    start_site(network, 4)
    for member in network.by_address.values():
        assert len(member.target_addresses('gallery')) == 12


# Guards against a failure domain that does not find the others, as another
# writer has left something else among the seeds.
@pytest.mark.parametrize(
    'value',
    [
        {},
        [],
        None,
        {'address': 3},
        {'address': ['a0:1']},
        {'address': 'nowhere'},
        {'address': 'vm:99999'},
        {'address': 'vm:0'},
    ],
)
def test_odd_seed_is_ignored(network, table, value):
    table.by_key[''] = table_service.Row('', value, 1, 'w')
    for domain in 'ab':
        address = f'{domain}0:1'
        network.start(address, domain, seeds=()).announce('gallery')
    network.run(120)
    for member in network.by_address.values():
        assert len(member.target_addresses('gallery')) == 2


def test_platform_replies_to_other_components_are_ignored(network, table):
    member = network.start('a0:1', 'a', seeds=())
    reply = kernel.PlatformReply('bundles-1', value=[object()])
    assert member.kernel.handle(reply, network.now) == []
