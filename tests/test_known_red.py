"""Passing over exactly the tests that are listed in KNOWN-RED.txt."""

import pytest

pytest_plugins = ['pytester']

TESTS = """
import pytest

def test_red():
    assert {red}

@pytest.mark.parametrize('seed', [1, 2])
def test_seed(seed):
    assert seed != {bad_seed}

def test_green():
    assert {green}

@pytest.fixture
def broken():
    raise ValueError('broken fixture')

def test_fixture({fixture}):
    pass
"""

LISTED = """Text that names test_green.py and other things.

test_it.py::test_red
    python -m pytest test_it.py::test_green failed. Issue 1.
test_it.py::test_seed[2]
    Issue 2.
test_it.py::test_fixture
    Issue 3.
"""


@pytest.fixture
def run(pytester):
    """Run the tests above in a folder of their own."""

    def run_tests(*options, listed=LISTED, **values):
        defaults = {'red': 1, 'bad_seed': 0, 'green': 1, 'fixture': ''}
        pytester.makepyfile(test_it=TESTS.format(**defaults | values))
        (pytester.path / 'KNOWN-RED.txt').write_text(listed)
        return pytester.runpytest('-q', *options)

    return run_tests


def run_passing_over(run, *options, **values):
    return run('-p', 'tests.known_red', *options, **values)


def test_listed_failures_do_not_count_and_are_printed(run):
    result = run_passing_over(run, red=0, bad_seed=2, fixture='broken')
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(
        [
            '*tests listed in KNOWN-RED.txt*',
            'failed: test_it.py::test_red',
            '*assert 0*',
            'failed: test_it.py::test_seed[[]2[]]',
            'failed: test_it.py::test_fixture',
            '*broken fixture*',
            '2 passed, 3 xfailed in *',
        ]
    )


def test_listed_failures_do_not_count_in_parallel_runs(run):
    result = run_passing_over(run, '-n', '2', red=0, bad_seed=2)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(
        [
            'failed: test_it.py::test_red',
            'failed: test_it.py::test_seed[[]2[]]',
            'passed: test_it.py::test_fixture',
            'KNOWN-RED.txt says why these 3 tests are listed*',
        ]
    )


@pytest.mark.parametrize('fault', [{'green': 0}, {'bad_seed': 1}])
def test_other_failures_count_in_parallel_runs(run, fault):
    result = run_passing_over(run, '-n', '2', red=0, **fault)
    assert result.ret == pytest.ExitCode.TESTS_FAILED


def test_listed_name_without_a_test_fails_parallel_runs(run):
    listed = LISTED + 'test_it.py::test_none\n'
    result = run_passing_over(run, '-n', '2', listed=listed)
    assert result.ret not in (
        pytest.ExitCode.OK,
        pytest.ExitCode.NO_TESTS_COLLECTED,
    )


def test_listed_tests_that_pass_are_printed(run):
    result = run_passing_over(run)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(
        [
            'passed: test_it.py::test_red',
            'passed: test_it.py::test_seed[[]2[]]',
            'passed: test_it.py::test_fixture',
        ]
    )
    assert result.parseoutcomes() == {'passed': 2, 'xpassed': 3}


@pytest.mark.parametrize('fault', [{'green': 0}, {'bad_seed': 1}])
def test_other_failures_count(run, fault):
    result = run_passing_over(run, red=0, **fault)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    assert result.parseoutcomes()['failed'] == 1


def test_listed_failures_count_without_the_plug_in(run):
    result = run(red=0, bad_seed=2)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    assert result.parseoutcomes() == {'failed': 2, 'passed': 3}


@pytest.mark.parametrize('name', ['test_none', 'test_seed', 'test_seed[3]'])
def test_listed_name_without_a_test_is_an_error(run, name):
    listed = LISTED + f'test_it.py::{name}\n'
    result = run_passing_over(run, listed=listed)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    assert f'do not exist: test_it.py::{name}\n' in result.stderr.str()


def test_listed_test_that_is_deselected_is_printed_as_not_run(run):
    result = run('-p', 'tests.known_red', '-k', 'test_green')
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(['not run: test_it.py::test_red'])


@pytest.mark.parametrize('listed', ['', 'No test fails at present.\n'])
def test_nothing_is_passed_over_when_nothing_is_listed(run, listed):
    result = run_passing_over(run, listed=listed, red=0)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.stdout.no_fnmatch_line('*KNOWN-RED.txt*')


def test_collection_errors_are_reported(run):
    result = run_passing_over(run, red='(')
    assert result.ret == pytest.ExitCode.INTERRUPTED
    result.stdout.fnmatch_lines(['*SyntaxError*', 'ERROR test_it.py*'])
