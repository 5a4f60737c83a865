"""Checks what clients were told against what upstreams ran."""

import collections
import math

import attrs

from rosemarycrank.load import _records

OUTCOMES = ('complete', 'not-run', 'unknown')
FAULTS = (
    'wrong_answers',
    'duplicate_paid_runs',
    'runs_reported_not_run',
    'unaccounted',
)


@attrs.frozen
class DepthAttempts:
    """Attempts that reached upstreams at one depth of nested calls."""

    calls: int
    attempts: int
    most_attempts: int


@attrs.frozen
class Report:
    """What the checker found.

    Attributes
    ----------
    calls, complete, not_run, unknown : int
        Client requests, and how they ended.
    successful : int
        Complete requests whose status is 200.
    no_answer : int
        Sends that got no answer at all from a node that was reached.
    sends, runs, refusals : int
        Sends by clients; runs and refusals at upstreams.
    wrong_answers : int
        Complete answers that are not those of their request, or of a
        request that never ran.
    duplicate_paid_runs : int
        Runs of paid calls after the first.
    runs_reported_not_run : int
        Calls that ran although their caller was told that they did not.
    unaccounted : int
        Requests without exactly one of the three outcomes, and runs that
        no request led to.
    attempts_by_depth : dict of int to DepthAttempts
        Attempts by depth; clients' requests have depth 0.
    most_retries_per_send : int
        Most retries by the system that one client request led to in the
        whole chain, divided by its sends.
    suspects : tuple of str
        What was found against which nonce, the first few.
    """

    calls: int
    complete: int
    not_run: int
    unknown: int
    successful: int
    no_answer: int
    sends: int
    runs: int
    refusals: int
    wrong_answers: int
    duplicate_paid_runs: int
    runs_reported_not_run: int
    unaccounted: int
    attempts_by_depth: dict
    most_retries_per_send: int
    suspects: tuple = ()

    @property
    def passed(self):
        """Whether nothing was found that must not happen."""
        return not any(getattr(self, fault) for fault in FAULTS)


MAX_SUSPECTS = 20


def check_files(histories, run_files):
    """Check files of records.

    Parameters
    ----------
    histories : iterable of pathlib.Path
        Files of `ClientEvent`.
    run_files : iterable of pathlib.Path
        Files of `RunEvent`, of all upstreams.

    Returns
    -------
    Report
        What was found.
    """
    client_events = []
    for path in histories:
        client_events += _records.read_records(path, _records.ClientEvent)
    run_events = []
    for path in run_files:
        run_events += _records.read_records(path, _records.RunEvent)
    return check(client_events, run_events)


def check(client_events, run_events):
    """Check records.

    Parameters
    ----------
    client_events : iterable of ClientEvent
        What clients sent and were told.
    run_events : iterable of RunEvent
        What upstreams did; those of all upstreams.

    Returns
    -------
    Report
        What was found.
    """
    clients = _by_event(client_events)
    upstreams = _by_event(run_events)
    suspects_by_fault = {
        'wrong_answers': _wrong_answers(clients, upstreams),
        'duplicate_paid_runs': _duplicate_paid_runs(clients, upstreams),
        'runs_reported_not_run': _runs_reported_not_run(clients, upstreams),
        'unaccounted': _unaccounted(clients, upstreams),
    }
    outcomes = collections.Counter(e.outcome for e in clients['end'])
    return Report(
        calls=len(clients['begin']),
        complete=outcomes['complete'],
        not_run=outcomes['not-run'],
        unknown=outcomes['unknown'],
        successful=sum(_is_successful(e) for e in clients['end']),
        no_answer=sum(_is_silent(e) for e in clients['answer']),
        sends=len(clients['answer']),
        runs=len(upstreams['start']),
        refusals=len(upstreams['refused']),
        attempts_by_depth=_attempts_by_depth(upstreams),
        most_retries_per_send=_most_retries_per_send(clients, upstreams),
        suspects=_describe(suspects_by_fault),
        **{fault: len(found) for fault, found in suspects_by_fault.items()},
    )


def retries_by_request(client_events, run_events):
    """Return the retries that each client request led to.

    Each time that a caller makes a call, one attempt is its first; all
    others that reach an upstream are retries by the system. Calls that
    never reached an upstream are not set off against others' retries,
    but for those of the same nonce.

    Parameters
    ----------
    client_events : iterable of ClientEvent
        What clients sent.
    run_events : iterable of RunEvent
        What upstreams did.

    Returns
    -------
    dict of str to int
        Retries in the whole chain, by nonce of the client request.
    """
    return _retries(_by_event(client_events), _by_event(run_events))


def _retries(clients, upstreams):
    first_attempts = _sends(clients)
    first_attempts.update(e.nonce for e in upstreams['calling'])
    retries_by_nonce = collections.Counter()
    for nonce, attempts in _attempts(upstreams).items():
        retries = max(0, attempts - first_attempts[nonce])
        retries_by_nonce[_root(nonce)] += retries
    return dict(retries_by_nonce)


