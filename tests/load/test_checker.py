"""The checker finds each fault that is planted."""

import attrs
import pytest

from rosemarycrank import load

COMPLETE, NOT_RUN, UNKNOWN = 'complete', 'not-run', 'unknown'


@attrs.define
class Story:
    """Records of client requests and of runs."""

    client_events: list = attrs.field(factory=list)
    run_events: list = attrs.field(factory=list)

    def request(self, nonce, outcome, runs=1, paid=True, **answer):
        """Add a request with one send, and its runs."""
        digest = f'digest of {nonce}'
        told = {
            'outcome': outcome,
            'request_id': f'id of {nonce}',
            'status': 200 if outcome == COMPLETE else 503,
            'answer_digest': digest if outcome == COMPLETE else '',
        }
        told.update(answer)
        self.client('begin', nonce, paid=paid, digest=digest)
        self.client('answer', nonce, **told)
        self.client('end', nonce, **told)
        for _ in range(runs):
            self.run('start', nonce, request_id=f'id of {nonce}')

    def client(self, event, nonce, **fields):
        """Add an event of a client."""
        self.client_events.append(
            load.ClientEvent(event=event, nonce=nonce, at=0.0, **fields)
        )

    def run(self, event, nonce, **fields):
        """Add an event of an upstream."""
        number = len(self.run_events)
        self.run_events.append(
            load.RunEvent(event, 'u:1', number, 0.0, nonce, **fields)
        )

    def report(self):
        """Return the checker's report."""
        return load.check(self.client_events, self.run_events)


@pytest.fixture
def story():
    """A story in which nothing is wrong."""
    story = Story()
    story.request('a', COMPLETE)
    story.request('b', NOT_RUN, runs=0)
    story.request('c', UNKNOWN)
    story.request('d', UNKNOWN, runs=0)
    story.request('e', COMPLETE, runs=2, paid=False)
    story.run('start', 'a.0', paid=True)
    story.run('refused', 'a.0')
    story.run('calling', 'a.0')
    story.run('call', 'a.0', detail=COMPLETE)
    return story


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


def test_sound_history(story):
    report = story.report()
    _assert_only(report)
    assert (report.calls, report.complete) == (5, 2)
    assert (report.not_run, report.unknown) == (1, 2)
    assert (report.runs, report.refusals) == (5, 1)
    assert report.attempts_by_depth[0].most_attempts == 2
    assert report.attempts_by_depth[1].attempts == 2
    assert report.most_retries_per_send == 1


def test_retries_in_the_whole_chain(story):
    retries = load.retries_by_request(story.client_events, story.run_events)
    assert retries == {'a': 1, 'c': 0, 'e': 1}
    story.run('calling', 'a.0')
    story.run('start', 'a.0')
    story.run('start', 'a.0.3')
    story.run('calling', 'a.0.3')
    story.client('answer', 'e', outcome=UNKNOWN)
    retries = load.retries_by_request(story.client_events, story.run_events)
    assert retries == {'a': 1, 'c': 0, 'e': 0}


def test_second_run_of_a_paid_key(story):
    story.run('start', 'a', paid=True)
    _assert_only(story.report(), duplicate_paid_runs=1)


def test_second_run_of_a_nested_paid_call(story):
    story.run('start', 'a.0', paid=True)
    _assert_only(story.report(), duplicate_paid_runs=1)


def test_forged_not_run(story):
    story.request('x', NOT_RUN, runs=1)
    _assert_only(story.report(), runs_reported_not_run=1)


def test_forged_not_run_of_one_send_among_others(story):
    story.client('begin', 'x', digest='x')
    for number, outcome in enumerate((NOT_RUN, UNKNOWN)):
        story.client('answer', 'x', outcome=outcome, request_id=f'x{number}')
    story.client('end', 'x', outcome=UNKNOWN)
    story.run('start', 'x', request_id='x1')
    _assert_only(story.report())
    story.run('start', 'x', request_id='x0')
    _assert_only(story.report(), runs_reported_not_run=1)


def test_forged_not_run_of_a_nested_call(story):
    story.run('start', 'a.1')
    story.run('calling', 'a.1')
    story.run('call', 'a.1', detail=NOT_RUN)
    _assert_only(story.report(), runs_reported_not_run=1)


def test_forged_answer_about_a_key(story):
    story.client('asked', 'd', outcome=NOT_RUN)
    _assert_only(story.report())
    story.client('asked', 'c', outcome=NOT_RUN)
    _assert_only(story.report(), runs_reported_not_run=1)


def test_swapped_answers(story):
    story.request('x', COMPLETE, answer_digest='digest of y')
    story.request('y', COMPLETE, answer_digest='digest of x')
    _assert_only(story.report(), wrong_answers=2)


def test_cut_answer_reported_complete(story):
    story.request('x', COMPLETE, answer_digest='')
    _assert_only(story.report(), wrong_answers=1)


def test_swapped_answer_to_a_nested_call(story):
    story.run('call', 'a.0', detail='wrong-answer')
    _assert_only(story.report(), wrong_answers=1)


def test_complete_answer_without_a_run(story):
    story.request('x', COMPLETE, runs=0)
    _assert_only(story.report(), wrong_answers=1)


def test_missing_answer(story):
    story.client('begin', 'x')
    _assert_only(story.report(), unaccounted=1)


def test_answer_without_an_outcome(story):
    story.request('x', '')
    _assert_only(story.report(), unaccounted=1)


def test_second_end_of_a_request(story):
    story.client('end', 'a', outcome=COMPLETE)
    _assert_only(story.report(), unaccounted=1)


def test_run_that_nobody_asked_for(story):
    story.run('start', 'x')
    _assert_only(story.report(), unaccounted=1)


def test_files_with_a_cut_last_line(story, tmp_path):
    history, runs = tmp_path / 'history', tmp_path / 'runs'
    for path, events in (
        (history, story.client_events),
        (runs, story.run_events),
    ):
        writer = load.Writer(path)
        for event in events:
            writer.append(event)
        writer.close()
        path.write_bytes(path.read_bytes() + b'{"event": "st')
    assert load.check_files([history], [runs]) == story.report()
