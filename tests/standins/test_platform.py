"""Tests of the platform stand-in over HTTP."""

import pytest

from rosemarycrank import http_client

IF_ABSENT = {'If_None_Match': '*'}
WRITE = {'value': {'x': 1}, 'write_id': 'w1'}


def test_conditional_writes(platform_client):
    call = platform_client.call
    assert call('GET', '/tables/t/k')[0] == 404
    status, row = call('PUT', '/tables/t/k', WRITE, **IF_ABSENT)
    assert (status, row['version'], row['write_id']) == (200, 1, 'w1')
    status, row = call('PUT', '/tables/t/k', WRITE, **IF_ABSENT)
    assert (status, row['version']) == (412, 1)
    status, row = call('PUT', '/tables/t/k', WRITE, If_Match='"1"')
    assert (status, row['version']) == (200, 2)
    assert call('GET', '/tables/t?prefix=k')[1] == {'rows': [row]}
    assert call('PUT', '/tables/t/k', WRITE)[0] == 400


def test_lost_answer_after_the_write(platform_client):
    call = platform_client.call
    call('POST', '/control', {'mode': 'lose-answers'})
    with pytest.raises(http_client.AnswerLost):
        call('PUT', '/tables/t/k', WRITE, **IF_ABSENT)
    assert call('GET', '/tables/t/k')[1]['write_id'] == 'w1'
    assert call('GET', '/control')[1]['answers_lost'] == 1


def test_down_then_up(platform_client):
    call = platform_client.call
    call('POST', '/control', {'mode': 'down'})
    with pytest.raises(http_client.AnswerLost):
        call('GET', '/tables/t/k')
    with pytest.raises(http_client.AnswerLost):
        call('PUT', '/tables/t/k', WRITE, **IF_ABSENT)
    call('POST', '/control', {'mode': 'up'})
    assert call('GET', '/tables/t/k')[0] == 404


def test_bad_switch_is_refused(platform_client):
    status, answer = platform_client.call('POST', '/control', {'mode': 'x'})
    assert status == 400
    assert 'mode' in answer['description']


def test_objects(platform_client):
    client = platform_client.client
    assert client.request('GET', '/objects/o/1').status == 404
    client.request('PUT', '/objects/o/1', b'\x00\x01')
    assert client.request('GET', '/objects/o/1').body == b'\x00\x01'
