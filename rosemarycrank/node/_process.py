"""The node as a process: tasks, start, planned stop."""

import gc
import logging
import time

from gevent import event
import pynng

from rosemarycrank import http_client
from rosemarycrank import kernel
from rosemarycrank import messages
from rosemarycrank.node import _admin
from rosemarycrank.node import _build
from rosemarycrank.node import _http
from rosemarycrank.node import _kernel_task
from rosemarycrank.node import _platform_task
from rosemarycrank.node import _transport
from rosemarycrank.node import _upstream
from rosemarycrank.node import _web
from rosemarycrank import table_service

LOG = logging.getLogger(__name__)

#: Connections on the admin address.
ADMIN_CONNECTIONS = 32

#: Longest wait for open client connections when the process stops.
STOP_TIMEOUT_S = 2.0


class Node:
    """One node with all its tasks.

    Parameters
    ----------
    settings : rosemarycrank.settings.NodeSettings
        Checked settings.
    cluster_key : bytes
        Key shared by all nodes.
    trusted_keys : object
        Signers of bundles that are trusted.

    Raises
    ------
    OSError, ValueError
        If a file that the settings name cannot be used.
    """

    def __init__(self, settings, cluster_key, trusted_keys):
        self.settings = settings
        self.stopped = event.Event()
        self.kernel = _build.build_kernel(
            settings, cluster_key, trusted_keys, time.monotonic()
        )
        self._task = _kernel_task.KernelTask(self.kernel)
        codec = messages.Codec(cluster_key, settings.address)
        self._transport = _transport.Transport(
            settings.address,
            settings.listen_address or settings.address,
            codec,
            self.post,
        )
        self._upstream = _upstream.UpstreamTask(self.post)
        client = None
        if settings.platform_url:
            client = table_service.HttpPlatform(settings.platform_url)
        self._platform = _platform_task.PlatformTask(client, self.post)
        ledger = next(
            part for part in self.kernel.components if part.name == 'ledger'
        )
        self._clients = _http.ClientApplication(
            self.post, self._task.ask, ledger, settings.max_body_bytes
        )
        tls_context = None
        if settings.tls_certificate_file or settings.tls_key_file:
            tls_context = _web.server_tls_context(
                settings.tls_certificate_file, settings.tls_key_file
            )
        self._client_server = _web.Server(
            settings.http_address,
            self._clients.wsgi,
            settings.max_connections,
            tls_context,
        )
        operator_tokens = ()
        if settings.operator_token_file:
            operator_tokens = http_client.read_tokens(
                settings.operator_token_file
            )
        self._admin_server = _web.Server(
            settings.admin_address,
            _admin.AdminApplication(self, operator_tokens).wsgi,
            ADMIN_CONNECTIONS,
            tls_context,
        )
        self._connect_effects()

    @property
    def http_address(self):
        """Bound ``host:port`` for clients."""
        host, port = self._client_server.address[:2]
        return f'{host}:{port}'

    @property
    def admin_address(self):
        """Bound ``host:port`` for operators."""
        host, port = self._admin_server.address[:2]
        return f'{host}:{port}'

    def start(self):
        """Start all tasks and listen.

        Raises
        ------
        OSError, pynng.NNGException
            If an address cannot be listened on; nothing is left open.
        """
        try:
            self._transport.start()
            self._platform.start()
            self._task.start()
            self._admin_server.start()
            self._client_server.start()
        except (OSError, pynng.NNGException):
            self.close()
            raise
        # Objects made at start live as long as the process; the collector
        # need not visit them during calls.
        gc.collect()
        gc.freeze()
        LOG.info('started', extra={'address': self.settings.address})

    def post(self, message):
        """Hand an event to the kernel.

        Parameters
        ----------
        message : object
            Event of the kernel.
        """
        self._task.post(message)

    def upstream_announced(self, announced):
        """Take an announcement of the local upstream.

        Parameters
        ----------
        announced : rosemarycrank.kernel.UpstreamAnnounced
            The announcement.
        """
        self._upstream.connect(announced)
        self.post(announced)

    def dump(self):
        """Return the state of all parts.

        Returns
        -------
        dict
            Sections by name; values that JSON can carry.
        """
        sections = self._task.dump()
        sections['transport'] = self._transport.dump()
        sections['process'] = {
            'waiting_clients': self._clients.waiting(),
            'kernel_errors': self._task.errors_,
            'failed_handshakes': self._client_server.failed_handshakes_
            + self._admin_server.failed_handshakes_,
            'http_address': self.http_address,
            'admin_address': self.admin_address,
        }
        return sections

    def request_stop(self):
        """Begin the planned stop; `stopped` is set when it is complete."""
        LOG.info('stopping', extra={'address': self.settings.address})
        # The server goes on accepting: what runs at the local upstream may
        # still have calls of its own to make through this node.
        self.post(kernel.DrainRequested(stop=True))

    def close(self):
        """Close everything after the planned stop."""
        self._client_server.stop(timeout=STOP_TIMEOUT_S)
        self._admin_server.stop(timeout=STOP_TIMEOUT_S)
        self._task.stop()
        self._platform.stop()
        self._upstream.stop()
        self._transport.stop()
        LOG.info('stopped', extra={'address': self.settings.address})

    def _connect_effects(self):
        task = self._task
        task.perform(kernel.Send, self._transport.send)
        task.perform(kernel.ResetPeer, self._transport.reset)
        task.perform(kernel.UpstreamCall, self._upstream.call)
        task.perform(kernel.UpstreamCancel, self._upstream.cancel)
        task.perform(kernel.PlatformRequest, self._platform.request)
        task.perform(kernel.Reply, self._clients.reply)
        task.perform(kernel.StopNow, lambda effect: self.stopped.set())
