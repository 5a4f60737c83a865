"""Registration of the local target from its heartbeats."""

import logging

import attrs
import msgspec

from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _frames

_LOG = logging.getLogger(__name__)


@attrs.frozen
class Heartbeat:
    """One heartbeat of a target.

    Attributes
    ----------
    instance : str
        Identifier of the target.
    service : str
        Service that the target runs.
    failure_domain : str
        Failure domain of its VM.
    address : str
        ``host:port`` at which the target accepts requests.
    slots : int
        Number of requests that the target runs concurrently.
    state : str
        ``ready`` or ``draining``.
    born_ms : int
        Start of the target in Unix milliseconds; 0 if unknown.
    sequence : int
        Number of the heartbeat since that start; it increases.
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
    """Maintains the record of the local target.

    Parameters
    ----------
    node_address : str
        ``host:port`` at which this node accepts attempts.
    on_change : callable
        Called with each new `TargetRecord`, before the heartbeat or
        withdrawal that changed it is acknowledged.
    is_ended : callable, optional
        Returns whether the process of the target is taken for ended. Its
        next heartbeat shows that it lives.
    """

    def __init__(self, node_address, on_change, is_ended=lambda: False):
        self.node_address = node_address
        self.on_change = on_change
        self._is_ended = is_ended
        self._record = None
        self._early_withdrawal = ('', 0)
        self._last_sequence = -1

    def report(self, heartbeat):
        """Process a heartbeat.

        Parameters
        ----------
        heartbeat : Heartbeat
            The heartbeat. It is ignored if a newer one was processed.

        Returns
        -------
        bool
            False if the heartbeat was ignored.
        """
        record = self._record
        if record is not None and self._is_stale(heartbeat, record):
            _LOG.info(
                'stale heartbeat of target %s ignored',
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
        same_start = (
            record is not None
            and record.instance == heartbeat.instance
            and record.born_ms == heartbeat.born_ms
        )
        self._last_sequence = heartbeat.sequence
        state = heartbeat.state
        if same_start and record.state != _directory.READY:
            # A draining or gone target never becomes ready again; it has to
            # be restarted.
            state = record.state
        elif record is None and self._was_withdrawn(heartbeat):
            state = _directory.GONE
        if (
            not same_start
            or record.state != state
            or record.slots != heartbeat.slots
            or record.service != heartbeat.service
            or self._is_ended()
        ):
            self._update_record(heartbeat, state)
        return True

    def withdraw(self, instance, born_ms):
        """Process the withdrawal of a target, which marks it as gone.

        Parameters
        ----------
        instance : str
            Identifier of the target.
        born_ms : int
            Start of the target in Unix milliseconds; 0 if unknown.
        """
        record = self._record
        if record is None:
            # No heartbeat has arrived since this node started. One that was
            # sent before the withdrawal may still arrive, and must not make
            # the target ready.
            self._early_withdrawal = (instance, born_ms)
            _LOG.info(
                'target %s withdrawn before its first heartbeat',
                instance,
                extra={'event': 'withdrawn', 'instance': instance},
            )
            return
        if record.instance != instance or born_ms not in (0, record.born_ms):
            _LOG.info(
                'withdrawal of target %s ignored: not the current target',
                instance,
                extra={'event': 'withdrawal_late', 'known': record.instance},
            )
            return
        self._last_sequence += 1
        self._set_record(
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

    def leave(self, instance):
        """Process that a target has said in an answer that it is leaving.

        Parameters
        ----------
        instance : str
            Identifier of the target.
        """
        record = self._record
        if record is None or record.instance != instance:
            return
        if record.state == _directory.READY:
            self._set_record(
                msgspec.structs.replace(record, state=_directory.DRAINING)
            )

    def _was_withdrawn(self, heartbeat):
        instance, born_ms = self._early_withdrawal
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

    def _update_record(self, heartbeat, state):
        self._set_record(
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

    def _set_record(self, record):
        self._record = record
        self.on_change(record)