def _sends(clients):
    """Return how often each request was sent to a node that was reached."""
    sent = (e.nonce for e in clients['answer'] if not _was_not_sent(e))
    return collections.Counter(sent)


def _was_not_sent(answer):
    return answer.outcome == 'not-run' and answer.status == 0


def _most_retries_per_send(clients, upstreams):
    sends = _sends(clients)
    retries = _retries(clients, upstreams)
    return max(
        (math.ceil(n / max(1, sends[nonce])) for nonce, n in retries.items()),
        default=0,
    )


def _by_event(events):
    events_by_name = collections.defaultdict(list)
    for event in events:
        events_by_name[event.event].append(event)
    return events_by_name


def _is_successful(end):
    return end.outcome == 'complete' and end.status == 200


def _is_silent(answer):
    return answer.outcome == 'unknown' and answer.status == 0


def _root(nonce):
    return nonce.partition('.')[0]


def _starts(upstreams):
    return collections.Counter(event.nonce for event in upstreams['start'])


def _wrong_answers(clients, upstreams):
    """Return the nonces of answers that are not those of their request."""
    digests = {event.nonce: event.digest for event in clients['begin']}
    started = _starts(upstreams)
    wrong = [
        event.nonce
        for event in clients['answer']
        if event.outcome == 'complete'
        and (
            event.answer_digest != digests.get(event.nonce)
            or event.nonce not in started
        )
    ]
    nested = [
        event.nonce
        for event in upstreams['call']
        if event.detail == 'wrong-answer'
    ]
    return wrong + nested


def _duplicate_paid_runs(clients, upstreams):
    """Return the nonce of each run of a paid call after its first."""
    paid = {event.nonce for event in clients['begin'] if event.paid}
    paid |= {event.nonce for event in upstreams['start'] if event.paid}
    duplicates = []
    for nonce, runs in _starts(upstreams).items():
        if nonce in paid:
            duplicates += [nonce] * (runs - 1)
    return duplicates


def _runs_reported_not_run(clients, upstreams):
    """Return the nonces of calls that ran, against what callers were told.

    A caller that was told so for each of its sends was told so for the
    request. The answer to a single send counts as well where its request
    id is that of no other send.
    """
    told = {e.nonce for e in clients['end'] if e.outcome == 'not-run'}
    told |= {e.nonce for e in clients['asked'] if e.outcome == 'not-run'}
    told |= _calls_told_not_run(upstreams)
    lies = told & set(_starts(upstreams))
    return sorted(lies | _sends_told_not_run(clients, upstreams))


def _calls_told_not_run(upstreams):
    """Return nested calls whose every send was told not to have run."""
    told = {e.nonce for e in upstreams['call'] if e.detail == 'not-run'}
    others = {e.nonce for e in upstreams['call'] if e.detail != 'not-run'}
    return told - others - _interrupted_calls(upstreams)


def _interrupted_calls(upstreams):
    """Return nonces of calls that a caller began and heard no end of."""
    begun = collections.Counter(e.nonce for e in upstreams['calling'])
    ended = collections.Counter(e.nonce for e in upstreams['call'])
    return set(begun - ended)


def _sends_told_not_run(clients, upstreams):
    ids = collections.Counter(e.request_id for e in clients['answer'])
    ran = {e.request_id for e in upstreams['start']} - {''}
    return {
        event.nonce
        for event in clients['answer']
        if event.outcome == 'not-run'
        and event.request_id in ran
        and ids[event.request_id] == 1
    }


def _unaccounted(clients, upstreams):
    """Return nonces without one outcome, or without a request."""
    begun = collections.Counter(e.nonce for e in clients['begin'])
    ended = collections.Counter(e.nonce for e in clients['end'])
    unequal = (begun - ended) + (ended - begun)
    unclear = [e.nonce for e in clients['end'] if e.outcome not in OUTCOMES]
    unasked = {
        event.nonce
        for event in upstreams['start']
        if _root(event.nonce) not in begun
    }
    return list(unequal.elements()) + unclear + sorted(unasked)


def _attempts(upstreams):
    reached = upstreams['start'] + upstreams['refused']
    return collections.Counter(event.nonce for event in reached)


def _attempts_by_depth(upstreams):
    attempts_by_depth = collections.defaultdict(list)
    for nonce, attempts in _attempts(upstreams).items():
        attempts_by_depth[nonce.count('.')].append(attempts)
    return {
        depth: DepthAttempts(len(attempts), sum(attempts), max(attempts))
        for depth, attempts in sorted(attempts_by_depth.items())
    }


def _describe(suspects_by_fault):
    lines = [
        f'{fault}: {nonce}'
        for fault, nonces in suspects_by_fault.items()
        for nonce in nonces
    ]
    return tuple(lines[:MAX_SUSPECTS])
