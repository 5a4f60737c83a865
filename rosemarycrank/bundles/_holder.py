"""Component that keeps a node's bundle and spreads news of it.

A few pollers in each failure domain read the platform's table about once a
second. A node that accepts a newer bundle announces it for a few rounds to
random nodes of its domain, which pull the changes. Every node also compares
versions with a random node from time to time, so that one that was cut off
catches up.
"""

from rosemarycrank.bundles import _content
from rosemarycrank.bundles import _messages
from rosemarycrank.bundles import _model
from rosemarycrank.bundles import _platform_source
from rosemarycrank.bundles import _pollers
from rosemarycrank.bundles import _pull
from rosemarycrank.bundles import _store
from rosemarycrank import kernel

POLLERS = 3
JITTER = 0.1

#: Rounds in which a newly accepted bundle is announced.
ANNOUNCE_ROUNDS = 6
ANNOUNCE_PERIOD_S = 0.2
ANNOUNCE_FANOUT = 3

#: Time between two comparisons with a random node.
COMPARE_PERIOD_S = 1.5

#: A node without a bundle asks its peers this often, and turns to the
#: platform after a random delay between these bounds.
BOOTSTRAP_PERIOD_S = 0.3
BOOTSTRAP_PLATFORM_MIN_S = 0.8
BOOTSTRAP_PLATFORM_MAX_S = 1.8
BOOTSTRAP_BACKOFF = 2.0
BOOTSTRAP_LONGEST_S = 8.0


