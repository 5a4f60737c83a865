"""Connections to the local target, over real sockets."""

import gc
import math
import random
import socket
import struct
import tracemalloc

import gevent
import pytest

from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _names
from rosemarycrank.dataplane import _reactor
from rosemarycrank.dataplane import _upstream

RESPONSE = (
    b'HTTP/1.1 200 OK\r\nrosemarycrank-request-id: r1\r\n'
    b'rosemarycrank-signature: s\r\nContent-Length: 2\r\n\r\nok'
)
REQUEST = b'GET /%d HTTP/1.1\r\n\r\n'

#: Time in which the loop passes on what is written, in seconds.
PASS_S = 0.05


@pytest.fixture
def listener():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        yield listener


@pytest.fixture
def pool(listener):
    pool = _upstream.UpstreamPool(
        _reactor.Reactor(), listener.getsockname(), _names.HeaderNames()
    )
    yield pool
    pool.close()


def _serve_first_request(pool, listener):
    """Return the target's end of a connection that has served a request."""
    answers = []
    pool.acquire(True).start(b'r1', REQUEST % 1, b'', False, answers.append)
    gevent.sleep(PASS_S)
    target, _ = listener.accept()
    target.recv(4096)
    target.sendall(RESPONSE)
    gevent.sleep(PASS_S)
    assert [answer.status for answer in answers] == [200]
    return target


@pytest.mark.parametrize(
    'status_line, field, per_s',
    [
        (b'200 OK', b'', math.inf),
        (b'200 OK', b'rosemarycrank-rate-limit: 51.8\r\n', 51.8),
        (b'200 OK', b'rosemarycrank-rate-limit: -1\r\n', None),
        (b'503 Full', b'rosemarycrank-rate-limit: 20\r\n', 20.0),
        (b'421 Other', b'rosemarycrank-rate-limit: 20\r\n', None),
    ],
)
def test_rate_limit_of_the_target_is_read_from_its_answers(
    pool, listener, status_line, field, per_s
):
    answers = []
    pool.acquire(True).start(b'r1', REQUEST % 1, b'', False, answers.append)
    gevent.sleep(PASS_S)
    target, _ = listener.accept()
    with target:
        target.recv(4096)
        target.sendall(
            RESPONSE.replace(b'200 OK\r\n', status_line + b'\r\n' + field)
        )
        gevent.sleep(PASS_S)
    assert [answer.rate_limit_per_s for answer in answers] == [per_s]


LEAVING = b'rosemarycrank-leaving: 1\r\n'


# Guards against a leaving that is only told in answers, and not noticed.
@pytest.mark.parametrize(
    ('answer', 'is_leaving'),
    [
        (RESPONSE.replace(b'Content', LEAVING + b'Content'), True),
        (RESPONSE, False),
        (
            RESPONSE.replace(
                b'Content', b'rosemarycrank-leaving: 0\r\nContent'
            ),
            False,
        ),
        (RESPONSE.replace(b'200 OK\r\n', b'503 Full\r\n' + LEAVING), True),
        (RESPONSE.replace(b'200 OK\r\n', b'421 Other\r\n' + LEAVING), False),
        # The head is whole, the body is not.
        (RESPONSE.replace(b'Content', LEAVING + b'Content')[:-1], True),
        # The head is not whole.
        (RESPONSE.replace(b'Content', LEAVING + b'Content')[:-6], False),
        # The answer to another request.
        (
            RESPONSE.replace(b'id: r1', b'id: r9').replace(
                b'Content', LEAVING + b'Content'
            ),
            False,
        ),
        (b'garbage\r\n' + LEAVING + b'\r\n', False),
    ],
    ids=range(9),
)
def test_leaving_of_the_target_is_read_from_its_answers(
    pool, listener, answer, is_leaving
):
    answers = []
    pool.acquire(True).start(b'r1', REQUEST % 1, b'', False, answers.append)
    gevent.sleep(PASS_S)
    target, _ = listener.accept()
    with target:
        target.recv(4096)
        target.sendall(answer)
    gevent.sleep(PASS_S)
    assert [answer.is_leaving for answer in answers] == [is_leaving]


