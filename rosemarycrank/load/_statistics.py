"""Counts and latencies of a run of the load driver."""

import collections

from hdrh import histogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 95.0, 99.0)


class _Latencies:
    """Histogram of latencies."""

    def __init__(self):
        self._histogram = histogram.HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )

    def add(self, latency_s):
        latency_us = round(latency_s * 1_000_000)
        self._histogram.record_value(
            min(max(latency_us, MIN_LATENCY_US), MAX_LATENCY_US)
        )

    def percentiles_ms(self, prefix):
        return {
            f'{prefix}p{percentile:g}_ms': round(
                self._histogram.get_value_at_percentile(percentile) / 1000, 3
            )
            for percentile in PERCENTILES
        }


class Statistics:
    """Counts of outcomes and latencies, by class of request.

    Latency is measured from the time at which a request is due, so that it
    includes waiting time if the driver falls behind. The latency of the last
    answer, measured from its send, is reported with the prefix ``answer_``.

    Attributes
    ----------
    begun : int
        Number of requests begun.
    outcomes_by_class : dict of str to dict of str to int
        Number of ended requests, by class and outcome.
    """

    def __init__(self):
        self.begun = 0
        self.outcomes_by_class = {}
        self._latencies_by_class = collections.defaultdict(_Latencies)
        self._answer_latencies_by_class = collections.defaultdict(_Latencies)

    def record_begin(self):
        """Count a request that begins."""
        self.begun += 1

    def record_end(self, class_name, event):
        """Count a request that ended; record its latencies if complete."""
        outcomes = self.outcomes_by_class.setdefault(class_name, {})
        outcome = event.outcome or 'unaccounted'
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
        if outcome == 'complete':
            self._latencies_by_class[class_name].add(event.latency_s)
            self._answer_latencies_by_class[class_name].add(event.elapsed_s)

    def total(self, outcome):
        """Return the number of requests that ended with an outcome."""
        return sum(o.get(outcome, 0) for o in self.outcomes_by_class.values())

    @property
    def ended(self):
        """Number of requests that have ended."""
        return sum(sum(o.values()) for o in self.outcomes_by_class.values())

    def as_dict(self):
        """Return counts and latencies in milliseconds, for JSON."""
        return {
            'begun': self.begun,
            'ended': self.ended,
            'classes': {
                name: self._class_as_dict(name)
                for name in sorted(self.outcomes_by_class)
            },
        }

    def progress(self, elapsed_s):
        """Return one line of progress in text form."""
        return (
            f'{elapsed_s:6.1f} s  begun {self.begun}'
            f'  complete {self.total("complete")}'
            f'  not run {self.total("not-run")}'
            f'  unknown {self.total("unknown")}'
            f'  in flight {self.begun - self.ended}'
        )

    def _class_as_dict(self, name):
        return {
            **self.outcomes_by_class[name],
            **self._latencies_by_class[name].percentiles_ms(''),
            **self._answer_latencies_by_class[name].percentiles_ms('answer_'),
        }