class BundleHolder(kernel.Component):
    """Keeps the newest accepted bundle.

    Parameters
    ----------
    directory : rosemarycrank.membership.Directory
        Tells the other nodes.
    trusted_keys : rosemarycrank.keys.TrustedKeys
        Whose signatures count.
    poll_period_s : float, default=1.0
        Seconds between two reads of the table by a poller.
    pollers : int, default=3
        Pollers in one failure domain.
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
        self, directory, trusted_keys, poll_period_s=1.0, pollers=POLLERS
    ):
        self.directory = directory
        self.poll_period_s = poll_period_s
        self._store = _store.Store(trusted_keys)
        self._pollers = _pollers.Pollers(pollers)
        self._accepted_at = None
        self._rounds_left = 0

    @property
    def current(self):
        """Bundle in force, or None."""
        held = self._store.held
        return held.bundle if held else None

    def attach(self, context):
        """Start the timers."""
        super().attach(context)
        self._source = _platform_source.PlatformSource(
            context, self._store, self._take
        )
        self._puller = _pull.Puller(context, self._store)
        timers = context.timers
        timers.after(self._jittered(self.poll_period_s), self._on_poll_due)
        timers.after(
            context.random.uniform(0, COMPARE_PERIOD_S), self._on_compare_due
        )
        timers.after(
            context.random.uniform(0, BOOTSTRAP_PERIOD_S),
            self._on_bootstrap_due,
        )
        self._platform_delay_s = context.random.uniform(
            BOOTSTRAP_PLATFORM_MIN_S, BOOTSTRAP_PLATFORM_MAX_S
        )
        timers.after(self._platform_delay_s, self._on_bootstrap_platform_due)

    def on_platform_reply(self, reply):
        """Hand the platform's answer to the reader."""
        self._source.on_reply(reply)

    def on_announce(self, sender, message):
        """Pull what is newer; tell the sender when it is behind."""
        verdict = self._store.compare(message.version, message.hash)
        if verdict is _store.Verdict.ACCEPTED:
            self._puller.hear(sender)
        elif verdict is _store.Verdict.OLDER:
            self._announce_to(sender)
        elif verdict is _store.Verdict.CONFLICT:
            self.context.count('bundle.conflict')

    def on_pull(self, sender, message):
        """Send the changes since the sender's version, or the whole."""
        held = self._store.held
        if held is None:
            return
        delta = self._store.delta_from(message.base_hash)
        if delta is not None:
            self.context.count('bundle.deltas_sent')
            answer = _messages.BundleDelta(held.head, delta)
        else:
            self.context.count('bundle.wholes_sent')
            answer = _messages.BundleWhole(held.head, held.content.sections)
        self.context.send(sender, answer)

    def on_delta(self, sender, message):
        """Apply a delta, or ask for the whole when it does not fit."""
        verdict = self._store.check(message.head)
        if verdict is not _store.Verdict.ACCEPTED:
            self.context.count(f'bundle.{verdict.value}')
            return
        content = self._store.apply(message.head, message.delta)
        if content is None:
            self._puller.ask_whole(sender)
            return
        self._take(message.head, content)

    def on_whole(self, sender, message):
        """Take a whole bundle."""
        head = message.head
        # Hashing all sections costs more than the check of the head.
        verdict = self._store.check(head)
        if verdict is not _store.Verdict.ACCEPTED:
            self.context.count(f'bundle.{verdict.value}')
            return
        content = _content.from_sections(
            head.name, head.version, message.sections
        )
        self._take(head, content)

    def dump(self):
        """Return the state for the state dump."""
        held = self._store.held
        dump = {
            'version': self._store.version,
            'hash': self._store.hash,
            'accepted_at_s': self._accepted_at,
            'is_poller': self._is_poller(),
            'table_reads': self._source.reads,
            'platform_waiting': self._source.waiting,
            'platform_failures': self._source.failures,
            'last_error': self._store.last_error,
        }
        if held is not None:
            dump['name'] = held.head.name
            dump['author'] = held.head.author.operator
            dump['approver'] = held.head.approver.operator
            dump['partners_ended'] = sorted(
                partner.name
                for partner in held.bundle.partners_by_name.values()
                if partner.ended
            )
        return dump

    def _take(self, head, content):
        verdict = self._store.offer(head, content)
        self.context.count(f'bundle.{verdict.value}')
        if verdict is not _store.Verdict.ACCEPTED:
            return
        self._accepted_at = self.context.now
        self._puller.done()
        self._rounds_left = ANNOUNCE_ROUNDS
        self._announce_round(head.version)
        self.context.publish(_model.BundleAccepted(self.current))

    def _announce_round(self, version):
        # A newer acceptance starts rounds of its own.
        if version != self._store.version or self._rounds_left == 0:
            return
        self._rounds_left -= 1
        peers = self._peers()
        count = min(ANNOUNCE_FANOUT, len(peers))
        for address in self.context.random.sample(peers, count):
            self._announce_to(address)
        if self._is_poller():
            self._announce_to_remote()
        self.context.timers.after(
            ANNOUNCE_PERIOD_S, lambda now: self._announce_round(version)
        )

    def _announce_to_remote(self):
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
        # A node without a bundle asks its peers first: a whole domain that
        # starts at once must not read the platform at once.
        if self._store.held is not None and self._is_poller():
            self._source.poll()
            self._announce_to_remote()

    def _on_compare_due(self, now):
        self.context.timers.after(
            self._jittered(COMPARE_PERIOD_S), self._on_compare_due
        )
        self._announce_to_any()

    def _on_bootstrap_due(self, now):
        if self._store.held is not None:
            return
        self.context.timers.after(
            self._jittered(BOOTSTRAP_PERIOD_S), self._on_bootstrap_due
        )
        self._announce_to_any()

    def _on_bootstrap_platform_due(self, now):
        if self._store.held is not None:
            return
        self._source.poll()
        if not self._is_poller():
            self._platform_delay_s = min(
                BOOTSTRAP_LONGEST_S, self._platform_delay_s * BOOTSTRAP_BACKOFF
            )
        delay_s = (
            self.poll_period_s if self._is_poller() else self._platform_delay_s
        )
        self.context.timers.after(
            self._jittered(delay_s), self._on_bootstrap_platform_due
        )

    def _announce_to_any(self):
        peers = self._peers()
        if peers:
            self._announce_to(self.context.random.choice(peers))
        if self._store.held is None or not peers:
            self._announce_to_remote()

    def _peers(self):
        own = self.context.address
        return [a for a in self.directory.members() if a != own]

    def _remote_peers(self):
        remote_members = getattr(self.directory, 'remote_members', None)
        return list(remote_members()) if remote_members else []

    def _is_poller(self):
        members = self.directory.members()
        return self.context.address in self._pollers.chosen(members)

    def _jittered(self, seconds):
        return seconds * self.context.random.uniform(1 - JITTER, 1 + JITTER)
