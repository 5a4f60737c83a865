"""HTTP interface of the upstream stand-in."""

import time

import attrs
import falcon
import gevent
import msgspec

from rosemarycrank.standins import _requests
from rosemarycrank.standins import _runner
from rosemarycrank.standins import _server

_STATUS_BY_ENDING = {
    _runner.Ending.COMPLETE: 200,
    _runner.Ending.CALL_FAILED: 502,
    _runner.Ending.WRONG_ANSWER: 502,
    _runner.Ending.EXPIRED: 504,
    _runner.Ending.CANCELLED: 499,
}
_HANG_S = 3600.0


def application(runner, run_log, on_drain_change):
    """Return the WSGI application of an upstream.

    Parameters
    ----------
    runner : Runner
        Runs the requests.
    run_log : RunLog
        Log of the runs.
    on_drain_change : callable
        Called with the new value when the ``drain`` switch changes.

    Returns
    -------
    falcon.App
        The application.
    """
    app = falcon.App()
    app.add_route('/load', _LoadResource(runner))
    app.add_route('/health', _HealthResource(runner))
    app.add_route('/control', _ControlResource(runner, on_drain_change))
    app.add_route('/runs', _RunsResource(run_log))
    app.add_route('/in-flight/{token}', _InFlightResource(runner))
    app.add_sink(_RequestSink(runner, run_log))
    return app


class _RequestSink:
    """Handles every path that is not a control endpoint of the stand-in."""

    def __init__(self, runner, run_log):
        self._runner = runner
        self._run_log = run_log

    def __call__(self, request, response):
        parsed = self._parse(request)
        if self._runner.should_inject(self._runner.behaviour.drop_early_rate):
            self._run_log.record_refusal(parsed, 'connection dropped')
            _server.drop_connection(request)
            return
        if parsed.token:
            # Lets the node use the connection again.
            response.set_header('Rosemarycrank-Token', parsed.token)
        try:
            ending = self._runner.run(parsed)
        except _runner.Refusal as refusal:
            _respond_refused(response, refusal)
            return
        self._respond(request, response, parsed, ending)

    def _parse(self, request):
        body = _server.read_body(request)
        if body is None:
            raise falcon.HTTPBadRequest(
                description='request body is truncated or too large'
            )
        try:
            return _requests.parse(self._runner.settings, request, body)
        except ValueError as error:
            raise falcon.HTTPBadRequest(description=str(error)) from error

    def _respond(self, request, response, parsed, ending):
        body = self._encode_body(parsed, ending)
        behaviour = self._runner.behaviour
        if self._runner.should_inject(behaviour.hang_rate):
            gevent.sleep(_HANG_S)
        elif self._runner.should_inject(behaviour.drop_rate):
            _server.drop_connection(request)
        elif self._runner.should_inject(behaviour.truncate_rate):
            _server.send_truncated(request, body)
        response.status = _STATUS_BY_ENDING[ending]
        response.content_type = falcon.MEDIA_JSON
        response.data = body

    def _encode_body(self, parsed, ending):
        return msgspec.json.encode(
            {
                'upstream': self._run_log.upstream,
                'ending': ending.value,
                'padding': 'x' * self._runner.settings.answer_bytes,
                'digest': parsed.digest,
            }
        )


def _respond_refused(response, refusal):
    response.status = 503
    response.set_header('Upstream-Outcome', 'not-run')
    response.set_header('Retry-After', '1')
    response.media = {'refused': str(refusal)}


class _LoadResource:
    def __init__(self, runner):
        self._runner = runner
        self._sampled_at = 0.0
        self._sampled_in_flight = 0

    def on_get(self, request, response):
        behaviour = self._runner.behaviour
        now = time.monotonic()
        if now - self._sampled_at >= behaviour.report_lag_s:
            self._sampled_at = now
            self._sampled_in_flight = self._runner.in_flight
        response.media = {
            'in_flight': round(
                self._sampled_in_flight * behaviour.load_factor
            ),
            'slots': self._runner.settings.slots,
        }


class _HealthResource:
    def __init__(self, runner):
        self._runner = runner

    def on_get(self, request, response):
        response.media = {'healthy': self._runner.behaviour.reported_healthy}


class _ControlResource:
    def __init__(self, runner, on_drain_change):
        self._runner = runner
        self._on_drain_change = on_drain_change

    def on_get(self, request, response):
        runner = self._runner
        response.media = {
            **attrs.asdict(runner.behaviour),
            'in_flight': runner.in_flight,
            'waiting': runner.waiting,
        }

    def on_post(self, request, response):
        previous = self._runner.behaviour
        body = _server.read_body(request) or b''
        self._runner.behaviour = _server.changed_switches(body, previous)
        if self._runner.behaviour.drain != previous.drain:
            self._on_drain_change(self._runner.behaviour.drain)
        self.on_get(request, response)


class _RunsResource:
    def __init__(self, run_log):
        self._run_log = run_log

    def on_get(self, request, response):
        response.content_type = falcon.MEDIA_JSON
        response.data = msgspec.json.encode(list(self._run_log.events))


class _InFlightResource:
    def __init__(self, runner):
        self._runner = runner

    def on_delete(self, request, response, token):
        found = self._runner.cancel(token)
        response.status = falcon.HTTP_204 if found else falcon.HTTP_404
