"""Fake node that forwards calls without routing, admission or retries."""

import itertools
import time

import falcon
import gevent

from rosemarycrank import http_client
from rosemarycrank.standins import _server

WAIT_TIMEOUT_S = 10.0


class FakeNode:
    """Forwards calls to one upstream per service.

    Attributes
    ----------
    upstreams_by_service : dict of str to str
        Address ``host:port`` of the upstream, by service.
    paths : list of str
        Paths of all requests, in order of arrival.
    headers : list of dict
        Headers of calls, in order of arrival.
    refusals_left : int
        Number of calls still to be refused with the outcome not-run.
    swaps_answers : bool
        Whether each caller receives the answer to the previous call.
    dispatches_twice : bool
        Whether each call is forwarded twice.
    forges_not_run : bool
        Whether the outcome not-run is reported for calls that ran.
    """

    def __init__(self):
        self.upstreams_by_service = {}
        self.paths = []
        self.headers = []
        self.refusals_left = 0
        self.swaps_answers = False
        self.dispatches_twice = False
        self.forges_not_run = False
        self._previous_body = b'{}'
        self._key_numbers = itertools.count()
        app = falcon.App()
        # Falcon matches the most recently added sink first.
        app.add_sink(self._handle_other)
        app.add_sink(self._handle_call, r'/call/(?P<service>[^/]+)')
        self._server = _server.Server('127.0.0.1:0', app)
        self._server.start()
        self.address = self._server.bound_address

    def wait_for_requests(self, path, count):
        """Wait until a path has been requested `count` times."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while self.paths.count(path) < count:
            assert time.monotonic() < deadline, self.paths
            gevent.sleep(0.01)

    def stop(self):
        """Stop the server."""
        self._server.stop()

    def _handle_other(self, request, response):
        self.paths.append(request.path)
        if request.path == '/keys':
            count = request.get_param_as_int('count')
            response.media = {'keys': self._issue_keys(count)}

    def _issue_keys(self, count):
        """Return new keys; a node issues each key once."""
        return [f'issued-{next(self._key_numbers)}' for _ in range(count)]

    def _handle_call(self, request, response, service):
        self.paths.append(request.path)
        self.headers.append(request.headers)
        number = len(self.paths)
        response.set_header('Rosemarycrank-Request-Id', f'r{number}')
        if self.refusals_left:
            self.refusals_left -= 1
            _set_result(response, 'not-run', 400, 503)
            response.set_header('Rosemarycrank-Retry-After-Ms', '20')
            return
        self._forward(request, response, service, number)

    def _forward(self, request, response, service, number):
        client = _server.client(self.upstreams_by_service[service])
        headers = {
            'Rosemarycrank-Request-Id': f'r{number}',
            'Rosemarycrank-Token': f't{number}',
        }
        path = request.path.removeprefix(f'/call/{service}')
        body = _server.read_body(request)
        try:
            if self.dispatches_twice:
                client.request(request.method, path, body, headers)
            answer = client.request(request.method, path, body, headers)
        except http_client.HttpError:
            _set_result(response, 'unknown', 600, 502)
            return
        refused = answer.headers.get('upstream-outcome') == 'not-run'
        if refused or self.forges_not_run:
            _set_result(response, 'not-run', 403, 503)
            return
        _set_result(response, 'complete', 100, answer.status)
        response.data = answer.body
        if self.swaps_answers:
            response.data, self._previous_body = (
                self._previous_body,
                answer.body,
            )


def _set_result(response, outcome, result, status):
    response.status = status
    response.set_header('Rosemarycrank-Outcome', outcome)
    response.set_header('Rosemarycrank-Result', str(result))
