"""Open-loop load driver.

Each request is sent when it is due, however many are still in flight.
"""

import random
import time

import gevent
from gevent import pool

from rosemarycrank import http_client
from rosemarycrank.load import _keys
from rosemarycrank.load import _scenario
from rosemarycrank.load import _session
from rosemarycrank.load import _statistics

# A node may itself wait some seconds for the node that owns the key.
_KEY_QUERY_TIMEOUT_S = 8.0
_MAX_KEY_QUERY_NODES = 3


class Driver:
    """Sends the requests of a scenario to entry nodes.

    Parameters
    ----------
    scenario : Scenario
        Requests and their arrival rates.
    nodes : list of str
        ``host:port`` of the client ports of the entry nodes.
    record : callable
        Called with each `ClientEvent`.

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
            node: http_client.Client.for_address(
                node, max_connections=scenario.connections
            )
            for node in nodes
        }
        self._keys = self._create_key_source()
        self._sessions = pool.Group()
        self._unknown_sessions = []

    def run(self):
        """Send all requests and wait until the last has ended."""
        started_at = time.time()
        for arrival in _scenario.arrivals(self._scenario):
            due_at = started_at + arrival.at_s
            gevent.sleep(max(0.0, due_at - time.time()))
            self._start_session(arrival, due_at)
        self._sessions.join()
        if self._scenario.ask_later:
            self._query_unknown_keys()

    def print_progress(self, write, interval_s=1.0):
        """Write a line of progress at an interval; never returns."""
        started_at = time.time()
        while True:
            gevent.sleep(interval_s)
            write(self.statistics.progress(time.time() - started_at))

    def _create_key_source(self):
        if self._scenario.keys is _scenario.Keys.NODE:
            return _keys.NodeKeys(self._clients_by_node)
        return _keys.ClientKeys()

    def _start_session(self, arrival, due_at):
        nodes = self._random.sample(self._nodes, len(self._nodes))
        session = _session.Session(
            arrival,
            nodes,
            self._clients_by_node,
            self._keys,
            self._record,
            due_at,
        )
        self.statistics.record_begin()
        self._sessions.spawn(self._run_session, session)

    def _run_session(self, session):
        end = session.run()
        self.statistics.record_end(session.arrival.kind.name, end)
        if end.outcome == _session.UNKNOWN and session.key:
            self._unknown_sessions.append(session)

    def _query_unknown_keys(self):
        queries = pool.Pool(32)
        queries.map(self._query_key, self._unknown_sessions)

    def _query_key(self, session):
        """Query the outcome of a key from one node after the other."""
        for node in session.nodes[:_MAX_KEY_QUERY_NODES]:
            client = self._clients_by_node[node]
            try:
                response = client.request(
                    'GET',
                    f'/keys/{session.key}',
                    timeout_s=_KEY_QUERY_TIMEOUT_S,
                )
            except http_client.HttpError:
                continue
            self._record(
                _session.event_from_response(
                    'asked', session.arrival.nonce, session.key, node, response
                )
            )
            return
