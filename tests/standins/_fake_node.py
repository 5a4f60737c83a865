"""A node that passes calls on, without any of a node's decisions."""

import time

import falcon
import gevent

from rosemarycrank import http_client
from rosemarycrank.standins import _server

WAIT_S = 10.0


class FakeNode:
    """Passes calls on to one upstream of each service.

    Attributes
    ----------
    upstreams_by_service : dict of str to str
        ``host:port`` by name of service.
    paths : list of str
        Paths of requests, in order of arrival.
    headers : list of dict
        Headers of calls, in order of arrival.
    refusals_left : int
        Calls that are refused as not run before others are passed on.
    swaps_answers : bool
        Whether each caller gets the answer to the call before its own.
    dispatches_twice : bool
        Whether each call is passed on twice.
    forges_not_run : bool
        Whether callers are told that their call was not run.
    """

    def __init__(self):
        self.upstreams_by_service = {}
        self.paths = []
        self.headers = []
        self.refusals_left = 0
        self.swaps_answers = False
        self.dispatches_twice = False
        self.forges_not_run = False
        self._last_body = b'{}'
        app = falcon.App()
        # The sink that was added last is matched first.
        app.add_sink(self._on_other)
        app.add_sink(self._on_call, r'/call/(?P<service>[^/]+)')
        self._server = _server.Server('127.0.0.1:0', app)
        self._server.start()
        self.address = self._server.bound_address

    def wait_for(self, path, count):
        """Wait until a path was asked for that many times."""
        give_up_at = time.monotonic() + WAIT_S
        while self.paths.count(path) < count:
            assert time.monotonic() < give_up_at, self.paths
            gevent.sleep(0.01)

    def stop(self):
        """Stop to serve."""
        self._server.stop()

    def _on_other(self, request, response):
        self.paths.append(request.path)
        if request.path == '/keys':
            count = request.get_param_as_int('count')
            response.media = {'keys': [f'issued-{n}' for n in range(count)]}

    def _on_call(self, request, response, service):
        self.paths.append(request.path)
        self.headers.append(request.headers)
        number = len(self.paths)
        response.set_header('Rosemarycrank-Request-Id', f'r{number}')
        if self.refusals_left:
            self.refusals_left -= 1
            _answer(response, 'not-run', 400, 503)
            response.set_header('Rosemarycrank-Retry-After-Ms', '20')
            return
        self._pass_on(request, response, service, number)

    def _pass_on(self, request, response, service, number):
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
            _answer(response, 'unknown', 600, 502)
            return
        refused = answer.headers.get('upstream-outcome') == 'not-run'
        if refused or self.forges_not_run:
            _answer(response, 'not-run', 403, 503)
            return
        _answer(response, 'complete', 100, answer.status)
        response.data = answer.body
        if self.swaps_answers:
            response.data, self._last_body = self._last_body, answer.body


def _answer(response, outcome, result, status):
    response.status = status
    response.set_header('Rosemarycrank-Outcome', outcome)
    response.set_header('Rosemarycrank-Result', str(result))
