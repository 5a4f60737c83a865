"""Replies that a target's node keeps for duplicates of attempts.

The tests guard against memory without a bound, and against an evicted reply
that lets a duplicate of its attempt run again.
"""

import pytest

from rosemarycrank.calls import _reply_cache
from rosemarycrank import messages
from rosemarycrank import results
from tests.calls import network as network_module

VALIDITY_S = 30.0
MAX_BYTES = 1000


def make_reply(attempt_id, body=b'', result=results.Result.OK):
    return messages.AttemptReply(
        attempt_id, result.number, incarnation=1, tick=0.0, body=body
    )


@pytest.fixture
def cache():
    return _reply_cache.ReplyCache(VALIDITY_S, MAX_BYTES)


def test_reply_is_found_until_its_validity_ends(cache):
    reply = make_reply('a1', b'x' * 10)
    cache.add(reply, 0.0)
    cache.remove_expired(VALIDITY_S - 0.1)
    assert cache.find('a1').reply == reply
    cache.remove_expired(VALIDITY_S)
    assert cache.find('a1') is None
    assert (len(cache), cache.body_bytes) == (0, 0)


def test_only_expired_replies_are_removed(cache):
    for second in range(10):
        cache.add(make_reply(f'a{second}', b'x'), float(second))
    cache.remove_expired(VALIDITY_S + 4.5)
    assert [cache.find(f'a{n}') is None for n in range(10)] == (
        [True] * 5 + [False] * 5
    )
    assert cache.body_bytes == 5


def test_oldest_bodies_are_evicted_beyond_the_limit(cache):
    for number in range(25):
        cache.add(make_reply(f'a{number}', b'x' * 100), 0.0)
    assert cache.body_bytes == MAX_BYTES
    for number in range(25):
        cached = cache.find(f'a{number}')
        assert (cached.reply is None) == (number < 15)


def test_replies_without_a_body_are_not_evicted(cache):
    refusal = make_reply('a1', result=results.Result.SHED)
    cache.add(refusal, 0.0)
    cache.add(make_reply('a2', b'x' * 600), 0.0)
    cache.add(make_reply('a3', b'x' * 600), 0.0)
    assert cache.find('a1').reply == refusal
    assert cache.find('a2').reply is None


def test_evicted_replies_expire_as_well(cache):
    for number in range(3):
        cache.add(make_reply(f'a{number}', b'x' * 600), 0.0)
    cache.remove_expired(VALIDITY_S)
    assert (len(cache), cache.body_bytes) == (0, 0)


def lose_replies_and_duplicate_attempts(network, sender, destination, message):
    if isinstance(message, messages.AttemptReply):
        return []
    if isinstance(message, messages.Attempt):
        return [0.001, 0.5]
    return [0.001]


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_attempt_runs_once_although_its_reply_was_evicted(method):
    network = network_module.Network()
    network.add_node('e:1', 'front')
    network.add_node('t:1', 's', max_cached_bytes=0)
    network.run(0.5)
    first = network.message_count
    network.faults = {
        first + number: lose_replies_and_duplicate_attempts
        for number in range(100)
    }
    network.send_request('e:1', 'r1', method)
    network.run(20.0)
    answer = network.answers_by_request_id['r1']
    assert answer.result is results.Result.ANSWER_LOST
    entry = network.hosts_by_address['e:1'].kernel.context.counters
    assert network.count_runs('/r1') == entry['entry.attempts']
    if method == 'POST':
        assert network.count_runs('/r1') == 1