# Guards against requests that reach the target after their cancellation: the
# end of a connection sent what was queued on it.
def test_request_aborted_before_it_is_sent_does_not_reach_the_target(
    pool, listener
):
    with _serve_first_request(pool, listener) as target:
        connection = pool.acquire(True)
        connection.start(b'r2', REQUEST % 2, b'', False, lambda _answer: None)
        connection.abort()
        gevent.sleep(PASS_S)
        assert target.recv(4096) == b''
    assert pool.opened == 1


# Guards against an answer that reaches another caller: the target sends a
# second copy of it on a connection that is in use again.
@pytest.mark.parametrize(
    'status_line, has_id',
    [(b'200 OK', True), (b'500 Error', True), (b'500 Error', False)],
)
@pytest.mark.parametrize('is_in_use', [True, False])
def test_second_copy_of_an_answer_reaches_no_other_caller(
    pool, listener, status_line, has_id, is_in_use
):
    first = RESPONSE.replace(b'200 OK', status_line)
    if not has_id:
        first = first.replace(b'rosemarycrank-request-id: r1\r\n', b'')
    pool.acquire(True).start(
        b'r1', REQUEST % 1, b'', False, lambda _answer: None
    )
    gevent.sleep(PASS_S)
    target, _ = listener.accept()
    with target:
        target.recv(4096)
        target.sendall(first)
        gevent.sleep(PASS_S)
        if not is_in_use:
            _send(target, first)
        answers = []
        pool.acquire(True).start(
            b'r2', REQUEST % 2, b'', False, answers.append
        )
        if is_in_use:
            _send(target, first)
        gevent.sleep(PASS_S)
        target = _end_of_request(listener, target)
        _send(target, RESPONSE.replace(b'r1', b'r2'))
    assert [answer.status for answer in answers] == [200]


REFUSAL = (
    b'HTTP/1.1 503 Full\r\nrosemarycrank-request-id: r1\r\n'
    b'rosemarycrank-not-executed: 1\r\nContent-Length: 0\r\n\r\n'
)
REFUSED_BY_OTHER = b'HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n'
WITHOUT_ID = REFUSAL.replace(b'rosemarycrank-request-id: r1\r\n', b'')


def _outcomes(answers):
    return [_frames.Outcome(answer.outcome).name for answer in answers]


# Guards against callers who are told "not run" for a request that runs: the
# target sends an earlier refusal once more, on a connection in use again.
@pytest.mark.parametrize('is_at_once', [True, False])
def test_earlier_refusal_is_not_the_answer_to_a_later_request(
    pool, listener, is_at_once
):
    answers = []
    pool.acquire(True).start(b'r1', REQUEST % 1, b'', False, answers.append)
    gevent.sleep(PASS_S)
    target, _ = listener.accept()
    with target:
        target.recv(4096)
        connection_count = pool.opened
        _send(target, REFUSAL)
        pool.acquire(True).start(
            b'r2', REQUEST % 2, b'', False, answers.append
        )
        assert pool.opened == connection_count
        if not is_at_once:
            gevent.sleep(PASS_S)
        _send(target, REFUSAL)
        _send(target, RESPONSE.replace(b'r1', b'r2'))
    assert _outcomes(answers) == ['NOT_RUN', 'COMPLETE']


# Guards against the same if the copy does not name its request.
@pytest.mark.parametrize('refusal', [WITHOUT_ID, REFUSED_BY_OTHER])
def test_refusal_without_id_proves_nothing_on_a_connection_in_use_again(
    pool, listener, refusal
):
    with _serve_first_request(pool, listener) as target:
        answers = []
        pool.acquire(True).start(
            b'r2', REQUEST % 2, b'', False, answers.append
        )
        gevent.sleep(PASS_S)
        _send(target, refusal)
    assert _outcomes(answers) == ['UNKNOWN']


