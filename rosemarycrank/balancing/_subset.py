"""Subset of targets that one entry node connects to."""

import zlib

import attrs


@attrs.frozen
class _Cached:
    candidates: tuple
    subset: tuple


class Subsets:
    """Subset per service by rendezvous hashing.

    Each entry node connects to at most ``size`` targets of a service in
    its own failure domain and ``size`` in others, so the connections of a
    target stay near ``callers * size / targets``.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this node.
    salt : int
        Number that tells this entry node from others.
    size : int
        Most targets of a service on either side.
    """

    def __init__(self, failure_domain, salt, size):
        self.failure_domain = failure_domain
        self.salt = salt
        self.size = size
        self._by_service = {}

    def of(self, candidates):
        """Return the candidates that this node connects to.

        Parameters
        ----------
        candidates : sequence of Target
            Targets of one service.

        Returns
        -------
        tuple of Target
            The subset; it changes little when the candidates do.
        """
        if len(candidates) <= self.size:
            return candidates
        candidates = tuple(candidates)
        service = candidates[0].service
        cached = self._by_service.get(service)
        if cached is None or cached.candidates != candidates:
            cached = _Cached(candidates, self._choose(candidates))
            self._by_service[service] = cached
        return cached.subset

    def _choose(self, candidates):
        own = [c for c in candidates if self._is_own(c)]
        others = [c for c in candidates if not self._is_own(c)]
        return tuple(self._nearest(own) + self._nearest(others))

    def _nearest(self, candidates):
        return sorted(candidates, key=self._weight)[: self.size]

    def _is_own(self, target):
        return target.failure_domain == self.failure_domain

    def _weight(self, target):
        return zlib.crc32(f'{self.salt}/{target.address}'.encode())
