"""Timer service that parts of a process subscribe to."""

from rosemarycrank.timers import _timers

Timer = _timers.Timer
Timers = _timers.Timers

__all__ = ['Timer', 'Timers']
