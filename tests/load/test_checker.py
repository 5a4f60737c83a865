"""The checker finds each fault that is inserted into sound records."""

import attrs
import pytest

from rosemarycrank import load

COMPLETE, NOT_RUN, UNKNOWN = 'complete', 'not-run', 'unknown'


@attrs.define
class History:
    """Events of clients and upstreams, built up by a test."""

    client_events: list = attrs.field(factory=list)
    run_events: list = attrs.field(factory=list)

    def add_request(self, nonce, outcome, runs=1, paid=True, **answer):
        """Add a request with one send and a number of runs."""
        digest = f'digest of {nonce}'
        answer_fields = {
            'outcome': outcome,
            'request_id': f'id of {nonce}',
            'status': 200 if outcome == COMPLETE else 503,
            'answer_digest': digest if outcome == COMPLETE else '',
        }
        answer_fields.update(answer)
        self.add_client_event('begin', nonce, paid=paid, digest=digest)
        self.add_client_event('answer', nonce, **answer_fields)
        self.add_client_event('end', nonce, **answer_fields)
        for _ in range(runs):
            self.add_run_event('start', nonce, request_id=f'id of {nonce}')

    def add_client_event(self, event, nonce, **fields):
        """Add an event of a client."""
        self.client_events.append(
            load.ClientEvent(event=event, nonce=nonce, at=0.0, **fields)
        )

    def add_run_event(self, event, nonce, **fields):
        """Add an event of an upstream."""
        number = len(self.run_events)
        self.run_events.append(
            load.RunEvent(event, 'u:1', number, 0.0, nonce, **fields)
        )

    def report(self):
        """Return the checker's report."""
        return load.check(self.client_events, self.run_events)


@pytest.fixture
def history():
    """A history without faults."""
    history = History()
    history.add_request('a', COMPLETE)
    history.add_request('b', NOT_RUN, runs=0)
    history.add_request('c', UNKNOWN)
    history.add_request('d', UNKNOWN, runs=0)
    history.add_request('e', COMPLETE, runs=2, paid=False)
    history.add_run_event('start', 'a.0', paid=True)
    history.add_run_event('refused', 'a.0')
    history.add_run_event('calling', 'a.0')
    history.add_run_event('call', 'a.0', detail=COMPLETE)
    return history


def _faults(report):
    names = (
        'wrong_answers',
        'duplicate_paid_runs',
        'runs_reported_not_run',
        'unaccounted',
    )
    return {name: getattr(report, name) for name in names}


def _assert_only(report, **expected):
    assert _faults(report) == {**dict.fromkeys(_faults(report), 0), **expected}
    assert report.passed == (not expected)


def test_sound_history(history):
    report = history.report()
    _assert_only(report)
    assert (report.calls, report.complete) == (5, 2)
    assert (report.not_run, report.unknown) == (1, 2)
    assert (report.runs, report.refusals) == (5, 1)
    assert report.attempts_by_depth[0].most_attempts == 2
    assert report.attempts_by_depth[1].attempts == 2
    assert report.most_retries_per_send == 1


def test_retries_in_the_whole_chain(history):
    """Sends by callers, also those of nested calls, are not retries.

    A further send without a run lowers the count of its own request only.
    """
    retries = load.retries_by_request(
        history.client_events, history.run_events
    )
    assert retries == {'a': 1, 'c': 0, 'e': 1}
    history.add_run_event('calling', 'a.0')
    history.add_run_event('start', 'a.0')
    history.add_run_event('start', 'a.0.3')
    history.add_run_event('calling', 'a.0.3')
    history.add_client_event('answer', 'e', outcome=UNKNOWN)
    retries = load.retries_by_request(
        history.client_events, history.run_events
    )
    assert retries == {'a': 1, 'c': 0, 'e': 0}


def test_second_run_of_a_paid_key(history):
    history.add_run_event('start', 'a', paid=True)
    _assert_only(history.report(), duplicate_paid_runs=1)


def test_second_run_of_a_nested_paid_call(history):
    history.add_run_event('start', 'a.0', paid=True)
    _assert_only(history.report(), duplicate_paid_runs=1)


def test_forged_not_run(history):
    history.add_request('x', NOT_RUN, runs=1)
    _assert_only(history.report(), runs_reported_not_run=1)


def test_forged_not_run_of_one_send_among_others(history):
    """A run is matched to the send by request id, not by nonce alone.

    The run of a send with unknown outcome is no fault; a run of the send
    that was answered as not run is one.
    """
    history.add_client_event('begin', 'x', digest='x')
    for number, outcome in enumerate((NOT_RUN, UNKNOWN)):
        history.add_client_event(
            'answer', 'x', outcome=outcome, request_id=f'x{number}'
        )
    history.add_client_event('end', 'x', outcome=UNKNOWN)
    history.add_run_event('start', 'x', request_id='x1')
    _assert_only(history.report())
    history.add_run_event('start', 'x', request_id='x0')
    _assert_only(history.report(), runs_reported_not_run=1)


def test_forged_not_run_of_a_nested_call(history):
    history.add_run_event('start', 'a.1')
    history.add_run_event('calling', 'a.1')
    history.add_run_event('call', 'a.1', detail=NOT_RUN)
    _assert_only(history.report(), runs_reported_not_run=1)


def test_forged_answer_about_a_key(history):
    """The query of a key reports not run for a request that ran."""
    history.add_client_event('asked', 'd', outcome=NOT_RUN)
    _assert_only(history.report())
    history.add_client_event('asked', 'c', outcome=NOT_RUN)
    _assert_only(history.report(), runs_reported_not_run=1)


def test_swapped_answers(history):
    history.add_request('x', COMPLETE, answer_digest='digest of y')
    history.add_request('y', COMPLETE, answer_digest='digest of x')
    _assert_only(history.report(), wrong_answers=2)


def test_truncated_answer_reported_complete(history):
    """A truncated body has no digest, so it must not count as complete."""
    history.add_request('x', COMPLETE, answer_digest='')
    _assert_only(history.report(), wrong_answers=1)


def test_swapped_answer_to_a_nested_call(history):
    history.add_run_event('call', 'a.0', detail='wrong-answer')
    _assert_only(history.report(), wrong_answers=1)


def test_complete_answer_without_a_run(history):
    history.add_request('x', COMPLETE, runs=0)
    _assert_only(history.report(), wrong_answers=1)


def test_missing_answer(history):
    history.add_client_event('begin', 'x')
    _assert_only(history.report(), unaccounted=1)


def test_answer_without_an_outcome(history):
    history.add_request('x', '')
    _assert_only(history.report(), unaccounted=1)


def test_second_end_of_a_request(history):
    history.add_client_event('end', 'a', outcome=COMPLETE)
    _assert_only(history.report(), unaccounted=1)


def test_run_without_a_request(history):
    history.add_run_event('start', 'x')
    _assert_only(history.report(), unaccounted=1)


def test_files_with_an_incomplete_last_line(history, tmp_path):
    """A process that is killed while it writes leaves a partial line."""
    history_path, runs_path = tmp_path / 'history', tmp_path / 'runs'
    for path, events in (
        (history_path, history.client_events),
        (runs_path, history.run_events),
    ):
        writer = load.Writer(path)
        for event in events:
            writer.append(event)
        writer.close()
        path.write_bytes(path.read_bytes() + b'{"event": "st')
    assert load.check_files([history_path], [runs_path]) == history.report()