def test_refusal_without_id_counts_on_a_new_connection(pool, listener):
    answers = []
    pool.acquire(True).start(b'r1', REQUEST % 1, b'', False, answers.append)
    gevent.sleep(PASS_S)
    target, _ = listener.accept()
    with target:
        _send(target, WITHOUT_ID)
    assert _outcomes(answers) == ['NOT_RUN']


# Guards against a 200 with an empty or short body, framed as whole: the target
# stops within the head of its answer, or its body, and closes.
@pytest.mark.parametrize('interim', [b'', b'HTTP/1.1 100 Continue\r\n\r\n'])
def test_answer_that_ends_early_is_not_complete(pool, listener, interim):
    response = interim + RESPONSE
    answers = []
    for length in range(len(response)):
        pool.acquire(True).start(
            b'r1', REQUEST % 1, b'', False, answers.append
        )
        target, _ = listener.accept()
        with target:
            target.sendall(response[:length])
    gevent.sleep(PASS_S)
    assert _outcomes(answers) == ['UNKNOWN'] * len(response)


def test_head_without_length_that_ends_early_is_not_complete(pool, listener):
    head = RESPONSE[: RESPONSE.index(b'Content-Length')]
    answers = []
    for length in range(len(head) + 1):
        pool.acquire(True).start(
            b'r1', REQUEST % 1, b'', False, answers.append
        )
        target, _ = listener.accept()
        with target:
            target.sendall(head[:length])
    gevent.sleep(PASS_S)
    assert _outcomes(answers) == ['UNKNOWN'] * (len(head) + 1)


#: More than the buffers between node and target take.
UPLOAD = bytes(16_000_000)
WITHOUT_LENGTH = RESPONSE.replace(b'Content-Length: 2\r\n', b'')
IN_CHUNKS = (
    RESPONSE.replace(b'Content-Length: 2', b'Transfer-Encoding: chunked')[:-2]
    + b'2\r\nok\r\n0\r\n\r\n'
)


def _begin_upload(pool, listener, on_answer):
    """Begin a request that the target does not read to its end."""
    connection = pool.acquire(True)
    connection.start(b'r1', REQUEST % 1, UPLOAD, False, on_answer)
    gevent.sleep(PASS_S)
    assert connection.stream.unsent_bytes
    return connection, listener.accept()[0]


def _reset(sock):
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    sock.close()


# Guards against a part of an answer that clients get as a complete one: the
# target answers an upload at once without a length, and resets the connection
# while the upload is being written.
@pytest.mark.parametrize('end', [_reset, socket.socket.close])
@pytest.mark.parametrize('length', [-1, len(WITHOUT_LENGTH)])
def test_early_answer_without_length_that_is_reset_is_not_complete(
    pool, listener, end, length
):
    answers = []
    connection, target = _begin_upload(pool, listener, answers.append)
    target.sendall(WITHOUT_LENGTH[:length])
    # With unread input, a close is a reset as well.
    end(target)
    # The loop writes before it reads.
    connection.stream.write(b'more')
    gevent.sleep(PASS_S)
    assert _outcomes(answers) == ['UNKNOWN']


@pytest.mark.parametrize('response', [RESPONSE, IN_CHUNKS])
def test_early_answer_that_is_whole_counts_whatever_comes_after_it(
    pool, listener, response
):
    answers = []
    connection, target = _begin_upload(pool, listener, answers.append)
    target.sendall(response)
    _reset(target)
    connection.stream.write(b'more')
    gevent.sleep(PASS_S)
    assert _outcomes(answers) == ['COMPLETE']
    assert answers[0].body == b'ok'


def test_early_answer_without_length_that_ends_in_order_is_complete(
    pool, listener
):
    answers = []
    connection, target = _begin_upload(pool, listener, answers.append)
    with target:
        target.sendall(WITHOUT_LENGTH)
        target.shutdown(socket.SHUT_WR)
        connection.stream.write(b'more')
        gevent.sleep(PASS_S)
    assert _outcomes(answers) == ['COMPLETE']
    assert answers[0].body == b'ok'


