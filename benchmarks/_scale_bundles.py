"""Spreading of bundles over real membership, in virtual time."""

import statistics

from benchmarks import _scale_scenarios
from rosemarycrank import bundles
from rosemarycrank.bundles import _table
from rosemarycrank import kernel
from rosemarycrank import keys
from rosemarycrank import table_service

SERVICES = 1400
CHANGE_PERIOD_S = 86400 / 9800
BUNDLE_KINDS = ('BundleAnnounce', 'BundleDelta', 'BundlePull', 'BundleWhole')


class Platform:
    """The table's current row and the bodies of bundles, always up."""

    def __init__(self, network):
        self.network = network
        self.reads = 0
        self.row = None
        self.by_name = {}
        self._private_keys = {
            name: keys.PrivateKey.from_seed(bytes([number]) * 32)
            for number, name in enumerate(('ana', 'berta'))
        }
        self.trusted = keys.TrustedKeys()
        for name, key in self._private_keys.items():
            self.trusted = self.trusted.with_key(name, key.public_key)
        self._content = None

    def publish(self, version):
        """Write a bundle of the target size that changes one class."""
        bundle = bundles.Bundle(
            name='target',
            version=version,
            classes_by_name={'read': bundles.RequestClass('read', rank=1)},
            rules=tuple(
                bundles.Rule(_scale_scenarios.service_name(number), 'read')
                for number in range(SERVICES)
            ),
            services=tuple(
                _scale_scenarios.service_name(number)
                for number in range(SERVICES)
            ),
            policy=bundles.Policy(max_depth=1 + version % 8),
        )
        content = bundles.content_from_bundle(bundle)
        head = bundles.unsigned_head(content)
        for name, act in (('ana', head.sign), ('berta', None)):
            act = act or head.approve
            head = act(name, self._private_keys[name])
        self._store(head, content)

    def handle(self, member, effect):
        """Answer a request of a member at once."""
        self.reads += 1
        operation, value = effect.operation, None
        if isinstance(operation, table_service.ObjectGet):
            value = self.by_name.get(operation.name)
        elif isinstance(operation, table_service.TableList):
            value = []
        elif isinstance(operation, table_service.TableRead):
            value = self.row
        reply = kernel.PlatformReply(effect.operation_id, value=value)
        self.network.hand(member, reply)

    def _store(self, head, content):
        base = self._content
        self.by_name[bundles.body_name(content.hash)] = content.to_bytes()
        base_hash = ''
        if base is not None:
            base_hash = base.hash
            delta = _table.encode_delta(content.delta_from(base))
            name = _table.delta_name(base_hash, content.hash)
            self.by_name[name] = delta
        self._content = content
        version = 1 if self.row is None else self.row.version + 1
        value = bundles.CurrentRow(head, base_hash).to_value()
        self.row = table_service.Row('current', value, version, 'w')


def _holder(member):
    return member.kernel.components[1]


def _in_force(network, version):
    return all(
        (current := _holder(member).current) is not None
        and current.version >= version
        for member in network.by_address.values()
    )


def measure(nodes, seed, changes=6):
    """Measure a domain in which bundles change at the target rate.

    Parameters
    ----------
    nodes : int
        Nodes of the domain.
    seed : int
        Seed of everything random.
    changes : int, default=6
        Roll-outs to measure.

    Returns
    -------
    dict
        Seconds from the write to the last node, and usage a node.
    """
    site = _scale_scenarios.Site(1, nodes, seed)
    network = site.network
    service = Platform(network)
    network.platform = service.handle
    service.publish(1)
    for number in range(nodes):
        site.start(
            0,
            number,
            make_others=lambda directory: (
                bundles.BundleHolder(directory, service.trusted),
            ),
        )
    network.run_until(lambda: _in_force(network, 1), limit_s=120)
    network.run(15.0)
    network.measure = True
    network.reset_usage()
    service.reads = 0
    in_force_s = []
    for version in range(2, 2 + changes):
        service.publish(version)
        took_s = network.run_until(
            lambda v=version: _in_force(network, v), limit_s=30
        )
        in_force_s.append(round(took_s, 1))
        network.run(max(0.0, CHANGE_PERIOD_S - took_s))
    network.measure = False
    return _report(network, service, in_force_s, changes * CHANGE_PERIOD_S)


def _report(network, service, in_force_s, duration_s):
    members = list(network.by_address.values())
    usage = _scale_scenarios.usage_report(members, duration_s)
    by_kind = usage['by_kind']
    bundle_bytes_s = sum(
        by_kind[kind]['sent_bytes_s']
        for kind in BUNDLE_KINDS
        if kind in by_kind
    )
    return {
        'nodes': len(members),
        'services': SERVICES,
        'change_period_s': round(CHANGE_PERIOD_S, 1),
        'in_force_s': in_force_s,
        'in_force_median_s': statistics.median(in_force_s),
        'bundle_sent_bytes_s': round(bundle_bytes_s, 1),
        'platform_reads_s': round(service.reads / duration_s, 2),
        'usage': usage,
    }
