"""Counts and latencies of a run of the load driver."""

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 120_000_000
DIGITS = 3
PERCENTILES = (50.0, 95.0, 99.0)


class Statistics:
    """Counts outcomes and records latencies by name of class.

    Latencies run from when a request was due, so that a driver that falls
    behind does not hide waiting time.

    Attributes
    ----------
    begun : int
        Requests that began.
    outcomes_by_class : dict of str to dict of str to int
        Ended requests by class and outcome.
    """

    def __init__(self):
        self.begun = 0
        self.outcomes_by_class = {}
        self._histograms_by_class = {}

    def begin(self):
        """Count a request that begins."""
        self.begun += 1

    def end(self, class_name, event):
        """Count a request that ended, and its latency if complete."""
        outcomes = self.outcomes_by_class.setdefault(class_name, {})
        outcome = event.outcome or 'unaccounted'
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
        if outcome != 'complete':
            return
        latency_us = round(event.latency_s * 1_000_000)
        self._histogram(class_name).record_value(
            min(max(latency_us, LOWEST_US), HIGHEST_US)
        )

    def total(self, outcome):
        """Return the number of requests that ended with an outcome."""
        return sum(o.get(outcome, 0) for o in self.outcomes_by_class.values())

    @property
    def ended(self):
        """Requests that ended."""
        return sum(sum(o.values()) for o in self.outcomes_by_class.values())

    def as_dict(self):
        """Return counts and latencies in milliseconds, for JSON."""
        return {
            'begun': self.begun,
            'ended': self.ended,
            'classes': {
                name: {**outcomes, **self._latencies(name)}
                for name, outcomes in sorted(self.outcomes_by_class.items())
            },
        }

    def progress(self, elapsed_s):
        """Return one line for people."""
        return (
            f'{elapsed_s:6.1f} s  begun {self.begun}'
            f'  complete {self.total("complete")}'
            f'  not run {self.total("not-run")}'
            f'  unknown {self.total("unknown")}'
            f'  waiting {self.begun - self.ended}'
        )

    def _histogram(self, class_name):
        if class_name not in self._histograms_by_class:
            self._histograms_by_class[class_name] = histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, DIGITS
            )
        return self._histograms_by_class[class_name]

    def _latencies(self, class_name):
        recorded = self._histogram(class_name)
        return {
            f'p{percentile:g}_ms': round(
                recorded.get_value_at_percentile(percentile) / 1000, 3
            )
            for percentile in PERCENTILES
        }
