"""Choice of the target of an attempt."""

import abc

from rosemarycrank import kernel

#: Usual time of a run assumed of a target that has not answered yet, s.
UNKNOWN_SERVICE_S = 0.03

#: Share of a route's aim that a request may take longer in the own failure
#: domain before it goes to another one.
AWAY_SHARE = 0.15

#: Share of choices that go to any target, so that a slow or new one is
#: heard of.
EXPLORED_SHARE = 0.02

#: Share of its usual time by which a full target is dearer than an empty one.
FULL_SHARE = 0.2

#: How much dearer a second in a queue is than a second at work. With 1, fast
#: targets would build queues as long as the time that a slow one takes more,
#: and the slow one's room would be lost when the service is short of it.
QUEUE_WEIGHT = 4.0

#: Targets compared for one choice; more are sampled, so that the cost of a
#: choice does not grow with the service.
MOST_COMPARED = 8


class TargetChooser(abc.ABC):
    """Chooses among the targets of a service.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this node.
    random : random.Random
        Random source.
    """

    def __init__(self, failure_domain, random):
        self.failure_domain = failure_domain
        self.random = random

    @abc.abstractmethod
    def choose(self, records, peers_by_node, aim_s):
        """Choose a target.

        Parameters
        ----------
        records : sequence of TargetRecord
            Candidates; at least one.
        peers_by_node : dict of str to Peer
            State of the nodes that were called before.
        aim_s : float
            Time within which the answer is worth most, in seconds.

        Returns
        -------
        TargetRecord
            The choice.
        """


@kernel.register('target_chooser', 'random')
class RandomTarget(TargetChooser):
    """Baseline: any target, without regard to load or place."""

    def choose(self, records, peers_by_node, aim_s):
        """Choose a target at random."""
        return self.random.choice(records)


@kernel.register('target_chooser', 'expected_finish')
class ExpectedFinish(TargetChooser):
    """The target that is expected to answer first, the own domain first.

    What a node reported last, and what was sent to it since, give the time
    until a new attempt would end there.
    """

    def choose(self, records, peers_by_node, aim_s):
        """Choose the target with the least expected time."""
        if len(records) == 1:
            return records[0]
        if self.random.random() < EXPLORED_SHARE:
            return self.random.choice(records)
        if len(records) > MOST_COMPARED:
            records = self._sample(records)
        best, best_s = None, 0.0
        for record in records:
            cost_s = self._expected_s(record, peers_by_node.get(record.node))
            if record.failure_domain != self.failure_domain:
                cost_s += AWAY_SHARE * aim_s
            cost_s *= 1.0 + 0.02 * self.random.random()
            if best is None or cost_s < best_s:
                best, best_s = record, cost_s
        return best

    def _sample(self, records):
        near = [
            record
            for record in records
            if record.failure_domain == self.failure_domain
        ]
        half = MOST_COMPARED // 2
        if len(near) > half:
            near = self.random.sample(near, half)
        return near + self.random.sample(records, MOST_COMPARED - len(near))

    @staticmethod
    def _expected_s(record, peer):
        if peer is None or peer.load is None:
            outstanding = peer.outstanding if peer is not None else 0
            slots = record.slots or 1
            return UNKNOWN_SERVICE_S * max(1.0, (outstanding + 1) / slots)
        load = peer.load
        limit = load.limit or 1
        ahead = load.running + load.waiting + peer.sent_since_load + 1
        service_s = load.service_s or UNKNOWN_SERVICE_S
        # A nearly full target is a little dearer than an empty one.
        cost_s = service_s * (1.0 + FULL_SHARE * min(1.0, ahead / limit))
        if ahead > limit:
            cost_s += QUEUE_WEIGHT * service_s * (ahead - limit) / limit
        return cost_s
