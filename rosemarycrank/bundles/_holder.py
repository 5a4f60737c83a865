"""Component that holds a node's bundle and replicates it between nodes.

A few pollers in each failure domain read the platform's table about once a
second. A node that accepts a newer bundle announces it for a few rounds to
random nodes of its domain, which pull the changes. Every node also announces
its version to a random node periodically (anti-entropy), so that nodes catch
up after a network partition.
"""

from rosemarycrank.bundles import _content
from rosemarycrank.bundles import _messages
from rosemarycrank.bundles import _model
from rosemarycrank.bundles import _platform_source
from rosemarycrank.bundles import _pollers
from rosemarycrank.bundles import _pull
from rosemarycrank.bundles import _store
from rosemarycrank import kernel

POLLERS_PER_DOMAIN = 3
JITTER_FRACTION = 0.1

#: Rounds in which a newly accepted bundle is announced.
ANNOUNCE_ROUNDS = 6
ANNOUNCE_PERIOD_S = 0.2
ANNOUNCE_FANOUT = 3

#: Time between two anti-entropy announcements to a random node.
ANTI_ENTROPY_PERIOD_S = 1.5

#: Time between two announcements of a node without a bundle. Nodes that have
#: a bundle respond by announcing theirs.
BOOTSTRAP_PERIOD_S = 0.3

#: Bounds of the random delay after which a node that still has no bundle
#: reads the platform.
BOOTSTRAP_PLATFORM_MIN_DELAY_S = 0.8
BOOTSTRAP_PLATFORM_MAX_DELAY_S = 1.8

#: Backoff of further reads by nodes without a bundle that are not pollers.
BOOTSTRAP_BACKOFF_FACTOR = 2.0
BOOTSTRAP_BACKOFF_MAX_S = 8.0


