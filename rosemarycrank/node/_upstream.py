"""Task that calls the local upstream over HTTP."""

import json
import logging

import gevent
from gevent import pool

from rosemarycrank import http_client
from rosemarycrank import kernel
from rosemarycrank import results

LOG = logging.getLogger(__name__)

DEFAULT_CONNECTIONS = 256
CONNECT_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 1.0
REPORT_PERIOD_S = 1.0

#: Header and value with which an upstream says that it did not run.
OUTCOME_HEADER = 'upstream-outcome'
NOT_RUN = 'not-run'


class UpstreamTask:
    """Owns the connections to the local upstream.

    Parameters
    ----------
    deliver : callable
        Called with each kernel event.
    """

    def __init__(self, deliver):
        self.deliver = deliver
        self._client = None
        self._address = ''
        self._group = pool.Group()
        self._reporter = None

    def connect(self, announced):
        """Use the upstream that announced itself.

        Parameters
        ----------
        announced : rosemarycrank.kernel.UpstreamAnnounced
            The announcement.
        """
        if announced.address == self._address:
            return
        self._address = announced.address
        host, _, port = announced.address.rpartition(':')
        self._client = http_client.Client(
            host,
            int(port),
            max_connections=announced.max_connections or DEFAULT_CONNECTIONS,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
        if self._reporter is None:
            self._reporter = gevent.spawn(self._report)

    def call(self, effect):
        """Carry out an `UpstreamCall`.

        Parameters
        ----------
        effect : rosemarycrank.kernel.UpstreamCall
            The call.
        """
        self._group.spawn(self._call, self._client, effect)

    def cancel(self, effect):
        """Carry out an `UpstreamCancel`.

        Parameters
        ----------
        effect : rosemarycrank.kernel.UpstreamCancel
            Which call.
        """
        self._group.spawn(
            self._control, 'DELETE', f'/in-flight/{effect.token}'
        )

    def stop(self):
        """Stop all tasks."""
        if self._reporter is not None:
            self._reporter.kill()
        self._group.kill()

    def _call(self, client, effect):
        self.deliver(self._answer(client, effect))

    def _answer(self, client, effect):
        try:
            response = client.request(
                effect.method,
                effect.path,
                body=effect.body,
                headers=effect.headers,
                timeout_s=effect.timeout_s,
            )
        except http_client.ConnectFailed:
            return _failed(effect, results.Result.CONNECT_FAILED)
        except http_client.AnswerTruncated:
            return _failed(effect, results.Result.ANSWER_TRUNCATED)
        except http_client.AnswerLost:
            return _failed(effect, results.Result.ANSWER_LOST)
        except ValueError:
            # The client refuses malformed targets and header values.
            return _failed(effect, results.Result.CONNECT_FAILED)
        result = results.Result.OK
        if response.headers.get(OUTCOME_HEADER) == NOT_RUN:
            result = results.Result.UPSTREAM_REFUSED
        return kernel.UpstreamAnswer(
            token=effect.token,
            result=result,
            status=response.status,
            headers=response.headers,
            body=response.body,
            retry_after_s=_seconds(response.headers.get('retry-after')),
        )

    def _report(self):
        while True:
            gevent.sleep(REPORT_PERIOD_S)
            load = self._control('GET', '/load')
            health = self._control('GET', '/health')
            if load is None or health is None:
                continue
            try:
                report = kernel.UpstreamReport(
                    in_flight=int(load['in_flight']),
                    slots=int(load['slots']),
                    healthy=bool(health['healthy']),
                )
            except (KeyError, TypeError, ValueError):
                continue
            self.deliver(report)

    def _control(self, method, path):
        try:
            response = self._client.request(
                method, path, timeout_s=CONTROL_TIMEOUT_S
            )
            return json.loads(response.body) if response.body else {}
        except (http_client.HttpError, ValueError):
            return None


def _failed(effect, result):
    return kernel.UpstreamAnswer(token=effect.token, result=result)


def _seconds(value):
    try:
        return max(0.0, float(value or 0))
    except ValueError:
        return 0.0
