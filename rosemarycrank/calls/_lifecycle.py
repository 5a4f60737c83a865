"""Planned stop of a node."""

from rosemarycrank import kernel

#: Period of the check whether the stop may complete.
IDLE_CHECK_S = 0.05

#: How long a node still answers questions after it has become idle.
LINGER_S = 1.0


class Lifecycle(kernel.Component):
    """Drains the node's components and then lets the process exit.

    Parameters
    ----------
    directory : rosemarycrank.membership.Directory
        Announces the departure.
    target_calls : TargetCalls
        Drained first, so that no new work comes while the rest finishes.
    components : sequence of rosemarycrank.kernel.Component
        Components that have to be idle before the process exits.
    """

    name = 'lifecycle'
    handles = {kernel.DrainRequested: '_on_drain'}

    def __init__(self, directory, target_calls, components):
        self.directory = directory
        self.target_calls = target_calls
        self.components = components
        self.state_ = 'running'
        self._idle_since = None
        self._check_timer = None

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
        self._check_timer = self.context.timers.every(
            IDLE_CHECK_S, self._check
        )

    def _check(self, now):
        if not all(component.is_idle() for component in self.components):
            self._idle_since = None
            return
        if self._idle_since is None:
            self._idle_since = now
        if now - self._idle_since >= LINGER_S:
            self._check_timer.cancel()
            self.state_ = 'stopped'
            self.context.emit(kernel.StopNow())
