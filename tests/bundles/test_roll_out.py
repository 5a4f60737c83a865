"""Roll-outs with lost answers of the platform and with racing operators."""

import hypothesis
from hypothesis import strategies
import pytest

from rosemarycrank import bundles
from rosemarycrank import standins
from rosemarycrank import table_service
from tests.bundles import conftest

OPERATORS = conftest.make_operators('ana', 'berta')


class Client:
    """Client of the platform with scripted faults.

    ``faults`` has one entry for each table write: 'ok', 'down',
    'lost-before' (the request is lost before the write takes effect) or
    'lost-after' (the answer is lost after that). Further writes succeed.
    ``before_write`` is called once, just before the first table write.
    ``puts`` has one entry for each object put, 'lost-before' or
    'lost-after'.
    """

    def __init__(self, tables, faults=(), before_write=None, puts=()):
        self.tables = tables
        self.puts = list(puts)
        self.faults = list(faults)
        self.before_write = before_write

    def execute(self, operation):
        if isinstance(operation, table_service.ObjectPut) and self.puts:
            return self._put(operation, self.puts.pop(0))
        if not isinstance(operation, table_service.TableWrite):
            return self.tables.execute(operation)
        if self.before_write is not None:
            callback, self.before_write = self.before_write, None
            callback()
        fault = self.faults.pop(0) if self.faults else 'ok'
        if fault == 'down':
            raise table_service.PlatformUnavailable('down')
        if fault == 'lost-before':
            raise table_service.PlatformAnswerLost('lost')
        result = self.tables.execute(operation)
        if fault == 'lost-after':
            raise table_service.PlatformAnswerLost('lost')
        return result

    def _put(self, operation, fault):
        if fault == 'lost-after':
            self.tables.execute(operation)
        raise table_service.PlatformAnswerLost('lost')


@pytest.fixture
def tables():
    return standins.Tables()


def signed(version, rank=0):
    content = conftest.make_content(version, rank=rank)
    return bundles.SignedBundle(OPERATORS.head(content), content)


def roll_out(client, bundle, write_id='w'):
    return bundles.roll_out(
        client, bundle, OPERATORS.trusted, write_id, sleep=lambda s: None
    )


def current_head(tables):
    current, _ = bundles.read_current(tables)
    return current.head if current else None


def test_roll_out_stores_row_body_and_delta(tables):
    first, second = signed(1), signed(2)
    assert roll_out(tables, first, 'a').changed
    assert roll_out(tables, second, 'b').changed
    assert current_head(tables) == second.head
    stored = bundles.read_content(tables, second.head)
    assert stored.to_bytes() == second.content.to_bytes()
    current, _ = bundles.read_current(tables)
    assert current.base_hash == first.head.hash


def test_second_roll_out_of_the_same_bundle_changes_nothing(tables):
    roll_out(tables, signed(1), 'a')
    assert not roll_out(tables, signed(1), 'b').changed


@pytest.mark.parametrize('version', [1, 3])
def test_bundle_that_is_not_the_next_version_is_refused(tables, version):
    roll_out(tables, signed(1), 'a')
    with pytest.raises(bundles.OutOfSequenceError) as caught:
        roll_out(tables, signed(version, rank=4), 'b')
    assert caught.value.current_head.version == 1


def test_lost_race_error_has_the_head_in_force(tables):
    roll_out(tables, signed(1), 'a')
    winner, loser = signed(2, rank=1), signed(2, rank=2)
    client = Client(tables, before_write=lambda: roll_out(tables, winner, 'b'))
    with pytest.raises(bundles.LostRaceError) as caught:
        roll_out(client, loser, 'c')
    assert caught.value.current_head == winner.head
    assert current_head(tables) == winner.head


def test_same_bundle_rolled_out_by_another_operator(tables):
    client = Client(
        tables, before_write=lambda: roll_out(tables, signed(1), 'b')
    )
    assert not roll_out(client, signed(1), 'c').changed


@pytest.mark.parametrize(
    'faults',
    [['lost-after'], ['lost-before'], ['lost-before', 'lost-after', 'down']],
)
def test_lost_answer_is_read_back(tables, faults):
    assert roll_out(Client(tables, faults), signed(1)).changed
    assert current_head(tables) == signed(1).head


def test_write_that_took_effect_is_not_sent_again(tables):
    roll_out(Client(tables, ['lost-after']), signed(1))
    body_and_row = 2
    assert tables.writes == body_and_row


@pytest.mark.parametrize('puts', [['lost-after'], ['lost-before']])
def test_lost_answer_to_a_body_is_read_back(tables, puts):
    assert roll_out(Client(tables, puts=puts), signed(1)).changed
    assert bundles.read_content(tables, signed(1).head) is not None


def test_body_that_cannot_be_stored_leaves_the_row_alone(tables):
    client = Client(tables, puts=['lost-before'] * 2)
    with pytest.raises(table_service.PlatformUnavailable, match='no row'):
        roll_out(client, signed(1))
    assert current_head(tables) is None


def test_lost_race_with_a_lost_answer_is_a_lost_race(tables):
    winner = signed(1, rank=1)
    client = Client(
        tables, ['lost-after'], lambda: roll_out(tables, winner, 'b')
    )
    with pytest.raises(bundles.LostRaceError):
        roll_out(client, signed(1, rank=2), 'c')


def test_roll_out_has_no_effect_while_the_platform_is_down(tables):
    with pytest.raises(table_service.PlatformUnavailable):
        roll_out(Client(tables, ['down']), signed(1))
    assert current_head(tables) is None


def test_lost_answer_that_cannot_be_read_back_is_unknown(tables):
    client = Client(tables, ['lost-before'] * 9)
    with pytest.raises(bundles.OutcomeUnknownError):
        roll_out(client, signed(1))


def test_unapproved_bundle_never_reaches_the_platform(tables):
    content = conftest.make_content(1)
    head = bundles.unsigned_head(content).sign(
        'ana', OPERATORS.private_keys['ana']
    )
    with pytest.raises(bundles.SignatureError):
        roll_out(tables, bundles.SignedBundle(head, content))
    assert tables.writes == 0


@hypothesis.given(
    faults=strategies.lists(
        strategies.sampled_from(['ok', 'lost-before', 'lost-after', 'down']),
        max_size=6,
    ),
    raced=strategies.booleans(),
)
def test_reported_outcome_matches_the_table(faults, raced):
    tables = standins.Tables()
    rival = signed(1, rank=1)
    before = (lambda: roll_out(tables, rival, 'r')) if raced else None
    mine = signed(1, rank=2)
    try:
        roll_out(Client(tables, faults, before), mine, 'm')
    except (bundles.LostRaceError, table_service.PlatformUnavailable):
        assert current_head(tables) != mine.head
    except bundles.OutcomeUnknownError:
        # All four attempts failed, the first with a lost answer.
        assert 'ok' not in faults[:4]
        assert faults[0].startswith('lost')
    else:
        assert current_head(tables) == mine.head
