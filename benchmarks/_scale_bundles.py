"""Distribution of bundles to the nodes of a domain, in virtual time."""

import statistics

from benchmarks import _scale_cluster
from benchmarks import _scale_usage
from rosemarycrank import bundles
from rosemarycrank.bundles import _table
from rosemarycrank import kernel
from rosemarycrank import keys
from rosemarycrank import table_service

SERVICE_COUNT = 1400  # design target of a deployment
CHANGE_PERIOD_S = 86400 / 9800  # 9800 roll-outs a day
BUNDLE_KINDS = ('BundleAnnounce', 'BundleDelta', 'BundlePull', 'BundleWhole')


class Platform:
    """Fake platform that is always available.

    Attributes
    ----------
    reads : int
        Number of requests handled.
    row : Row or None
        Row of the current bundle.
    objects_by_name : dict of str to bytes
        Bodies and deltas of the published bundles.
    trusted_keys : TrustedKeys
        Public keys of the operators who sign and approve bundles.
    """

    def __init__(self, network):
        self.network = network
        self.reads = 0
        self.row = None
        self.objects_by_name = {}
        self._private_keys = {
            name: keys.PrivateKey.from_seed(bytes([number]) * 32)
            for number, name in enumerate(('ana', 'berta'))
        }
        self.trusted_keys = keys.TrustedKeys()
        for name, key in self._private_keys.items():
            self.trusted_keys = self.trusted_keys.with_key(
                name, key.public_key
            )
        self._current_content = None

    def publish(self, version):
        """Publish a bundle whose policy differs from that of the last one."""
        bundle = bundles.Bundle(
            name='target',
            version=version,
            classes_by_name={'read': bundles.RequestClass('read', rank=1)},
            rules=tuple(
                bundles.Rule(_scale_cluster.service_name(number), 'read')
                for number in range(SERVICE_COUNT)
            ),
            services=tuple(
                _scale_cluster.service_name(number)
                for number in range(SERVICE_COUNT)
            ),
            policy=bundles.Policy(max_depth=1 + version % 8),
        )
        content = bundles.content_from_bundle(bundle)
        head = bundles.unsigned_head(content)
        for name, method in (('ana', head.sign), ('berta', None)):
            # Signing returns a new head, which is the one to approve.
            method = method or head.approve
            head = method(name, self._private_keys[name])
        self._store(head, content)

    def handle(self, member, effect):
        """Answer a platform request of a member without delay."""
        self.reads += 1
        operation, value = effect.operation, None
        if isinstance(operation, table_service.ObjectGet):
            value = self.objects_by_name.get(operation.name)
        elif isinstance(operation, table_service.TableList):
            value = []
        elif isinstance(operation, table_service.TableRead):
            value = self.row
        reply = kernel.PlatformReply(effect.operation_id, value=value)
        self.network.handle_event(member, reply)

    def _store(self, head, content):
        base = self._current_content
        self.objects_by_name[bundles.body_name(content.hash)] = (
            content.to_bytes()
        )
        base_hash = ''
        if base is not None:
            base_hash = base.hash
            delta = _table.encode_delta(content.delta_from(base))
            name = _table.delta_name(base_hash, content.hash)
            self.objects_by_name[name] = delta
        self._current_content = content
        version = 1 if self.row is None else self.row.version + 1
        value = bundles.CurrentRow(head, base_hash).to_value()
        self.row = table_service.Row('current', value, version, 'w')


def _bundle_holder(member):
    # The first component is the membership.
    return member.kernel.components[1]


def _all_in_force(network, version):
    return all(
        (current := _bundle_holder(member).current) is not None
        and current.version >= version
        for member in network.by_address.values()
    )


def measure(nodes, seed, rollout_count=6):
    """Measure a domain with a roll-out every ``CHANGE_PERIOD_S``.

    Parameters
    ----------
    nodes : int
        Number of nodes in the domain.
    seed : int
        Seed of all random choices.
    rollout_count : int, default=6
        Number of roll-outs to measure.

    Returns
    -------
    dict
        For each roll-out, the virtual seconds from publication until the
        bundle is in force at all nodes; reads from the platform per second;
        and the mean usage of a node.
    """
    cluster = _scale_cluster.Cluster(1, nodes, seed)
    network = cluster.network
    platform = Platform(network)
    network.on_platform_request = platform.handle
    platform.publish(1)
    for number in range(nodes):
        cluster.start(
            0,
            number,
            make_components=lambda directory: (
                bundles.BundleHolder(directory, platform.trusted_keys),
            ),
        )
    network.run_until(lambda: _all_in_force(network, 1), timeout_s=120)
    network.run(15.0)
    platform.reads = 0
    in_force_s = []
    with _scale_usage.measuring(network):
        for version in range(2, 2 + rollout_count):
            platform.publish(version)
            elapsed_s = network.run_until(
                lambda v=version: _all_in_force(network, v), timeout_s=30
            )
            in_force_s.append(round(elapsed_s, 1))
            network.run(max(0.0, CHANGE_PERIOD_S - elapsed_s))
    return _report(
        network, platform, in_force_s, rollout_count * CHANGE_PERIOD_S
    )


def _report(network, platform, in_force_s, duration_s):
    members = list(network.by_address.values())
    usage = _scale_usage.usage_report(members, duration_s)
    by_kind = usage['by_kind']
    bundle_bytes_s = sum(
        by_kind[kind]['sent_bytes_s']
        for kind in BUNDLE_KINDS
        if kind in by_kind
    )
    return {
        'nodes': len(members),
        'services': SERVICE_COUNT,
        'change_period_s': round(CHANGE_PERIOD_S, 1),
        'in_force_s': in_force_s,
        'in_force_median_s': statistics.median(in_force_s),
        'bundle_sent_bytes_s': round(bundle_bytes_s, 1),
        'platform_reads_s': round(platform.reads / duration_s, 2),
        'usage': usage,
    }