# Guards against the same at any moment of the upload and of the answer.
@pytest.mark.parametrize('seed', range(20))
def test_no_early_answer_that_is_reset_is_complete(pool, listener, seed):
    rng = random.Random(seed)
    answers = []
    connection, target = _begin_upload(pool, listener, answers.append)
    target.setblocking(False)
    pieces = [WITHOUT_LENGTH, *[bytes(1000)] * rng.randrange(4)]
    for piece in pieces:
        target.sendall(piece)
        if rng.random() < 0.5:
            target.recv(rng.randrange(1, 1_000_000))
        if rng.random() < 0.5:
            gevent.sleep(rng.choice([0.0, 0.002]))
    _reset(target)
    gevent.sleep(PASS_S)
    assert not connection.stream.is_open
    assert _outcomes(answers) == ['UNKNOWN']


def _send(target, data):
    """Send data, if the other end is still there, and wait for its effect."""
    try:
        target.sendall(data)
    except OSError:
        pass
    gevent.sleep(PASS_S)


def _end_of_request(listener, target):
    """Return the target's end of the connection that the request is on."""
    listener.settimeout(0.0)
    try:
        return listener.accept()[0]
    except BlockingIOError:
        return target


# Guards against a target that ends and listens again at once, and so passes
# for alive.
@pytest.mark.parametrize('closed', [0, 1, 2, 3])
def test_loss_of_all_connections_shows_the_end_of_the_target(
    pool, listener, closed
):
    ends = []
    for number in range(3):
        pool.acquire(True).start(
            b'r1', REQUEST % number, b'', False, lambda _a: 0
        )
        ends.append(listener.accept()[0])
    gevent.sleep(PASS_S)
    for end in ends[:closed]:
        end.close()
    gevent.sleep(PASS_S)
    lost_at = pool.reactor.now()
    pool.acquire(True).start(b'r2', REQUEST % 9, b'', False, lambda _answer: 0)
    assert pool.has_lost_all(lost_at) == (closed == 3)


# Guards against innocent requests that are refused: a target in trouble resets
# connections one after the other, and passes for one that has crashed.
def test_losses_one_after_the_other_do_not_show_it(pool, listener):
    for number in range(4):
        pool.acquire(True).start(
            b'r1', REQUEST % number, b'', False, lambda _answer: 0
        )
        listener.accept()[0].close()
        gevent.sleep(0.01)
        assert pool.open_count == 0
        assert not pool.has_lost_all(pool.reactor.now())


# Guards against a single answer that is lost with its connection, and that
# passes for the end of the target.
def test_loss_of_one_connection_does_not_show_it(pool, listener):
    pool.acquire(True).start(b'r1', REQUEST % 1, b'', False, lambda _answer: 0)
    listener.accept()[0].close()
    gevent.sleep(PASS_S)
    assert not pool.has_lost_all(pool.reactor.now())


# Guards against unfinished responses that take memory, but none of their
# budget, from the end of the request until a rare garbage collection.
@pytest.mark.parametrize('is_aborted', [False, True])
def test_memory_of_an_unfinished_response_is_freed(pool, listener, is_aborted):
    answers = []
    size = 2_000_000
    connection = pool.acquire(True)
    connection.start(b'r1', REQUEST % 1, b'', False, answers.append)
    gevent.sleep(PASS_S)
    target, _ = listener.accept()
    gc.disable()
    tracemalloc.start()
    try:
        with target:
            target.sendall(
                RESPONSE.replace(b'Length: 2', b'Length: %d' % (2 * size))
            )
            # In a thread, as the stream reads meanwhile.
            gevent.get_hub().threadpool.apply(target.sendall, (b'x' * size,))
            gevent.sleep(PASS_S)
            assert pool.budget.used_bytes >= size
            if is_aborted:
                connection.abort()
        gevent.sleep(PASS_S)
        del connection
        used_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()
    assert len(answers) == (not is_aborted)
    assert pool.budget.used_bytes == 0
    assert used_bytes < size / 2
