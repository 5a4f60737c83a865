"""Checks the outcomes reported to clients against runs at upstreams."""

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
    """Attempts that reached upstreams, at one depth of nested calls.

    Attributes
    ----------
    calls : int
        Calls with at least one such attempt.
    attempts : int
        Attempts of all these calls.
    most_attempts : int
        Attempts of the call that had the most.
    """

    calls: int
    attempts: int
    most_attempts: int


@attrs.frozen
class Report:
    """Counts and faults found by the checker.

    Attributes
    ----------
    calls, complete, not_run, unknown : int
        Client requests, and their number by outcome.
    successful : int
        Complete requests with status 200.
    no_answer : int
        Sends that reached a node and got no answer.
    sends, runs, refusals : int
        Sends by clients; runs and refusals at upstreams.
    wrong_answers : int
        Complete answers whose digest does not match their request, or
        whose request never ran.
    duplicate_paid_runs : int
        Runs of paid calls after the first.
    runs_reported_not_run : int
        Calls that ran although they were reported to their caller as not
        run.
    unaccounted : int
        Requests without exactly one of the three outcomes, and runs that
        belong to no client request.
    attempts_by_depth : dict of int to DepthAttempts
        Attempts by depth of nesting; client requests have depth 0.
    most_retries_per_send : int
        Largest number of retries by the system for one client request,
        in the whole call chain, divided by the sends of that request.
    suspects : tuple of str
        Fault and nonce of the first `MAX_SUSPECTS` findings.
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
        """Whether the checker found no fault."""
        return not any(getattr(self, fault) for fault in FAULTS)


MAX_SUSPECTS = 20


def check_files(histories, run_files):
    """Check client histories against run records, read from files.

    Parameters
    ----------
    histories : iterable of pathlib.Path
        Files of `ClientEvent`.
    run_files : iterable of pathlib.Path
        Files of `RunEvent`, of all upstreams.

    Returns
    -------
    Report
        Counts and faults.
    """
    client_events = []
    for path in histories:
        client_events += _records.read_records(path, _records.ClientEvent)
    run_events = []
    for path in run_files:
        run_events += _records.read_records(path, _records.RunEvent)
    return check(client_events, run_events)


def check(client_events, run_events):
    """Check client events against run events.

    Parameters
    ----------
    client_events : iterable of ClientEvent
        Requests and answers of all clients.
    run_events : iterable of RunEvent
        Runs, refusals and nested calls of all upstreams.

    Returns
    -------
    Report
        Counts and faults.
    """
    clients = _group_by_event(client_events)
    upstreams = _group_by_event(run_events)
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
        no_answer=sum(_is_unanswered(e) for e in clients['answer']),
        sends=len(clients['answer']),
        runs=len(upstreams['start']),
        refusals=len(upstreams['refused']),
        attempts_by_depth=_attempts_by_depth(upstreams),
        most_retries_per_send=_most_retries_per_send(clients, upstreams),
        suspects=_describe(suspects_by_fault),
        **{fault: len(found) for fault, found in suspects_by_fault.items()},
    )


def retries_by_request(client_events, run_events):
    """Return the system's retries for each client request.

    Of the attempts that reach an upstream, each send by the caller accounts
    for one; the others are retries by the system. A send none of whose
    attempts reached an upstream lowers the count of retries of its own
    nonce only.

    Parameters
    ----------
    client_events : iterable of ClientEvent
        Requests and answers of all clients.
    run_events : iterable of RunEvent
        Runs, refusals and nested calls of all upstreams.

    Returns
    -------
    dict of str to int
        Retries in the whole call chain, by nonce of the client request.
    """
    return _retries_by_request(
        _group_by_event(client_events), _group_by_event(run_events)
    )


def _retries_by_request(clients, upstreams):
    first_attempts = _count_sends(clients)
    first_attempts.update(e.nonce for e in upstreams['calling'])
    retries_by_nonce = collections.Counter()
    for nonce, attempts in _count_attempts(upstreams).items():
        retries = max(0, attempts - first_attempts[nonce])
        retries_by_nonce[_root_nonce(nonce)] += retries
    return dict(retries_by_nonce)


def _count_sends(clients):
    """Count the sends of each request that reached a node."""
    sent = (e.nonce for e in clients['answer'] if not _is_unsent(e))
    return collections.Counter(sent)


def _is_unsent(answer):
    return answer.outcome == 'not-run' and answer.status == 0


def _most_retries_per_send(clients, upstreams):
    sends = _count_sends(clients)
    retries_by_nonce = _retries_by_request(clients, upstreams)
    return max(
        (
            math.ceil(retries / max(1, sends[nonce]))
            for nonce, retries in retries_by_nonce.items()
        ),
        default=0,
    )


def _group_by_event(events):
    events_by_name = collections.defaultdict(list)
    for event in events:
        events_by_name[event.event].append(event)
    return events_by_name


def _is_successful(end):
    return end.outcome == 'complete' and end.status == 200


def _is_unanswered(answer):
    return answer.outcome == 'unknown' and answer.status == 0


def _root_nonce(nonce):
    return nonce.partition('.')[0]


def _count_runs(upstreams):
    return collections.Counter(event.nonce for event in upstreams['start'])


def _wrong_answers(clients, upstreams):
    """Return the nonces of complete answers with the wrong digest.

    A complete answer to a request that never ran counts as well.
    """
    digests = {event.nonce: event.digest for event in clients['begin']}
    started = _count_runs(upstreams)
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
    for nonce, runs in _count_runs(upstreams).items():
        if nonce in paid:
            duplicates += [nonce] * (runs - 1)
    return duplicates


def _runs_reported_not_run(clients, upstreams):
    """Return the nonces of calls that ran but were reported as not run.

    A request counts as reported not run if all its sends were, or if a
    later query of its key says so. A single send counts as well if no other
    send has its request id.
    """
    reported = {e.nonce for e in clients['end'] if e.outcome == 'not-run'}
    reported |= {e.nonce for e in clients['asked'] if e.outcome == 'not-run'}
    reported |= _calls_reported_not_run(upstreams)
    contradicted = reported & set(_count_runs(upstreams))
    return sorted(contradicted | _sends_reported_not_run(clients, upstreams))


def _calls_reported_not_run(upstreams):
    """Return nonces of nested calls with all sends reported as not run."""
    not_run = {e.nonce for e in upstreams['call'] if e.detail == 'not-run'}
    others = {e.nonce for e in upstreams['call'] if e.detail != 'not-run'}
    return not_run - others - _interrupted_calls(upstreams)


def _interrupted_calls(upstreams):
    """Return nonces of nested calls that began and have no recorded end."""
    begun = collections.Counter(e.nonce for e in upstreams['calling'])
    ended = collections.Counter(e.nonce for e in upstreams['call'])
    return set(begun - ended)


def _sends_reported_not_run(clients, upstreams):
    """Return nonces of sends that ran but were reported as not run."""
    sends = collections.Counter(e.request_id for e in clients['answer'])
    ran = {e.request_id for e in upstreams['start']} - {''}
    return {
        event.nonce
        for event in clients['answer']
        if event.outcome == 'not-run'
        and event.request_id in ran
        and sends[event.request_id] == 1
    }


def _unaccounted(clients, upstreams):
    """Return nonces without exactly one outcome, or without a request."""
    begun = collections.Counter(e.nonce for e in clients['begin'])
    ended = collections.Counter(e.nonce for e in clients['end'])
    mismatched = (begun - ended) + (ended - begun)
    invalid = [e.nonce for e in clients['end'] if e.outcome not in OUTCOMES]
    unrequested = {
        event.nonce
        for event in upstreams['start']
        if _root_nonce(event.nonce) not in begun
    }
    return list(mismatched.elements()) + invalid + sorted(unrequested)


def _count_attempts(upstreams):
    reached = upstreams['start'] + upstreams['refused']
    return collections.Counter(event.nonce for event in reached)


def _attempts_by_depth(upstreams):
    attempts_by_depth = collections.defaultdict(list)
    for nonce, attempts in _count_attempts(upstreams).items():
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
