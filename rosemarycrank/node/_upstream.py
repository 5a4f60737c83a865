"""Task that calls the local upstream over HTTP."""

import logging
import typing

import gevent
from gevent import pool
from gevent import socket
import msgspec

from rosemarycrank import decoding
from rosemarycrank import http_client
from rosemarycrank import kernel
from rosemarycrank import results

LOG = logging.getLogger(__name__)

#: Maximum number of connections to an upstream that announces no number.
DEFAULT_MAX_CONNECTIONS = 256

CONNECT_TIMEOUT_S = 1.0

#: Timeout of the connection that shows whether the upstream's process has
#: ended, in seconds. The operating system refuses it at once then.
PROBE_TIMEOUT_S = 0.1

#: Header with the token of a call, which the upstream may return.
TOKEN_HEADER = 'Rosemarycrank-Token'

#: Timeout of requests for load, health and cancellation, in seconds.
CONTROL_TIMEOUT_S = 1.0

#: Interval at which load and health are requested, in seconds.
REPORT_PERIOD_S = 1.0

#: Response header, and its value, by which an upstream states that it did not
#: run the request.
OUTCOME_HEADER = 'upstream-outcome'
OUTCOME_NOT_RUN = 'not-run'


#: Largest number of requests that an upstream may report.
MAX_REPORTED = 1_000_000

_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_REPORTED)]


class _Load(msgspec.Struct):
    in_flight: _Count
    slots: _Count


class _Health(msgspec.Struct):
    healthy: bool


_LOAD_DECODER = msgspec.json.Decoder(_Load)
_HEALTH_DECODER = msgspec.json.Decoder(_Health)


class UpstreamTask:
    """Calls the local upstream, and requests its load and health.

    Parameters
    ----------
    deliver : callable
        Called with each event for the kernel.
    """

    def __init__(self, deliver):
        self.deliver = deliver
        self._client = None
        self._address = ''
        self._requests = pool.Group()
        self._report_greenlet = None

    def connect(self, announcement):
        """Use the announced address for calls from now on.

        Parameters
        ----------
        announcement : rosemarycrank.kernel.UpstreamAnnounced
            Announcement of the upstream.
        """
        if announcement.address == self._address:
            return
        self._address = announcement.address
        self._client = http_client.Client.for_address(
            announcement.address,
            max_connections=announcement.max_connections
            or DEFAULT_MAX_CONNECTIONS,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            token_header=TOKEN_HEADER,
        )
        if self._report_greenlet is None:
            self._report_greenlet = gevent.spawn(self._report_load_and_health)

    def call(self, effect):
        """Execute an `UpstreamCall` in a new greenlet.

        Parameters
        ----------
        effect : rosemarycrank.kernel.UpstreamCall
            Effect with the request for the upstream.
        """
        self._requests.spawn(self._call, self._client, effect)

    def cancel(self, effect):
        """Execute an `UpstreamCancel` in a new greenlet.

        Parameters
        ----------
        effect : rosemarycrank.kernel.UpstreamCancel
            Effect with the token of the call to cancel.
        """
        self._requests.spawn(
            self._send_control_request,
            'DELETE',
            f'/in-flight/{effect.token}',
        )

    def stop(self):
        """Stop all greenlets."""
        if self._report_greenlet is not None:
            self._report_greenlet.kill()
        self._requests.kill()

    def _call(self, client, effect):
        self.deliver(self._call_upstream(client, effect))

    def _call_upstream(self, client, effect):
        try:
            response = client.request(
                effect.method,
                effect.path,
                body=effect.body,
                headers=effect.headers,
                timeout_s=effect.timeout_s,
            )
        except http_client.ConnectFailed:
            return _failed_answer(effect, results.Result.CONNECT_FAILED)
        except http_client.AnswerTruncated:
            return _lost_answer(
                client, effect, results.Result.ANSWER_TRUNCATED
            )
        except http_client.AnswerLost:
            return _lost_answer(client, effect, results.Result.ANSWER_LOST)
        except ValueError:
            # The HTTP client refused to send a malformed path or header.
            return _failed_answer(effect, results.Result.CONNECT_FAILED)
        result = results.Result.OK
        if response.headers.get(OUTCOME_HEADER) == OUTCOME_NOT_RUN:
            result = results.Result.UPSTREAM_REFUSED
        return kernel.UpstreamAnswer(
            token=effect.token,
            result=result,
            status=response.status,
            headers=response.headers,
            body=response.body,
            retry_after_s=_parse_seconds(response.headers.get('retry-after')),
        )

    def _report_load_and_health(self):
        while True:
            gevent.sleep(REPORT_PERIOD_S)
            try:
                load = decoding.decode(_LOAD_DECODER, self._read('/load'))
                health = decoding.decode(
                    _HEALTH_DECODER, self._read('/health')
                )
            except (http_client.HttpError, decoding.DecodeError) as error:
                LOG.info(
                    'no report of the upstream', extra={'error': str(error)}
                )
                continue
            self.deliver(
                kernel.UpstreamReport(
                    in_flight=load.in_flight,
                    slots=load.slots,
                    healthy=health.healthy,
                )
            )

    def _read(self, path):
        return self._client.request(
            'GET', path, timeout_s=CONTROL_TIMEOUT_S
        ).body

    def _send_control_request(self, method, path):
        try:
            self._client.request(method, path, timeout_s=CONTROL_TIMEOUT_S)
        except http_client.HttpError as error:
            LOG.info(
                'control request failed',
                extra={'path': path, 'error': str(error)},
            )


def _lost_answer(client, effect, result):
    return kernel.UpstreamAnswer(
        token=effect.token, result=result, process_ended=_has_ended(client)
    )


def _has_ended(client):
    """Return whether no process listens at the upstream's address any more.

    A connection may be lost while the process lives.
    """
    try:
        probe = socket.create_connection(
            (client.host, client.port), PROBE_TIMEOUT_S
        )
    except ConnectionRefusedError:
        return True
    except OSError as error:
        LOG.info('probe of the upstream failed', extra={'error': str(error)})
        return False
    probe.close()
    return False


def _failed_answer(effect, result):
    return kernel.UpstreamAnswer(token=effect.token, result=result)


def _parse_seconds(value):
    """Return a number of seconds; 0 for a date and for malformed values."""
    try:
        return max(0.0, float(value or 0))
    except ValueError:
        return 0.0
