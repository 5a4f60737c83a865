"""Start, tasks and planned stop of the node process."""

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
from rosemarycrank import stop_times
from rosemarycrank import table_service

LOG = logging.getLogger(__name__)

#: Maximum number of connections to the admin address.
MAX_ADMIN_CONNECTIONS = 32

#: Share of the time for the exit in which the last responses are sent.
RESPONSE_SHARE = 0.5


class Node:
    """A node: its kernel and the tasks around it.

    Parameters
    ----------
    settings : rosemarycrank.settings.NodeSettings
        Checked settings.
    cluster_key : bytes
        Key shared by all nodes.
    trusted_keys : rosemarycrank.keys.TrustedKeys
        Keys whose signatures on bundles are accepted.

    Attributes
    ----------
    stopped : gevent.event.Event
        Set once the planned stop is complete.

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
        self._kernel_task = _kernel_task.KernelTask(self.kernel)
        codec = messages.Codec(cluster_key, settings.address)
        self._transport = _transport.Transport(
            settings.address,
            settings.listen_address or settings.address,
            codec,
            self.post,
        )
        self._upstream = _upstream.UpstreamTask(self.post)
        self._platform = self._create_platform_task()
        key_ledger = next(
            component
            for component in self.kernel.components
            if component.name == 'ledger'
        )
        self._client_application = _http.ClientApplication(
            self.post,
            self._kernel_task.run_in_kernel,
            key_ledger,
            settings.max_body_bytes,
        )
        tls_context = self._load_tls_context()
        self._client_server = _web.Server(
            settings.http_address,
            self._client_application.wsgi,
            settings.max_connections,
            tls_context,
        )
        self._admin_server = _web.Server(
            settings.admin_address,
            _admin.AdminApplication(self, self._read_operator_tokens()).wsgi,
            MAX_ADMIN_CONNECTIONS,
            tls_context,
        )
        # Without a planned stop, `close` does not wait for responses.
        self._respond_by = 0.0
        self._register_executors()

    @property
    def http_address(self):
        """``host:port`` that the node listens on for clients."""
        host, port = self._client_server.address[:2]
        return f'{host}:{port}'

    @property
    def admin_address(self):
        """``host:port`` that the node listens on for operators."""
        host, port = self._admin_server.address[:2]
        return f'{host}:{port}'

    def start(self):
        """Start all tasks and servers.

        Raises
        ------
        OSError, pynng.NNGException
            If the node cannot listen on one of its addresses. Everything
            that was started is closed again.
        """
        try:
            self._transport.start()
            self._platform.start()
            self._kernel_task.start()
            self._admin_server.start()
            self._client_server.start()
        except (OSError, pynng.NNGException):
            self.close()
            raise
        # Objects created at start live as long as the process. Freezing them
        # keeps garbage collections during calls from visiting them.
        gc.collect()
        gc.freeze()
        LOG.info('node started', extra={'address': self.settings.address})

    def post(self, kernel_event):
        """Queue an event for the kernel.

        Parameters
        ----------
        kernel_event : object
            Event of the kernel.
        """
        self._kernel_task.post(kernel_event)

    def handle_announcement(self, announcement):
        """Handle an announcement of the local upstream.

        Parameters
        ----------
        announcement : rosemarycrank.kernel.UpstreamAnnounced
            Announcement of the upstream.
        """
        self._upstream.connect(announcement)
        self.post(announcement)

    def dump(self):
        """Return the state of the kernel, the transport and the process.

        Returns
        -------
        dict
            Sections by name; the values can be encoded as JSON.

        Raises
        ------
        gevent.Timeout
            If the kernel does not return its state in time.
        """
        sections = self._kernel_task.dump()
        sections['transport'] = self._transport.dump()
        sections['process'] = {
            'waiting_clients': self._client_application.waiting_count(),
            'kernel_errors': self._kernel_task.errors_,
            'failed_handshakes': self._client_server.failed_handshakes_
            + self._admin_server.failed_handshakes_,
            'http_address': self.http_address,
            'admin_address': self.admin_address,
        }
        return sections

    def request_stop(self):
        """Begin the planned stop; `stopped` is set once it is complete."""
        LOG.info('node stopping', extra={'address': self.settings.address})
        # The servers keep accepting connections: requests that are running
        # at the local upstream may still make calls through this node.
        self.post(kernel.DrainRequested(stop=True))

    def close(self):
        """Stop all servers and tasks, and close all connections.

        After a planned stop, the connections are closed once all responses
        are sent, if that is in time for the exit.
        """
        for server in (self._client_server, self._admin_server):
            server.stop_after_responses(self._respond_by - time.monotonic())
        self._kernel_task.stop()
        self._platform.stop()
        self._upstream.stop()
        self._transport.stop()
        LOG.info('node stopped', extra={'address': self.settings.address})

    def _create_platform_task(self):
        platform_client = None
        if self.settings.platform_url:
            platform_client = table_service.HttpPlatform(
                self.settings.platform_url
            )
        return _platform_task.PlatformTask(platform_client, self.post)

    def _load_tls_context(self):
        """Return the TLS context of the servers; None without TLS."""
        settings = self.settings
        if not (settings.tls_certificate_file or settings.tls_key_file):
            return None
        return _web.server_tls_context(
            settings.tls_certificate_file, settings.tls_key_file
        )

    def _read_operator_tokens(self):
        if not self.settings.operator_token_file:
            return ()
        return http_client.read_tokens(self.settings.operator_token_file)

    def _on_stop_begun(self, effect):
        self._respond_by = (
            effect.exits_at
            + stop_times.exit_margin_s(self.settings.grace_s) * RESPONSE_SHARE
        )
        self._client_server.closes_connections = True

    def _register_executors(self):
        task = self._kernel_task
        task.register_executor(kernel.Send, self._transport.send)
        task.register_executor(kernel.ResetPeer, self._transport.reset)
        task.register_executor(kernel.UpstreamCall, self._upstream.call)
        task.register_executor(kernel.UpstreamCancel, self._upstream.cancel)
        task.register_executor(kernel.PlatformRequest, self._platform.request)
        task.register_executor(kernel.Reply, self._client_application.reply)
        task.register_executor(kernel.StopBegun, self._on_stop_begun)
        task.register_executor(
            kernel.StopNow, lambda effect: self.stopped.set()
        )
