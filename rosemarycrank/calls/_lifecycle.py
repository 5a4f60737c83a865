"""Planned stop of a node."""

from rosemarycrank import kernel
from rosemarycrank import stop_times

#: Interval between checks whether all components are idle, in seconds.
IDLE_CHECK_PERIOD_S = 0.05

#: Time for which an idle node still answers other nodes before the process
#: exits, in seconds.
IDLE_GRACE_S = 1.0

#: Time between the end of the drain and the exit, in seconds, in which the
#: ledger writes its closing record and the last answers are sent.
CLOSING_S = 5.0

#: Time from the end of the drain until replies of this node's own target have
#: reached its entry side, in seconds, and the maximum share of the time until
#: the exit.
OWN_REPLY_DELAY_S = 0.1
MAX_OWN_REPLY_SHARE = 0.2


class Lifecycle(kernel.Component):
    """Drains the node's components, then has the process exit.

    The drain lasts until all components are idle. At its latest end they
    answer whatever is left, first the target side, then the others.

    Parameters
    ----------
    directory : rosemarycrank.membership.Directory
        Membership, through which this node announces its departure.
    target_calls : TargetCalls
        Target side of the call path. A drain request without a stop drains
        it alone, and the node keeps running.
    components : sequence of rosemarycrank.kernel.Component
        Components that a planned stop drains, in this order; all of them
        must be idle before the process exits. ``target_calls`` is the
        first, so that no new attempts arrive while the others finish. The
        ledger is the last, so that its closing record has the outcomes of
        the calls that the end of the drain cuts off.
    grace_s : float
        Seconds from the drain request until a supervisor kills the process.
    """

    name = 'lifecycle'
    handles = {kernel.DrainRequested: '_on_drain'}

    def __init__(self, directory, target_calls, components, grace_s):
        self.directory = directory
        self.target_calls = target_calls
        self.components = components
        self.grace_s = grace_s
        self.state_ = 'running'
        self._times = None
        self._idle_since = None
        self._idle_check_timer = None

    def dump(self):
        return {'state': self.state_}

    def _on_drain(self, event):
        if self.state_ in ('stopping', 'stopped'):
            return
        if not event.stop:
            self.state_ = 'drained'
            self.target_calls.start_drain()
            return
        self.state_ = 'stopping'
        self.context.count('lifecycle.planned_stops')
        self._times = stop_times.plan(
            self.context.now, self.grace_s, CLOSING_S
        )
        self.context.emit(kernel.StopBegun(self._times.exits_at))
        self.directory.leave()
        for component in self.components:
            component.start_drain(self._times)
        self._idle_check_timer = self.context.timers.every(
            IDLE_CHECK_PERIOD_S, self._check_idle
        )
        self._schedule(self._times.drain_ends_at, self._end_target_drain)
        self._schedule(self._times.exits_at, self._end_stop)

    def _schedule(self, due_at, callback):
        self.context.timers.after(due_at - self.context.now, callback)

    def _check_idle(self, now):
        if not all(component.is_idle() for component in self.components):
            self._idle_since = None
            return
        if self._idle_since is None:
            self._idle_since = now
        if now - self._idle_since >= IDLE_GRACE_S:
            self._exit()

    def _end_target_drain(self, now):
        self.target_calls.end_drain()
        closing_s = self._times.exits_at - now
        self.context.timers.after(
            stop_times.limit_to_share(
                OWN_REPLY_DELAY_S, closing_s, MAX_OWN_REPLY_SHARE
            ),
            self._end_drain,
        )

    def _end_drain(self, now):
        for component in self.components:
            component.end_drain()

    def _end_stop(self, now):
        if self.state_ != 'stopped':
            self._end_drain(now)
            self._exit()

    def _exit(self):
        self._idle_check_timer.cancel()
        self.state_ = 'stopped'
        self.context.emit(kernel.StopNow())
