"""Times by which runs at the local target have to start and to end."""

import math

from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _upstream

#: Time before the end of a target's drain period by which its runs should
#: end, and after which nothing must reach it, in seconds. The target may exit
#: right after that period, and the node may be late.
DRAIN_MARGIN_S = 0.1


class RunLimits:
    """Limits set by a target that is leaving and by a stop of its node.

    All times are in seconds of the node's clock, and infinite without a
    limit.

    Parameters
    ----------
    drain_s : float
        Seconds for which a target serves after the node acknowledged that it
        is leaving.

    Attributes
    ----------
    starts_end_at : float
        Time before which a run has to start.
    runs_end_at : float
        Time by which a run has to end.
    """

    def __init__(self, drain_s):
        self.drain_s = drain_s
        self.starts_end_at = math.inf
        self.runs_end_at = math.inf
        self._target_starts_end_at = math.inf
        self._target_runs_end_at = math.inf
        self._node_runs_end_at = math.inf

    def update_target(self, record, known, now):
        """Follow the state of the local target.

        The record is updated before the announcement is acknowledged, so
        the drain period of the target does not end earlier than counted
        from now.

        Parameters
        ----------
        record, known : TargetRecord or None
            New record, and the one that it replaces.
        now : float
            Current time.
        """
        if known is None or is_new_start(record, known):
            self._target_starts_end_at = math.inf
            self._target_runs_end_at = math.inf
        if record.state != _directory.READY:
            if self._target_runs_end_at == math.inf:
                runs_end_at = now + self.drain_s - DRAIN_MARGIN_S
                self._target_runs_end_at = runs_end_at
                # A request may reach the target as late as its connection.
                self._target_starts_end_at = (
                    runs_end_at - _upstream.CONNECT_TIMEOUT_S
                )
            elif (
                record.state == _directory.GONE
                and known.state == _directory.DRAINING
            ):
                # It has drained and exits.
                self._target_starts_end_at = self._target_runs_end_at = now
        self._combine()

    def target_serves(self, now):
        """Return whether the target has not said that it exits by now.

        Parameters
        ----------
        now : float
            Current time.
        """
        return now < self._target_runs_end_at

    def stop_node(self, runs_end_at):
        """Limit all runs by a planned stop of the node.

        Parameters
        ----------
        runs_end_at : float
            Time by which runs have to end.
        """
        self._node_runs_end_at = runs_end_at
        self._combine()

    def allow(self, start_at, duration_s, deadline_at):
        """Return whether a run is expected to end in time.

        Parameters
        ----------
        start_at : float
            Expected start of the run.
        duration_s : float
            Expected duration in seconds.
        deadline_at : float
            Deadline of the run, which ends it at the latest.
        """
        if start_at >= self.starts_end_at:
            return False
        return min(start_at + duration_s, deadline_at) <= self.runs_end_at

    def _combine(self):
        self.runs_end_at = min(
            self._target_runs_end_at, self._node_runs_end_at
        )
        self.starts_end_at = min(
            self._target_starts_end_at, self._node_runs_end_at
        )


def is_new_start(record, known):
    """Return whether a record is that of another start of the target."""
    return record.instance != known.instance or record.born_ms != known.born_ms
