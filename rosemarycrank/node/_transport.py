"""Messages between nodes over pynng push and pull sockets.

Each node has one listening pull socket, and one push socket for each peer
that it sends to. A connection that no longer works can therefore be replaced
by closing its push socket and opening another.

Delivery is not guaranteed: components resend what gets no reply.
"""

import collections
import logging
import time

import gevent
import pynng

from rosemarycrank import kernel
from rosemarycrank import messages

LOG = logging.getLogger(__name__)

#: Maximum number of messages buffered for one peer; beyond it a send fails at
#: once.
SEND_BUFFER_MESSAGES = 512
RECEIVE_BUFFER_MESSAGES = 2048

#: Maximum number of messages received before other greenlets run.
MAX_RECEIVE_BATCH = 64

#: Minimum time between two replacements of one connection, in seconds.
MIN_RESET_INTERVAL_S = 0.25

#: Maximum number of open connections to peers; beyond it the least recently
#: used one is closed.
MAX_PEERS = 1024

RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000


class Transport:
    """Sends and receives the messages of a node.

    Parameters
    ----------
    address : str
        ``host:port`` at which other nodes reach this one.
    listen_address : str
        ``host:port`` to listen on.
    codec : rosemarycrank.messages.Codec
        Encoder and decoder of messages.
    deliver : callable
        Called with each event for the kernel: `Received`, `SendFailed` or
        `PeerLost`.

    Attributes
    ----------
    sent_bytes_by_kind_ : dict of str to int
        Number of bytes sent, by class name of the message.
    received_bytes_ : int
        Number of bytes received.
    undecodable_frames_ : int
        Number of received frames that could not be decoded.
    resets_ : int
        Number of connections that were replaced.
    """

    def __init__(self, address, listen_address, codec, deliver):
        self.address = address
        self.listen_address = listen_address
        self.codec = codec
        self.deliver = deliver
        self.sent_bytes_by_kind_ = {}
        self.received_bytes_ = 0
        self.undecodable_frames_ = 0
        self.resets_ = 0
        self._push_sockets_by_address = collections.OrderedDict()
        self._reset_at_by_address = {}
        self._removed_pipes = collections.deque()
        self._pull_socket = None
        self._watchers = []

    def start(self):
        """Listen, and begin to deliver received messages.

        Raises
        ------
        pynng.NNGException
            If it is not possible to listen on the address.
        """
        self._pull_socket = pynng.Pull0(
            listen=f'tcp://{self.listen_address}',
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
            recv_max_size=messages.MAX_FRAME_BYTES,
        )
        loop = gevent.get_hub().loop
        read_watcher = loop.io(self._pull_socket.recv_fd, 1)
        read_watcher.start(self._receive)
        # nng reports closed connections on its own threads. The watcher
        # wakes the event loop of this thread.
        self._wake_watcher = loop.async_()
        self._wake_watcher.start(self._report_lost_peers)
        self._watchers = [read_watcher, self._wake_watcher]

    def stop(self):
        """Close all sockets."""
        for watcher in self._watchers:
            watcher.stop()
            watcher.close()
        self._watchers = []
        for push_socket in self._push_sockets_by_address.values():
            push_socket.close()
        self._push_sockets_by_address.clear()
        if self._pull_socket is not None:
            self._pull_socket.close()

    def send(self, effect):
        """Send a message; deliver `SendFailed` if that is not possible.

        A message to this node itself is delivered without a socket.

        Parameters
        ----------
        effect : rosemarycrank.kernel.Send
            Effect with the message and the address of its receiver.
        """
        if effect.address == self.address:
            self.deliver(kernel.Received(self.address, effect.message))
            return
        frame = self.codec.encode(effect.message)
        kind = type(effect.message).__name__
        try:
            self._get_push_socket(effect.address).send(frame, block=False)
        except pynng.NNGException:
            # The buffer is full or the address is invalid. In both cases
            # nothing was sent.
            self.deliver(kernel.SendFailed(effect.address, effect.message))
            return
        self.sent_bytes_by_kind_[kind] = self.sent_bytes_by_kind_.get(
            kind, 0
        ) + len(frame)

    def reset(self, effect):
        """Close the connection to a peer; the next message opens a new one.

        Parameters
        ----------
        effect : rosemarycrank.kernel.ResetPeer
            Effect with the address of the peer.
        """
        now = time.monotonic()
        last_reset_at = self._reset_at_by_address.get(effect.address, -1e9)
        if now - last_reset_at < MIN_RESET_INTERVAL_S:
            return
        self._reset_at_by_address[effect.address] = now
        push_socket = self._push_sockets_by_address.pop(effect.address, None)
        if push_socket is not None:
            self.resets_ += 1
            push_socket.close()

    def dump(self):
        """Return the state for the state dump.

        Returns
        -------
        dict
            Values that can be encoded as JSON.
        """
        return {
            'peers': len(self._push_sockets_by_address),
            'sent_bytes_by_kind': dict(
                sorted(self.sent_bytes_by_kind_.items())
            ),
            'received_bytes': self.received_bytes_,
            'undecodable': self.undecodable_frames_,
            'resets': self.resets_,
        }

    def _get_push_socket(self, address):
        push_socket = self._push_sockets_by_address.get(address)
        if push_socket is not None:
            self._push_sockets_by_address.move_to_end(address)
            return push_socket
        push_socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        push_socket.add_post_pipe_remove_cb(
            lambda pipe: self._on_pipe_removed(address, push_socket)
        )
        push_socket.dial(f'tcp://{address}', block=False)
        self._push_sockets_by_address[address] = push_socket
        if len(self._push_sockets_by_address) > MAX_PEERS:
            self._push_sockets_by_address.popitem(last=False)[1].close()
        return push_socket

    def _on_pipe_removed(self, address, push_socket):
        # Runs on a thread of nng, so it only queues the event and wakes the
        # event loop.
        self._removed_pipes.append((address, push_socket))
        self._wake_watcher.send()

    def _report_lost_peers(self):
        while self._removed_pipes:
            address, push_socket = self._removed_pipes.popleft()
            if self._push_sockets_by_address.get(address) is push_socket:
                self.deliver(kernel.PeerLost(address))

    def _receive(self):
        for _ in range(MAX_RECEIVE_BATCH):
            try:
                frame = self._pull_socket.recv(block=False)
            except pynng.TryAgain:
                return
            except pynng.NNGException as error:
                LOG.error(
                    'receiving a message failed', extra={'error': str(error)}
                )
                return
            self.received_bytes_ += len(frame)
            try:
                sender, message = self.codec.decode(frame)
            except messages.DecodeError:
                self.undecodable_frames_ += 1
                continue
            self.deliver(kernel.Received(sender, message))
