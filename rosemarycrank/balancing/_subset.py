"""Subset of the targets of a service that one entry node connects to."""

import zlib

import attrs


@attrs.frozen
class _CachedSubset:
    candidates: tuple
    subset: tuple


class TargetSubsets:
    """Subset of targets for each service, chosen by rendezvous hashing.

    Each entry node connects to at most ``size`` targets of a service in
    its failure domain and ``size`` in others. The number of connections
    to a target therefore stays near ``callers * size / targets``.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this node.
    salt : int
        Number that differs between entry nodes, so that their subsets differ.
    size : int
        Maximum number of targets of a service in this node's failure domain,
        and also the maximum in all others together.
    """

    def __init__(self, failure_domain, salt, size):
        self.failure_domain = failure_domain
        self.salt = salt
        self.size = size
        self._cache_by_service = {}

    def select(self, candidates):
        """Return the candidates that this node connects to.

        Parameters
        ----------
        candidates : sequence of Target
            Targets of one service.

        Returns
        -------
        sequence of Target
            The subset, which changes little when the candidates change.
        """
        if len(candidates) <= self.size:
            return candidates
        candidates = tuple(candidates)
        service = candidates[0].service
        cached = self._cache_by_service.get(service)
        if cached is None or cached.candidates != candidates:
            cached = _CachedSubset(candidates, self._choose(candidates))
            self._cache_by_service[service] = cached
        return cached.subset

    def _choose(self, candidates):
        local = [c for c in candidates if self._is_local(c)]
        remote = [c for c in candidates if not self._is_local(c)]
        return tuple(self._lowest_hashes(local) + self._lowest_hashes(remote))

    def _lowest_hashes(self, candidates):
        return sorted(candidates, key=self._hash)[: self.size]

    def _is_local(self, target):
        return target.failure_domain == self.failure_domain

    def _hash(self, target):
        return zlib.crc32(f'{self.salt}/{target.address}'.encode())
