"""Nodes that connect to another one at once."""

import socket

import gevent
import pytest

from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _reactor
from tests.dataplane import fakes

#: Nodes that connect, as a share of the connections that there is room for.
FLEET_SHARE = 0.9

#: Time in which a node handles what has arrived, in seconds.
PASS_S = 0.5


@pytest.fixture
def reactor():
    return _reactor.Reactor()


@pytest.fixture
def node(reactor, make_side):
    node = _node.Node(
        reactor,
        'n1',
        1,
        None,
        _costs.CallCosts('archive'),
        _front.AdmitAll(),
    )
    node.set_target_side(make_side(4))
    node.listen(('127.0.0.1', 0))
    return node


# Guards against nodes that are kept from connecting after a loss of power:
# connections are accepted in groups, and their handshakes lay unread.
@pytest.mark.parametrize('max_count', [20, 100, 400])
def test_all_nodes_connect_at_once(node, max_count):
    node.inbound_connections.max_count = max_count
    sockets = []
    for number in range(10, 10 + int(FLEET_SHARE * max_count)):
        # Without a pass of the loop in between.
        sock = socket.create_connection(node._listener.address)
        sock.sendall(
            _frames.encode(fakes.hello(f'n{number}:1', incarnation=number))
        )
        sockets.append(sock)
    gevent.sleep(PASS_S)
    connected = [c for c in node.inbound_connections if c.connected]
    for sock in sockets:
        sock.close()
    assert len(connected) == len(sockets)
