"""Failure detection by direct probes, then by probes via other nodes."""

import attrs

from rosemarycrank.membership import _messages

INDIRECT_PROBE_COUNT = 3
RELAY_LIFETIME_S = 3.0


@attrs.define
class _Probe:
    address: str
    indirect_due_at: float
    times_out_at: float
    indirect_sent: bool = False


@attrs.define
class _RelayedProbe:
    requester: str
    nonce: int
    expires_at: float


def new_nonce(context):
    """Return a number that identifies a request of this node.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.

    Returns
    -------
    int
        Random odd number of 32 bits; never 0.
    """
    return context.random.getrandbits(32) | 1


class Prober:
    """Probes one node per period and reports the nodes that do not reply.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    period_s : float
        Seconds between probes, and until a probe times out.
    ack_timeout_s : float
        Seconds without a reply after which other nodes are asked to probe
        the node.
    make_ping : callable
        Takes a nonce, returns a `Ping`.
    on_timeout : callable
        Called with the address of a node that did not reply within
        ``period_s``.
    """

    def __init__(
        self, context, period_s, ack_timeout_s, make_ping, on_timeout
    ):
        self.context = context
        self.period_s = period_s
        self.ack_timeout_s = ack_timeout_s
        self._make_ping = make_ping
        self._on_timeout = on_timeout
        self._next_probe_at = 0.0
        self._probe_order = []
        self._candidates = ()
        self._probe_by_nonce = {}
        self._relay_by_nonce = {}

    def tick(self, now, candidates):
        """Check pending probes, and probe the next node when due.

        Parameters
        ----------
        now : float
            Current time in seconds.
        candidates : sequence of str
            Addresses of the other nodes that are considered running.
        """
        self._check_probes(now, candidates)
        self._expire_relays(now)
        if now >= self._next_probe_at:
            jitter = self.context.random.uniform(0.9, 1.1)
            self._next_probe_at = now + self.period_s * jitter
            self._probe_next(now, candidates)

    def postpone_deadlines(self, delay_s):
        """Postpone the deadlines of all probes after a pause.

        Parameters
        ----------
        delay_s : float
            Length of the pause of this process, in seconds.
        """
        for probe in self._probe_by_nonce.values():
            probe.indirect_due_at += delay_s
            probe.times_out_at += delay_s

    def relay(self, requester, request, now):
        """Probe a node on behalf of another node.

        Parameters
        ----------
        requester : str
            Address of the requesting node.
        request : PingRequest
            Its request.
        now : float
            Current time in seconds.
        """
        nonce = new_nonce(self.context)
        self._relay_by_nonce[nonce] = _RelayedProbe(
            requester, request.nonce, now + RELAY_LIFETIME_S
        )
        self.context.send(request.address, self._make_ping(nonce))

    def on_ack(self, ack):
        """Handle the reply to a probe, and relay it if so requested.

        Parameters
        ----------
        ack : Ack
            The reply.

        Returns
        -------
        bool
            Whether it belongs to a pending probe of this node.
        """
        relay = self._relay_by_nonce.pop(ack.nonce, None)
        if relay is not None:
            self.context.send(
                relay.requester, _messages.Ack(relay.nonce, ack.address)
            )
        return self._probe_by_nonce.pop(ack.nonce, None) is not None

    def _probe_next(self, now, candidates):
        if candidates is not self._candidates:
            self._update_order(candidates)
        if not self._probe_order:
            # Each round probes every node once, in random order. Thus a
            # failed node is probed within a bounded time, which independent
            # random choices would not guarantee.
            self._probe_order = list(candidates)
            self.context.random.shuffle(self._probe_order)
        if self._probe_order:
            self._probe(self._probe_order.pop(), now)

    def _update_order(self, candidates):
        known = set(self._candidates)
        present = set(candidates)
        self._candidates = candidates
        self._probe_order = [
            address for address in self._probe_order if address in present
        ]
        for address in candidates:
            if address not in known:
                # Inserted into the current round, since the next one may
                # start minutes later.
                position = self.context.random.randint(
                    0, len(self._probe_order)
                )
                self._probe_order.insert(position, address)

    def _probe(self, address, now):
        nonce = new_nonce(self.context)
        self._probe_by_nonce[nonce] = _Probe(
            address, now + self.ack_timeout_s, now + self.period_s
        )
        self.context.send(address, self._make_ping(nonce))

    def _check_probes(self, now, candidates):
        for nonce, probe in list(self._probe_by_nonce.items()):
            if probe.times_out_at <= now:
                del self._probe_by_nonce[nonce]
                self._on_timeout(probe.address)
            elif probe.indirect_due_at <= now and not probe.indirect_sent:
                probe.indirect_sent = True
                self._probe_indirectly(nonce, probe.address, candidates)

    def _probe_indirectly(self, nonce, address, candidates):
        helpers = [
            candidate for candidate in candidates if candidate != address
        ]
        count = min(INDIRECT_PROBE_COUNT, len(helpers))
        for helper in self.context.random.sample(helpers, count):
            self.context.send(helper, _messages.PingRequest(nonce, address))

    def _expire_relays(self, now):
        for nonce, relay in list(self._relay_by_nonce.items()):
            if relay.expires_at <= now:
                del self._relay_by_nonce[nonce]
