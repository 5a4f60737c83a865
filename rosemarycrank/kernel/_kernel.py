"""Kernel that routes events to components and collects effects."""

import abc
import random

import attrs

from rosemarycrank.kernel import _effects
from rosemarycrank import timers


class Context:
    """Services that components share: timers, random source, counters.

    It also collects the effects that components emit, and passes published
    notices to the components that subscribe to them.

    Parameters
    ----------
    address : str
        ``host:port`` at which other nodes reach this node.
    incarnation : int
        Random number that identifies this run of the node; a restarted node
        draws another one.
    seed : int
        Seed of the random source.

    Attributes
    ----------
    timers : Timers
        Timer service.
    random : random.Random
        Random source.
    counters : dict of str to int
        Counters by name, for metrics and the state dump.
    """

    def __init__(self, address, incarnation, seed):
        self.address = address
        self.incarnation = incarnation
        self.timers = timers.Timers()
        self.random = random.Random(seed)
        self.counters = {}
        self._effects = []
        self._subscribers_by_type = {}

    @property
    def now(self):
        """Current time in seconds of the driver's monotonic clock."""
        return self.timers.now

    def emit(self, effect):
        """Add an effect for the driver to execute.

        Parameters
        ----------
        effect : object
            Instance of an effect class.
        """
        self._effects.append(effect)

    def send(self, address, message):
        """Send a message to another node.

        Parameters
        ----------
        address : str
            ``host:port`` of the node.
        message : object
            Registered message.
        """
        self._effects.append(_effects.Send(address, message))

    def count(self, name, amount=1):
        """Add to a counter.

        Parameters
        ----------
        name : str
            Name of the counter.
        amount : int, default=1
            Amount to add.
        """
        self.counters[name] = self.counters.get(name, 0) + amount

    def publish(self, notice):
        """Pass a notice to the callbacks that subscribe to its class.

        Parameters
        ----------
        notice : object
            Instance of any class.
        """
        for callback in self._subscribers_by_type.get(type(notice), ()):
            callback(notice)

    def subscribe(self, notice_type, callback):
        """Subscribe a callback to the notices of a class.

        Parameters
        ----------
        notice_type : type
            Class of the notices.
        callback : callable
            Called with each published notice.
        """
        self._subscribers_by_type.setdefault(notice_type, []).append(callback)

    def take_effects(self):
        """Return the effects emitted since the last call, in order.

        Returns
        -------
        list
            Effects.
        """
        effects, self._effects = self._effects, []
        return effects


class Component(abc.ABC):
    """Part of the kernel that handles certain events and messages.

    A component is constructed with its settings and then attached once to a
    context. `handles` names the method for each class that it handles.
    """

    #: Name of the component's section in the state dump.
    name = ''

    #: Maps an event or message class to the name of the method that handles
    #: it. The method takes ``(event)`` for an event, and ``(sender, message)``
    #: for a message.
    handles = {}

    def attach(self, context):
        """Set the context.

        Subclasses extend this method to start timers and to subscribe to
        notices.

        Parameters
        ----------
        context : Context
            Context of the kernel.
        """
        self.context = context

    def start_drain(self, times=None):
        """Refuse new work and finish what is running.

        Parameters
        ----------
        times : rosemarycrank.stop_times.StopTimes, optional
            Times of the planned stop; None for a drain without an end.
        """

    def end_drain(self):
        """Answer what is left at the end of a planned stop.

        It may be called again for what has arrived since.
        """

    def is_idle(self):
        """Return whether a planned stop may complete.

        Returns
        -------
        bool
            True if the component has no unfinished work.
        """
        return True

    @abc.abstractmethod
    def dump(self):
        """Return the component's section of the state dump.

        Returns
        -------
        dict
            Values that can be encoded as JSON.
        """


@attrs.frozen
class _Route:
    handler: object
    is_message: bool


class Kernel:
    """Routes events and messages to the components that handle them.

    Parameters
    ----------
    context : Context
        Context that the components are attached to.
    components : sequence of Component
        Components in the order in which they are attached and dumped.
    """

    def __init__(self, context, components):
        self.context = context
        self.components = tuple(components)
        self._routes_by_type = {}
        for component in self.components:
            component.attach(context)
            self._add_routes(component)

    def handle(self, event, now):
        """Handle one event.

        Parameters
        ----------
        event : object
            Event, or `Received` with a message from another node.
        now : float
            Current time in seconds.

        Returns
        -------
        list
            Effects to execute, in order.
        """
        self.context.timers.advance(now)
        if isinstance(event, _effects.Received):
            message = event.message
            for route in self._routes_by_type.get(type(message), ()):
                if route.is_message:
                    route.handler(event.sender, message)
        else:
            for route in self._routes_by_type.get(type(event), ()):
                if not route.is_message:
                    route.handler(event)
        return self.context.take_effects()

    def advance(self, now):
        """Fire the timers that are due.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list
            Effects to execute, in order.
        """
        self.context.timers.advance(now)
        return self.context.take_effects()

    def next_due(self):
        """Return the time at which the next timer is due.

        Returns
        -------
        float or None
            Seconds of the driver's clock; None if no timer is pending.
        """
        return self.context.timers.next_due()

    def dump(self):
        """Return the state of all components by section name.

        Returns
        -------
        dict
            Values that can be encoded as JSON.
        """
        sections = {
            component.name: component.dump() for component in self.components
        }
        sections['counters'] = dict(sorted(self.context.counters.items()))
        sections['node'] = {
            'address': self.context.address,
            'incarnation': f'{self.context.incarnation:016x}',
        }
        return sections

    def _add_routes(self, component):
        for handled_type, method_name in component.handles.items():
            # All events are defined in _effects; any other class is a
            # message.
            is_message = handled_type.__module__ != _effects.__name__
            self._routes_by_type.setdefault(handled_type, []).append(
                _Route(getattr(component, method_name), is_message)
            )
