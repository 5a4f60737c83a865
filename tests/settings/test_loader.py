"""Loading and validation of settings from YAML.

An operator gets all problems of a file at once, each with its line. Input
from outside must not exhaust memory or stack, or run code: it gives settings
or problems, and no other exception.
"""

import hypothesis
from hypothesis import strategies
import pytest

from rosemarycrank import settings

NODE = b"""\
address: 127.0.0.1:7100
http_address: 127.0.0.1:7101
admin_address: 127.0.0.1:7102
failure_domain: escazu
cluster_key_file: cluster.key
"""


def problems_of(text):
    with pytest.raises(settings.SettingsError) as caught:
        settings.parse(text, settings.NodeSettings, 'node.yaml')
    return {p.key: p for p in caught.value.exceptions}


def test_missing_keys_get_their_defaults():
    node = settings.parse(NODE, settings.NodeSettings, 'node.yaml')
    assert node.failure_domain == 'escazu'
    assert node.bundle_poll_s == 1.0
    assert node.seeds == ()


def test_all_problems_are_reported_at_once_with_their_lines():
    problems = problems_of(
        NODE.replace(b'escazu', b'7')
        + b'max_connections: 0\nseeds: [a:1, b]\nsede: []\nregion: x\n'
        + b'region: y\n'
    )
    lines = {key: problem.line for key, problem in problems.items()}
    assert lines == {
        'failure_domain': 4,
        'max_connections': 6,
        'seeds[1]': 7,
        'sede': 8,
        'region': 10,
    }
    assert str(problems['max_connections']) == (
        'node.yaml:6: max_connections: got 0, '
        'allowed an integer from 1 to 65536'
    )


def test_missing_required_keys_are_reported():
    problems = problems_of(b'{}')
    assert set(problems) == {
        'address',
        'http_address',
        'admin_address',
        'failure_domain',
        'cluster_key_file',
    }


@pytest.mark.parametrize(
    ('text', 'line'),
    [
        (b'a: [', 2),
        (b'a: &x 1\nb: *x\n', 2),
        (b'a: ' + b'[' * 100, 1),
        (b'\xff\xfe\xff', 0),
        (b'---\na: 1\n---\nb: 1\n', 3),
        (b'#' * (5 * 1024 * 1024), 0),
    ],
)
def test_malicious_documents_are_rejected(text, line):
    problems = problems_of(text + b'\n' * (text == b'a: ['))
    assert problems[''].line == line


def test_values_of_foreign_tags_are_not_constructed():
    problems = problems_of(
        NODE + b'region: !!python/object/apply:os.getcwd []\n'
    )
    assert 'region' in problems


@pytest.mark.parametrize('number', ['.nan', '.inf', 'true', '"1"', '[1]'])
def test_intervals_accept_only_finite_numbers(number):
    problems = problems_of(NODE + f'bundle_poll_s: {number}\n'.encode())
    assert set(problems) == {'bundle_poll_s'}


def test_unreadable_file_is_reported(tmp_path):
    with pytest.raises(settings.SettingsError) as caught:
        settings.load(tmp_path / 'none.yaml', settings.NodeSettings)
    assert caught.value.exceptions[0].allowed == 'a readable file'


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_give_settings_or_problems(text):
    try:
        settings.parse(text, settings.NodeSettings, 'fuzz')
    except settings.SettingsError as error:
        assert error.exceptions


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
)


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(sorted(settings.NodeSettings.constraints)),
        JSON,
    )
)
def test_any_mapping_gives_settings_or_problems(mapping):
    try:
        settings.build(settings.NodeSettings, mapping)
    except settings.SettingsError as error:
        assert all(
            isinstance(problem, settings.ProblemError)
            for problem in error.exceptions
        )


# Guards against grace periods in which a node can't answer what is left.
@pytest.mark.parametrize('value', [b'0.9', b'601', b'-1', b'never'])
def test_grace_period_is_checked(value):
    problems = problems_of(NODE + b'grace_s: ' + value + b'\n')
    assert problems['grace_s'].allowed == 'a number from 1.0 to 600.0 s'