class BundleHolder(kernel.Component):
    """Holds the newest accepted bundle and keeps it up to date.

    Parameters
    ----------
    directory : rosemarycrank.membership.Directory
        Addresses of the other nodes.
    trusted_keys : rosemarycrank.keys.TrustedKeys
        Keys whose signatures are accepted.
    poll_period_s : float, default=1.0
        Seconds between two reads of the table by a poller.
    pollers : int, default=3
        Number of pollers in one failure domain.
    """

    name = 'bundle'
    handles = {
        kernel.PlatformReply: 'on_platform_reply',
        _messages.BundleAnnounce: 'on_announce',
        _messages.BundlePull: 'on_pull',
        _messages.BundleDelta: 'on_delta',
        _messages.BundleWhole: 'on_whole',
    }

    def __init__(
        self,
        directory,
        trusted_keys,
        poll_period_s=1.0,
        pollers=POLLERS_PER_DOMAIN,
    ):
        self.directory = directory
        self.poll_period_s = poll_period_s
        self._store = _store.Store(trusted_keys)
        self._poller_selector = _pollers.PollerSelector(pollers)
        self._accepted_at_s = None
        self._announce_rounds_left = 0

    @property
    def current(self):
        """Bundle in force; None if there is none."""
        current = self._store.current
        return current.bundle if current else None

    def attach(self, context):
        """Create the sources and start the timers."""
        super().attach(context)
        self._source = _platform_source.PlatformSource(
            context, self._store, self._try_accept
        )
        self._puller = _pull.Puller(context, self._store)
        timers = context.timers
        timers.after(self._jittered(self.poll_period_s), self._on_poll_due)
        timers.after(
            context.random.uniform(0, ANTI_ENTROPY_PERIOD_S),
            self._on_anti_entropy_due,
        )
        timers.after(
            context.random.uniform(0, BOOTSTRAP_PERIOD_S),
            self._on_bootstrap_due,
        )
        self._platform_delay_s = context.random.uniform(
            BOOTSTRAP_PLATFORM_MIN_DELAY_S, BOOTSTRAP_PLATFORM_MAX_DELAY_S
        )
        timers.after(self._platform_delay_s, self._on_bootstrap_platform_due)

    def on_platform_reply(self, reply):
        """Pass the platform's answer to the platform source."""
        self._source.on_reply(reply)

    def on_announce(self, sender, message):
        """Pull a newer bundle; answer an older one with an announcement."""
        verdict = self._store.compare(message.version, message.hash)
        if verdict is _store.Verdict.ACCEPTED:
            self._puller.add_source(sender)
        elif verdict is _store.Verdict.OLDER:
            self._announce_to(sender)
        elif verdict is _store.Verdict.CONFLICT:
            self.context.count('bundle.conflict')

    def on_pull(self, sender, message):
        """Send the delta from the sender's bundle, or the whole bundle."""
        current = self._store.current
        if current is None:
            return
        delta = self._store.delta_from(message.base_hash)
        if delta is not None:
            self.context.count('bundle.deltas_sent')
            answer = _messages.BundleDelta(current.head, delta)
        else:
            self.context.count('bundle.wholes_sent')
            answer = _messages.BundleWhole(
                current.head, current.content.sections
            )
        self.context.send(sender, answer)

    def on_delta(self, sender, message):
        """Apply a delta; request the whole bundle if it does not apply."""
        verdict = self._store.check(message.head)
        if verdict is not _store.Verdict.ACCEPTED:
            self.context.count(f'bundle.{verdict.value}')
            return
        content = self._store.apply(message.head, message.delta)
        if content is None:
            self._puller.request_whole(sender)
            return
        self._try_accept(message.head, content)

    def on_whole(self, sender, message):
        """Accept a whole bundle if it is newer and valid."""
        head = message.head
        # Check the head first: hashing all sections is more expensive.
        verdict = self._store.check(head)
        if verdict is not _store.Verdict.ACCEPTED:
            self.context.count(f'bundle.{verdict.value}')
            return
        content = _content.from_sections(
            head.name, head.version, message.sections
        )
        self._try_accept(head, content)

    def dump(self):
        """Return this component's section of the state dump."""
        current = self._store.current
        dump = {
            'version': self._store.version,
            'hash': self._store.hash,
            'accepted_at_s': self._accepted_at_s,
            'is_poller': self._is_poller(),
            'table_reads': self._source.reads,
            'platform_waiting': self._source.pending,
            'platform_failures': self._source.failures,
            'last_error': self._store.last_error,
        }
        if current is not None:
            dump['name'] = current.head.name
            dump['author'] = current.head.author.operator
            dump['approver'] = current.head.approver.operator
            dump['partners_ended'] = sorted(
                partner.name
                for partner in current.bundle.partners_by_name.values()
                if partner.ended
            )
        return dump

    def _try_accept(self, head, content):
        verdict = self._store.try_accept(head, content)
        self.context.count(f'bundle.{verdict.value}')
        if verdict is not _store.Verdict.ACCEPTED:
            return
        self._accepted_at_s = self.context.now
        self._puller.finish()
        self._announce_rounds_left = ANNOUNCE_ROUNDS
        self._announce_round(head.version)
        self.context.publish(_model.BundleAccepted(self.current))

    def _announce_round(self, version):
        # A newer bundle has its own rounds of announcements.
        if version != self._store.version or self._announce_rounds_left == 0:
            return
        self._announce_rounds_left -= 1
        peers = self._peers()
        count = min(ANNOUNCE_FANOUT, len(peers))
        for address in self.context.random.sample(peers, count):
            self._announce_to(address)
        if self._is_poller():
            self._announce_to_remote_domain()
        self.context.timers.after(
            ANNOUNCE_PERIOD_S, lambda now: self._announce_round(version)
        )

    def _announce_to_remote_domain(self):
        remote = self._remote_peers()
        if remote:
            self._announce_to(self.context.random.choice(remote))

    def _announce_to(self, address):
        announce = _messages.BundleAnnounce(
            self._store.version, self._store.hash
        )
        self.context.send(address, announce)

    def _on_poll_due(self, now):
        self.context.timers.after(
            self._jittered(self.poll_period_s), self._on_poll_due
        )
        # A node without a bundle asks its peers first, so that the nodes of
        # a domain that all start together do not all read the platform.
        if self._store.current is not None and self._is_poller():
            self._source.poll()
            self._announce_to_remote_domain()

    def _on_anti_entropy_due(self, now):
        self.context.timers.after(
            self._jittered(ANTI_ENTROPY_PERIOD_S), self._on_anti_entropy_due
        )
        self._announce_to_random_node()

    def _on_bootstrap_due(self, now):
        if self._store.current is not None:
            return
        self.context.timers.after(
            self._jittered(BOOTSTRAP_PERIOD_S), self._on_bootstrap_due
        )
        self._announce_to_random_node()

    def _on_bootstrap_platform_due(self, now):
        if self._store.current is not None:
            return
        self._source.poll()
        if not self._is_poller():
            self._platform_delay_s = min(
                BOOTSTRAP_BACKOFF_MAX_S,
                self._platform_delay_s * BOOTSTRAP_BACKOFF_FACTOR,
            )
        delay_s = (
            self.poll_period_s if self._is_poller() else self._platform_delay_s
        )
        self.context.timers.after(
            self._jittered(delay_s), self._on_bootstrap_platform_due
        )

    def _announce_to_random_node(self):
        peers = self._peers()
        if peers:
            self._announce_to(self.context.random.choice(peers))
        if self._store.current is None or not peers:
            self._announce_to_remote_domain()

    def _peers(self):
        own = self.context.address
        return [a for a in self.directory.members() if a != own]

    def _remote_peers(self):
        remote_members = getattr(self.directory, 'remote_members', None)
        return list(remote_members()) if remote_members else []

    def _is_poller(self):
        members = self.directory.members()
        return self.context.address in self._poller_selector.select(members)

    def _jittered(self, seconds):
        return seconds * self.context.random.uniform(
            1 - JITTER_FRACTION, 1 + JITTER_FRACTION
        )
