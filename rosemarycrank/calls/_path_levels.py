"""Shedding thresholds of the services downstream, as seen from a caller.

A service sheds a request if ``rank + shed_hash`` of the request reaches the
service's threshold; every hop compares the same number. Replies carry the
lowest threshold among the services downstream. A node can therefore refuse a
request that would be shed further down before any hop has worked on it.
Shedding requests in the same order at every hop follows [1]_.

References
----------
.. [1] H. Zhou et al., "Overload Control for Scaling WeChat Microservices",
   ACM Symposium on Cloud Computing, 2018.
"""

import math

import attrs

#: Threshold of a service that sheds no requests.
NO_THRESHOLD = math.inf


@attrs.define
class _Estimate:
    threshold: float
    received_at: float


class DownstreamThresholds:
    """Moving averages of thresholds by service and request class.

    Parameters
    ----------
    time_constant_s : float, default=0.3
        Time constant of the moving average, in seconds. The longer the
        interval since the previous reply, the more weight a reply has: if
        replies are rare, the average is close to the last one.
    validity_s : float, default=1.0
        Time without a reply, in seconds, after which a threshold is stale
        and is dropped.
    probe_share : float, default=0.02
        Share of requests that are let through although they reach the
        threshold, so that replies keep updating it.
    """

    def __init__(self, time_constant_s=0.3, validity_s=1.0, probe_share=0.02):
        self.time_constant_s = time_constant_s
        self.validity_s = validity_s
        self.probe_share = probe_share
        self._estimate_by_key = {}

    def update(self, key, threshold, max_threshold, now):
        """Update the moving average with the threshold from a reply.

        Parameters
        ----------
        key : tuple of (str, str)
            Service and name of the request class.
        threshold : float
            Lowest threshold among the services downstream.
        max_threshold : float
            Threshold that no request reaches.
        now : float
            Current time in seconds.
        """
        threshold = min(threshold, max_threshold)
        estimate = self._estimate_by_key.get(key)
        if estimate is None or now - estimate.received_at > self.validity_s:
            if threshold < max_threshold:
                self._estimate_by_key[key] = _Estimate(threshold, now)
            return
        weight = 1.0 - math.exp(
            -(now - estimate.received_at) / self.time_constant_s
        )
        estimate.threshold += weight * (threshold - estimate.threshold)
        estimate.received_at = now

    def threshold(self, key):
        """Return the current estimate of a threshold.

        Parameters
        ----------
        key : tuple of (str, str)
            Service and name of the request class.

        Returns
        -------
        float
            Infinite if there is no estimate.
        """
        estimate = self._estimate_by_key.get(key)
        return NO_THRESHOLD if estimate is None else estimate.threshold

    def should_shed(self, key, score, now, random):
        """Return whether to refuse a request that would be shed downstream.

        Parameters
        ----------
        key : tuple of (str, str)
            Service and name of the request class.
        score : float
            ``rank + shed_hash`` of the request.
        now : float
            Current time in seconds.
        random : random.Random
            Random source that selects the probes.

        Returns
        -------
        bool
            True if this node is to refuse the request.
        """
        estimate = self._estimate_by_key.get(key)
        if estimate is None:
            return False
        if now - estimate.received_at > self.validity_s:
            del self._estimate_by_key[key]
            return False
        return (
            score >= estimate.threshold and random.random() >= self.probe_share
        )

    def dump(self):
        """Return the thresholds for the state dump.

        Returns
        -------
        dict of str to float
            Thresholds by service and request class.
        """
        return {
            f'{service}/{class_name}': round(estimate.threshold, 3)
            for (service, class_name), estimate in (
                self._estimate_by_key.items()
            )
        }
