"""Planned stop of a node."""

from rosemarycrank import kernel

#: Interval between checks whether all components are idle, in seconds.
IDLE_CHECK_PERIOD_S = 0.05

#: Time for which an idle node still answers other nodes before the process
#: exits, in seconds.
IDLE_GRACE_S = 1.0


class Lifecycle(kernel.Component):
    """Drains the node's components, then has the process exit.

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
        first, so that no new attempts arrive while the others finish.
    """

    name = 'lifecycle'
    handles = {kernel.DrainRequested: '_on_drain'}

    def __init__(self, directory, target_calls, components):
        self.directory = directory
        self.target_calls = target_calls
        self.components = components
        self.state_ = 'running'
        self._idle_since = None
        self._idle_check_timer = None

    def dump(self):
        return {'state': self.state_}

    def _on_drain(self, event):
        if self.state_ == 'stopping':
            return
        if not event.stop:
            self.state_ = 'drained'
            self.target_calls.start_drain()
            return
        self.state_ = 'stopping'
        self.context.count('lifecycle.planned_stops')
        self.directory.leave()
        for component in self.components:
            component.start_drain()
        self._idle_check_timer = self.context.timers.every(
            IDLE_CHECK_PERIOD_S, self._check_idle
        )

    def _check_idle(self, now):
        if not all(component.is_idle() for component in self.components):
            self._idle_since = None
            return
        if self._idle_since is None:
            self._idle_since = now
        if now - self._idle_since >= IDLE_GRACE_S:
            self._idle_check_timer.cancel()
            self.state_ = 'stopped'
            self.context.emit(kernel.StopNow())
