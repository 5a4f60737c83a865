"""Shedding levels further down the call graph, as seen from the front.

A request is shed where ``rank + shed_hash`` reaches a threshold; the same
number is compared at every hop. What the services below a call shed comes
back with its answers, so that a request which would fail there is refused
before any hop has worked on it. Refusing by one order of requests at every
hop follows [1]_.

References
----------
.. [1] H. Zhou et al., "Overload Control for Scaling WeChat Microservices",
   ACM Symposium on Cloud Computing, 2018.
"""

import math

import attrs

#: Threshold of a service that sheds nothing.
NO_THRESHOLD = math.inf


@attrs.define
class _Level:
    threshold: float
    heard_at: float


class PathLevels:
    """Thresholds by service and class of request.

    Parameters
    ----------
    smoothing_s : float, default=0.3
        Time constant of the mean, in seconds. A node that hears little
        follows each answer; one that hears much follows the mean.
    validity_s : float, default=1.0
        Seconds without an answer after which a threshold is dropped.
    probe_share : float, default=0.02
        Share of requests that pass although they reach the threshold.
    """

    def __init__(self, smoothing_s=0.3, validity_s=1.0, probe_share=0.02):
        self.smoothing_s = smoothing_s
        self.validity_s = validity_s
        self.probe_share = probe_share
        self._level_by_key = {}

    def heard(self, key, threshold, highest, now):
        """Take the threshold that came with an answer.

        Parameters
        ----------
        key : tuple of (str, str)
            Service and name of the class.
        threshold : float
            Lowest threshold among the services below.
        highest : float
            Threshold that no request reaches.
        now : float
            Current time in seconds.
        """
        threshold = min(threshold, highest)
        level = self._level_by_key.get(key)
        if level is None or now - level.heard_at > self.validity_s:
            if threshold < highest:
                self._level_by_key[key] = _Level(threshold, now)
            return
        weight = 1.0 - math.exp(-(now - level.heard_at) / self.smoothing_s)
        level.threshold += weight * (threshold - level.threshold)
        level.heard_at = now

    def threshold(self, key):
        """Return the threshold as last heard.

        Parameters
        ----------
        key : tuple of (str, str)
            Service and name of the class.

        Returns
        -------
        float
            Infinite when nothing is shed.
        """
        level = self._level_by_key.get(key)
        return NO_THRESHOLD if level is None else level.threshold

    def sheds(self, key, score, now, random):
        """Return whether a request would be shed further down.

        Parameters
        ----------
        key : tuple of (str, str)
            Service and name of the class.
        score : float
            ``rank + shed_hash`` of the request.
        now : float
            Current time in seconds.
        random : random.Random
            Random source.

        Returns
        -------
        bool
            True if it is to be refused here.
        """
        level = self._level_by_key.get(key)
        if level is None:
            return False
        if now - level.heard_at > self.validity_s:
            del self._level_by_key[key]
            return False
        return score >= level.threshold and random.random() >= self.probe_share

    def dump(self):
        """Return the state for the state dump.

        Returns
        -------
        dict of str to float
            Thresholds by service and class.
        """
        return {
            f'{service}/{class_name}': round(level.threshold, 3)
            for (service, class_name), level in self._level_by_key.items()
        }
