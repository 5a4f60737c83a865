"""Times of a planned stop within the grace period of the supervisor."""

from rosemarycrank.stop_times import _times

StopTimes = _times.StopTimes
exit_margin_s = _times.exit_margin_s
limit_to_share = _times.limit_to_share
max_drain_s = _times.max_drain_s
plan = _times.plan

__all__ = [
    'StopTimes',
    'exit_margin_s',
    'limit_to_share',
    'max_drain_s',
    'plan',
]
