"""Open-loop load: requests are sent when due, whatever came before."""

import random
import time

import gevent
from gevent import pool

from rosemarycrank import http_client
from rosemarycrank.load import _keys
from rosemarycrank.load import _records
from rosemarycrank.load import _scenario
from rosemarycrank.load import _session
from rosemarycrank.load import _statistics

# Nodes may themselves wait some seconds for the owner of a key.
_ASK_TIMEOUT_S = 8.0
_ASK_NODES = 3


class Driver:
    """Drives a scenario against entry nodes.

    Parameters
    ----------
    scenario : Scenario
        What is sent.
    nodes : list of str
        ``host:port`` of the entry nodes' ports for clients.
    record : callable
        Takes each `ClientEvent`.

    Attributes
    ----------
    statistics : Statistics
        Counts and latencies so far.
    """

    def __init__(self, scenario, nodes, record):
        self.statistics = _statistics.Statistics()
        self._scenario = scenario
        self._nodes = list(nodes)
        self._record = record
        self._random = random.Random(f'{scenario.seed} nodes')
        self._clients_by_node = {
            node: _client(node, scenario.connections) for node in nodes
        }
        self._keys = self._key_source()
        self._sessions = pool.Group()
        self._unknown_sessions = []

    def run(self):
        """Send all requests and wait for the last end."""
        started_at = time.time()
        for arrival in _scenario.arrivals(self._scenario):
            due_at = started_at + arrival.at_s
            gevent.sleep(max(0.0, due_at - time.time()))
            self._begin(arrival, due_at)
        self._sessions.join()
        if self._scenario.ask_later:
            self._ask_all()

    def print_progress(self, write, interval_s=1.0):
        """Write a line of progress at an interval, for ever."""
        started_at = time.time()
        while True:
            gevent.sleep(interval_s)
            write(self.statistics.progress(time.time() - started_at))

    def _key_source(self):
        if self._scenario.keys is _scenario.Keys.NODE:
            return _keys.NodeKeys(self._clients_by_node)
        return _keys.ClientKeys()

    def _begin(self, arrival, due_at):
        nodes = self._random.sample(self._nodes, len(self._nodes))
        session = _session.Session(
            arrival,
            nodes,
            self._clients_by_node,
            self._keys,
            self._record,
            due_at,
        )
        self.statistics.begin()
        self._sessions.spawn(self._run, session)

    def _run(self, session):
        end = session.run()
        self.statistics.end(session.arrival.kind.name, end)
        if end.outcome == _session.UNKNOWN and session.key:
            self._unknown_sessions.append(session)

    def _ask_all(self):
        askers = pool.Pool(32)
        askers.map(self._ask, self._unknown_sessions)

    def _ask(self, session):
        """Ask the nodes in turn what became of a key."""
        for node in session.nodes[:_ASK_NODES]:
            client = self._clients_by_node[node]
            try:
                response = client.request(
                    'GET', f'/keys/{session.key}', timeout_s=_ASK_TIMEOUT_S
                )
            except http_client.HttpError:
                continue
            self._record(_asked_event(session, node, response))
            return


def _asked_event(session, node, response):
    header = response.headers.get
    return _records.ClientEvent(
        event='asked',
        nonce=session.arrival.nonce,
        at=time.time(),
        key=session.key,
        node=node,
        outcome=header('rosemarycrank-outcome', ''),
        result=int(header('rosemarycrank-result', '0')),
        status=response.status,
    )


def _client(address, connections):
    host, _, port = address.rpartition(':')
    return http_client.Client(host, int(port), max_connections=connections)
