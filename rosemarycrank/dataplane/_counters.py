"""Counts of what the data path does; plain integers on the hot path."""

import bisect
import collections

#: Upper bounds of the buckets of latency histograms, in seconds.
LATENCY_BOUNDS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)


class Histogram:
    """Counts by bucket, with the sum; cumulative only when rendered."""

    def __init__(self):
        self.counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self.total_s = 0.0

    def observe(self, seconds):
        """Add one value in seconds."""
        self.counts[bisect.bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        self.total_s += seconds


class Counters:
    """All counts of a node.

    Attributes
    ----------
    requests : int
        Requests read from clients and the local target.
    answers_by_status : collections.Counter
        Answers given, by status.
    refusals_by_reason, retries_by_reason : collections.Counter
        Refusals and further attempts, by reason.
    target_sends : int
        Requests sent to the local target.
    target_failures_by_reason : collections.Counter
        Attempts at the local target without a whole answer, by reason.
    cancelled : int
        Requests whose client left.
    request_time, service_time : Histogram
        Seconds from request to answer, and of runs at the target.
    """

    def __init__(self):
        self.requests = 0
        self.answers_by_status = collections.Counter()
        self.refusals_by_reason = collections.Counter()
        self.retries_by_reason = collections.Counter()
        self.target_sends = 0
        self.target_failures_by_reason = collections.Counter()
        self.cancelled = 0
        self.request_time = Histogram()
        self.service_time = Histogram()
