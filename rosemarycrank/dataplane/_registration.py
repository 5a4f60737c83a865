"""What the local target says of itself, and what follows from it."""

import logging

import attrs

from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _frames

_LOG = logging.getLogger(__name__)


@attrs.frozen
class Heartbeat:
    """One report of a target.

    Attributes
    ----------
    instance, service, failure_domain : str
        Its identifier, what it serves and where.
    address : str
        ``host:port`` at which it takes requests.
    slots : int
        Requests that it runs at once.
    state : str
        ``ready`` or ``draining``.
    born_ms : int
        Its start in Unix milliseconds; 0 when it does not say.
    sequence : int
        Number of the report since that start.
    """

    instance: str
    service: str
    address: str
    failure_domain: str
    slots: int
    state: str
    born_ms: int
    sequence: int


class Registration:
    """Keeps the record of the local target.

    Parameters
    ----------
    node_address : str
        ``host:port`` at which this node takes attempts.
    on_change : callable
        Called with each new `TargetRecord`. What it does has taken effect
        when the report is acknowledged.
    """

    def __init__(self, node_address, on_change):
        self.node_address = node_address
        self.on_change = on_change
        self._record = None
        self._withdrawn = ('', 0)
        self._last_sequence = -1

    def report(self, heartbeat):
        """Take a report.

        Parameters
        ----------
        heartbeat : Heartbeat
            The report; one that is older than what is known has no effect.

        Returns
        -------
        bool
            Whether it was the newest.
        """
        record = self._record
        if record is not None and self._is_stale(heartbeat, record):
            _LOG.info(
                'late heartbeat of %s ignored',
                heartbeat.instance,
                extra={
                    'event': 'heartbeat_late',
                    'born_ms': heartbeat.born_ms,
                    'sequence': heartbeat.sequence,
                    'known_born_ms': record.born_ms,
                    'known_sequence': self._last_sequence,
                },
            )
            return False
        same = (
            record is not None
            and record.instance == heartbeat.instance
            and record.born_ms == heartbeat.born_ms
        )
        self._last_sequence = heartbeat.sequence
        state = heartbeat.state
        if same and record.state != _directory.READY:
            # A target that leaves does not come back.
            state = record.state
        elif record is None and self._was_withdrawn(heartbeat):
            state = _directory.GONE
        if (
            not same
            or record.state != state
            or record.slots != heartbeat.slots
            or record.service != heartbeat.service
        ):
            self._replace(heartbeat, state)
        return True

    def withdraw(self, instance, born_ms):
        """Take the last word of a target.

        Parameters
        ----------
        instance : str
            Its identifier.
        born_ms : int
            Its start; 0 when it does not say.
        """
        record = self._record
        if record is None:
            # The node has just started. A heartbeat that was sent before may
            # come yet, and must not bring the target back.
            self._withdrawn = (instance, born_ms)
            _LOG.info(
                'target %s left before it was known',
                instance,
                extra={'event': 'withdrawn', 'instance': instance},
            )
            return
        if record.instance != instance or born_ms not in (0, record.born_ms):
            _LOG.info(
                'withdrawal of another target %s ignored',
                instance,
                extra={'event': 'withdrawal_late', 'known': record.instance},
            )
            return
        self._last_sequence += 1
        self._set(
            _frames.TargetRecord(
                record.node,
                record.instance,
                record.service,
                record.failure_domain,
                record.slots,
                _directory.GONE,
                record.born_ms,
                self._last_sequence,
            )
        )

    def _was_withdrawn(self, heartbeat):
        instance, born_ms = self._withdrawn
        return heartbeat.instance == instance and born_ms in (
            0,
            heartbeat.born_ms,
        )

    def _is_stale(self, heartbeat, record):
        if heartbeat.born_ms != record.born_ms:
            return heartbeat.born_ms < record.born_ms
        if heartbeat.instance != record.instance:
            return False
        return heartbeat.sequence <= self._last_sequence

    def _replace(self, heartbeat, state):
        self._set(
            _frames.TargetRecord(
                self.node_address,
                heartbeat.instance,
                heartbeat.service,
                heartbeat.failure_domain,
                heartbeat.slots,
                state,
                heartbeat.born_ms,
                heartbeat.sequence,
            )
        )

    def _set(self, record):
        self._record = record
        self.on_change(record)
