"""The end of the local upstream's process is told from a lost connection."""

import socket

import gevent
from gevent import server
import pytest

from rosemarycrank import kernel
from rosemarycrank.node import _upstream
from rosemarycrank import results


@pytest.mark.parametrize('has_ended', [True, False])
def test_end_of_the_process_is_reported_with_a_lost_run(has_ended):
    origins = []

    def serve(connection, _address):
        connection.recv(65536)
        if has_ended:
            origins[0].stop()
        connection.shutdown(socket.SHUT_RDWR)
        connection.close()

    origins.append(server.StreamServer(('127.0.0.1', 0), serve))
    origins[0].start()
    events = []
    task = _upstream.UpstreamTask(events.append)
    task.connect(
        kernel.UpstreamAnnounced(
            's', f'127.0.0.1:{origins[0].server_port}', max_connections=2
        )
    )
    task.call(kernel.UpstreamCall('t1', '', 'GET', '/', {}, b'', 5.0))
    with gevent.Timeout(10.0):
        while not events:
            gevent.sleep(0.01)
    task.stop()
    origins[0].stop()
    assert events[0].result is results.Result.ANSWER_LOST
    assert events[0].process_ended == has_ended
