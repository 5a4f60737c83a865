"""Registration of the local target from its heartbeats."""

import logging
import time

import attrs
import msgspec

from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _target_starts

#: Time for which only heartbeats of a start that seems to be an earlier one
#: come, after which it is followed, in seconds. It is longer than the interval
#: of heartbeats, and late ones come in a shorter time.
MIN_CONFIRMATION_S = 2.0

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

    @property
    def start(self):
        """The `Start` that sent it."""
        return _target_starts.Start(self.instance, self.born_ms)


class ForeignHeartbeatError(ValueError):
    """Raised for a heartbeat that is not that of the local target."""


class Registration:
    """Maintains the record of the local target.

    What a target says of its leaving is followed before it is acknowledged,
    and what is not followed is not acknowledged.

    Starts are ordered by the time that they state, as far as it goes forward.
    The clock of a VM may jump back between two starts, and a heartbeat of an
    earlier start may come late. So one that says ``ready``, with an earlier
    time than the known start, is followed once heartbeats of its start have
    come for `MIN_CONFIRMATION_S`, and none of the known one. A heartbeat that
    says ``draining`` under the known identifier is followed at once, whatever
    time it states: a request that is cut off is worse than one that is sent to
    another target.

    What an earlier process of the node has acknowledged binds this one. It
    learns of it from the store and from other nodes. Until it has, a first
    heartbeat that says ``ready`` is not followed: it may have been sent before
    the target left. A target that stays sends another one.

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
    is_informed : callable, optional
        Returns whether the store and other nodes have told what they know of
        the local target.
    service : str, optional
        Service of the local target; any one if not given.
    now : callable, optional
        Returns the time, in seconds of a monotonic clock.
    """

    def __init__(
        self,
        node_address,
        on_change,
        is_ended=lambda: False,
        is_informed=lambda: True,
        service=None,
        now=time.monotonic,
    ):
        self.node_address = node_address
        self.on_change = on_change
        self.service = service
        self._is_ended = is_ended
        self._is_informed = is_informed
        self._record = None
        self._earlier = None
        # Start of the record. Its time may be earlier than that of the record,
        # which other nodes order records by.
        self._start = None
        self._held = _target_starts.HeldHeartbeat(now)
        self._early_withdrawal = None
        self._left_starts = _target_starts.LeftStarts()
        self._last_sequence = -1

    @property
    def _known(self):
        """The record, or that of an earlier process of the node; or None."""
        return self._record or self._earlier

    def report(self, heartbeat):
        """Process a heartbeat.

        Parameters
        ----------
        heartbeat : Heartbeat
            The heartbeat.

        Returns
        -------
        bool
            Whether it may be acknowledged: its start is the one that is known,
            which has left if the heartbeat says so.

        Raises
        ------
        ForeignHeartbeatError
            If it names another service than that of the local target.
        """
        if self.service is not None and heartbeat.service != self.service:
            raise ForeignHeartbeatError(
                f'service: got {heartbeat.service!r}, not {self.service!r}'
            )
        if heartbeat.state == _directory.READY:
            self._follow_ready(heartbeat)
            is_in_force = self._record is not None and self._is_current(
                heartbeat
            )
        else:
            self._follow_leaving(heartbeat)
            is_in_force = not self._is_in_use(heartbeat.instance)
        if not is_in_force:
            _log_unfollowed(heartbeat, self._known, self._last_sequence)
        return is_in_force

    def _follow_ready(self, heartbeat):
        if self._is_current(heartbeat):
            if heartbeat.sequence <= self._last_sequence:
                return
            if self._record is not None or not self._must_wait(heartbeat):
                self._update(heartbeat)
        elif self._has_left(heartbeat.start):
            if self._record is None:
                self._begin(heartbeat, _directory.GONE)
        elif not self._must_wait(heartbeat):
            self._begin(heartbeat, _directory.READY)

    def _follow_leaving(self, heartbeat):
        if self._is_current(heartbeat):
            self._update(heartbeat)
        elif heartbeat.start in self._left_starts:
            return
        elif (
            self._is_behind(heartbeat)
            and heartbeat.instance != self._known.instance
        ):
            # It gets no requests; the known target may be a later one.
            self._remember_left(heartbeat.start)
        else:
            self._begin(heartbeat, heartbeat.state)

    def _is_current(self, heartbeat):
        return heartbeat.start == self._start

    def _is_behind(self, heartbeat):
        """Return whether the known start, another one, is not an earlier one.

        Two targets may state the same time.
        """
        known = self._known
        if known is None or self._is_current(heartbeat):
            return False
        if heartbeat.instance == known.instance:
            return heartbeat.born_ms <= known.born_ms
        return heartbeat.born_ms < known.born_ms

    def _must_wait(self, heartbeat):
        """Return whether a heartbeat is not followed yet; keep it if so."""
        held = self._held
        is_doubtful = self._is_doubtful(heartbeat)
        if held.is_before(heartbeat):
            return is_doubtful and held.age_s() < MIN_CONFIRMATION_S
        if not is_doubtful and (self._record or self._is_informed()):
            return False
        if is_doubtful or held.is_born_before(heartbeat):
            held.hold(heartbeat)
        return True

    def _is_doubtful(self, heartbeat):
        """Return whether a heartbeat may be a late one of an earlier start."""
        unnamed = _target_starts.Start(heartbeat.instance, 0)
        return self._is_behind(heartbeat) or (
            unnamed in self._left_starts and not self._is_current(heartbeat)
        )

    def _update(self, heartbeat):
        """Update the record of the current start.

        A draining or gone target never becomes ready again; it has to be
        restarted.
        """
        self._held.drop()
        known = self._known
        state = _directory.later_state(known.state, heartbeat.state)
        self._last_sequence = max(self._last_sequence, heartbeat.sequence)
        if (
            self._record is None
            or known.state != state
            or known.slots != heartbeat.slots
            or known.service != heartbeat.service
            or self._is_ended()
        ):
            self._set_record(
                self._make_record(heartbeat, state, known.born_ms)
            )

    def _begin(self, heartbeat, state):
        """Follow another start, which counts as later than the known one."""
        known = self._known
        born_ms = heartbeat.born_ms
        if known is not None and self._is_behind(heartbeat):
            born_ms = known.born_ms + 1
        self._start = heartbeat.start
        self._last_sequence = heartbeat.sequence
        self._set_record(self._make_record(heartbeat, state, born_ms))

    def _make_record(self, heartbeat, state, born_ms):
        return _frames.TargetRecord(
            self.node_address,
            heartbeat.instance,
            heartbeat.service,
            heartbeat.failure_domain,
            heartbeat.slots,
            state,
            born_ms,
            self._last_sequence,
        )

    def check_held(self):
        """Follow a first heartbeat that waits, if it need not any more."""
        heartbeat = self._held.heartbeat
        if heartbeat is None or self._record is not None:
            return
        if self._is_informed() and not self._is_doubtful(heartbeat):
            self._held.drop()
            self.report(heartbeat)

    def learn(self, record):
        """Process what another node or the store knows of the target.

        Parameters
        ----------
        record : TargetRecord
            Record that an earlier process of this node has announced, or
            this one.
        """
        if self._record is None:
            self._learn_before_heartbeat(record)
        elif self._overrules(record):
            _LOG.warning(
                'target %s is %s, as an earlier process has acknowledged',
                record.instance,
                record.state,
                extra={
                    'event': 'record_learned',
                    'born_ms': record.born_ms,
                    'sequence': record.sequence,
                },
            )
            self._last_sequence = max(self._last_sequence, record.sequence)
            self._set_record(
                msgspec.structs.replace(record, node=self.node_address)
            )

    def _learn_before_heartbeat(self, record):
        earlier = self._earlier
        if earlier is not None and not _directory.is_newer(record, earlier):
            return
        self._earlier = record
        self._start = _target_starts.Start(record.instance, record.born_ms)
        self._last_sequence = record.sequence
        if self._has_left(self._start):
            self.withdraw(record.instance, record.born_ms)

    def _overrules(self, record):
        """Return whether a record shows that the target has left.

        One of another start does not: this process hears of that from the
        target itself.
        """
        known = self._record
        return (
            record.instance == known.instance
            and record.born_ms == known.born_ms
            and record.state != known.state
            and _directory.is_newer(record, known)
        )

    def withdraw(self, instance, born_ms):
        """Process the withdrawal of a target, which marks it as gone.

        Parameters
        ----------
        instance : str
            Identifier of the target.
        born_ms : int
            Start of the target in Unix milliseconds; 0 if unknown.

        Returns
        -------
        bool
            Whether it may be acknowledged: the record of the target says so,
            or it gets no requests as a later one is known. A withdrawal of a
            start of which no heartbeat has come is remembered, but would be
            forgotten at a restart of this process.
        """
        held = self._held.heartbeat
        start = _target_starts.Start(instance, born_ms)
        is_in_force = True
        if held is not None and _names(start, held.start):
            self._begin(held, _directory.GONE)
        elif self._start is not None and _names(start, self._start):
            self._last_sequence += 1
            self._set_state(_directory.GONE)
        else:
            is_in_force = self._is_of_earlier_target(start)
            self._remember_withdrawal(start)
        _log_withdrawal(start, is_in_force, self._known)
        return is_in_force

    def _is_of_earlier_target(self, start):
        known = self._known
        return (
            known is not None
            and start.instance != known.instance
            and 0 < start.born_ms < known.born_ms
        )

    def _remember_withdrawal(self, start):
        if self._known is None and not start.born_ms:
            # No heartbeat has arrived since this node started. One that was
            # sent before the withdrawal may still arrive, and must not make
            # the target ready.
            self._early_withdrawal = start.instance
        self._remember_left(start)

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

    def _is_in_use(self, instance):
        """Return whether a target gets requests, by what this node knows."""
        known = self._known
        return (
            known is not None
            and known.instance == instance
            and known.state == _directory.READY
        )

    def _remember_left(self, start):
        self._left_starts.add(start)
        held = self._held.heartbeat
        if held is not None and held.start == start:
            self._held.drop()

    def _has_left(self, start):
        """Return whether a start that is not the known one has left.

        A withdrawal before the first heartbeat may have named no start.
        """
        return start in self._left_starts or (
            self._record is None and start.instance == self._early_withdrawal
        )

    def _set_state(self, state):
        """Change the state of the known target."""
        self._set_record(
            msgspec.structs.replace(
                self._known,
                node=self.node_address,
                state=_directory.later_state(self._known.state, state),
                sequence=max(self._known.sequence, self._last_sequence),
            )
        )

    def _set_record(self, record):
        self._record = record
        self._held.drop()
        if record.state != _directory.READY:
            self._left_starts.add(self._start)
        self.on_change(record)


def _names(withdrawn, start):
    """Return whether a withdrawal names a start; it may leave the time out."""
    return withdrawn.instance == start.instance and withdrawn.born_ms in (
        0,
        start.born_ms,
    )


def _log_withdrawal(start, is_in_force, known):
    _LOG.info(
        'target %s %s',
        start.instance,
        'withdrawn' if is_in_force else 'not withdrawn: its start is unknown',
        extra={
            'event': 'withdrawn' if is_in_force else 'withdrawal_unfollowed',
            'born_ms': start.born_ms,
            'known': None if known is None else known.instance,
            'known_born_ms': None if known is None else known.born_ms,
        },
    )


def _log_unfollowed(heartbeat, known, known_sequence):
    _LOG.info(
        'heartbeat of target %s is not followed',
        heartbeat.instance,
        extra={
            'event': 'heartbeat_unfollowed',
            'state': heartbeat.state,
            'born_ms': heartbeat.born_ms,
            'sequence': heartbeat.sequence,
            'known': None if known is None else known.instance,
            'known_born_ms': None if known is None else known.born_ms,
            'known_sequence': known_sequence,
        },
    )
