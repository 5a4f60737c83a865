"""The local upstream as it announces itself, and as a target of nodes."""

from rosemarycrank import balancing
from rosemarycrank import results

#: Time without an announcement, in seconds, after which the upstream is taken
#: to have stopped.
ANNOUNCEMENT_VALIDITY_S = 4.0


class LocalUpstream:
    """State of the local upstream, published while it accepts attempts.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    directory : rosemarycrank.membership.Directory
        Membership, to which the upstream is published as a target.
    failure_domain : str
        Failure domain of this VM.

    Attributes
    ----------
    announced : rosemarycrank.kernel.UpstreamAnnounced or None
        Last announcement; None if there is none.
    draining : bool
        Whether a drain has begun.
    ended_partners : set of str
        Partners whose upstreams get no attempts.
    """

    def __init__(self, context, directory, failure_domain):
        self.context = context
        self.directory = directory
        self.failure_domain = failure_domain
        self.announced = None
        self.draining = False
        self.ended_partners = set()
        self._last_announced_at = 0.0

    def announce(self, announcement):
        """Record an announcement of the upstream.

        Parameters
        ----------
        announcement : rosemarycrank.kernel.UpstreamAnnounced
            The announcement.

        Returns
        -------
        bool
            Whether it differs from the previous one.
        """
        self._last_announced_at = self.context.now
        if announcement == self.announced:
            return False
        self.announced = announcement
        self.context.count('target.upstream_announced')
        self._publish()
        return True

    def withdraw(self):
        """Withdraw the upstream."""
        self.announced = None
        self.context.count('target.upstream_withdrawn')
        self._publish()

    def withdraw_if_silent(self):
        """Withdraw the upstream if its last announcement is too old."""
        age_s = self.context.now - self._last_announced_at
        if self.announced is not None and age_s > ANNOUNCEMENT_VALIDITY_S:
            self.context.count('target.upstream_silent')
            self.withdraw()

    def start_drain(self):
        """Accept no more attempts from now on."""
        self.draining = True
        self._publish()

    def end_partner(self, partner):
        """Accept no more attempts if a given partner runs the upstream.

        Parameters
        ----------
        partner : str
            Name of the partner.
        """
        if partner not in self.ended_partners:
            self.ended_partners.add(partner)
            self._publish()

    def refusal_result(self):
        """Return why the upstream accepts no attempts.

        Returns
        -------
        rosemarycrank.results.Result or None
            None if it accepts attempts.
        """
        if self.draining:
            return results.Result.LEAVING
        if self.announced is None:
            return results.Result.NO_TARGET
        if self.announced.partner in self.ended_partners:
            return results.Result.PARTNER_LEFT
        return None

    def _publish(self):
        if self.refusal_result() is not None:
            self.directory.set_local_target(None)
            return
        self.directory.set_local_target(
            balancing.Target(
                address=self.context.address,
                incarnation=self.context.incarnation,
                service=self.announced.service,
                failure_domain=self.failure_domain,
                partner=self.announced.partner,
                slots=self.announced.slots,
            )
        )
