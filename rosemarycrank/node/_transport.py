"""Messages between nodes over pynng push and pull sockets.

Each node pulls from one listening socket. A message to another node goes
through a push socket of its own that dials that node, so a connection that
has gone silent is replaced by closing the socket and dialling again.
Nothing here is delivered for certain: the call path asks again instead.
"""

import collections
import logging
import time

import gevent
import pynng

from rosemarycrank import kernel
from rosemarycrank import messages

LOG = logging.getLogger(__name__)

#: Messages buffered for one peer; past that a send fails at once.
SEND_BUFFER_MESSAGES = 512
RECEIVE_BUFFER_MESSAGES = 2048

#: Messages taken from the socket before other tasks run.
RECEIVE_BATCH = 64

#: Shortest time between two replacements of one connection, in seconds.
MIN_RESET_INTERVAL_S = 0.25

#: Most peers with an open connection; the least recently used closes.
MAX_PEERS = 1024

RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000


class Transport:
    """Owns the messaging sockets of a node.

    Parameters
    ----------
    address : str
        ``host:port`` at which other nodes reach this one.
    listen_address : str
        ``host:port`` to listen on.
    codec : rosemarycrank.messages.Codec
        Encoding of messages.
    deliver : callable
        Called with each kernel event: `Received`, `SendFailed`,
        `PeerLost`.

    Attributes
    ----------
    bytes_by_kind_ : dict of str to int
        Bytes sent by class name of the message.
    """

    def __init__(self, address, listen_address, codec, deliver):
        self.address = address
        self.listen_address = listen_address
        self.codec = codec
        self.deliver = deliver
        self.bytes_by_kind_ = {}
        self.received_bytes_ = 0
        self.undecodable_ = 0
        self.resets_ = 0
        self._push_by_address = collections.OrderedDict()
        self._reset_at_by_address = {}
        self._lost = collections.deque()
        self._pull = None
        self._watchers = []

    def start(self):
        """Listen and begin to deliver.

        Raises
        ------
        pynng.NNGException
            If the address cannot be listened on.
        """
        self._pull = pynng.Pull0(
            listen=f'tcp://{self.listen_address}',
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
            recv_max_size=messages.MAX_FRAME_BYTES,
        )
        loop = gevent.get_hub().loop
        readable = loop.io(self._pull.recv_fd, 1)
        readable.start(self._receive)
        # nng reports dropped connections from threads of its own.
        self._wake = loop.async_()
        self._wake.start(self._report_lost)
        self._watchers = [readable, self._wake]

    def stop(self):
        """Close all sockets."""
        for watcher in self._watchers:
            watcher.stop()
            watcher.close()
        self._watchers = []
        for push in self._push_by_address.values():
            push.close()
        self._push_by_address.clear()
        if self._pull is not None:
            self._pull.close()

    def send(self, effect):
        """Send a message; a message that cannot leave is reported.

        Parameters
        ----------
        effect : rosemarycrank.kernel.Send
            What to send, and where to.
        """
        if effect.address == self.address:
            self.deliver(kernel.Received(self.address, effect.message))
            return
        frame = self.codec.encode(effect.message)
        kind = type(effect.message).__name__
        try:
            self._push(effect.address).send(frame, block=False)
        except pynng.NNGException:
            # A full buffer or a bad address: nothing has left.
            self.deliver(kernel.SendFailed(effect.address, effect.message))
            return
        self.bytes_by_kind_[kind] = self.bytes_by_kind_.get(kind, 0) + len(
            frame
        )

    def reset(self, effect):
        """Replace the connection to a peer.

        Parameters
        ----------
        effect : rosemarycrank.kernel.ResetPeer
            Which peer.
        """
        now = time.monotonic()
        last = self._reset_at_by_address.get(effect.address, -1e9)
        if now - last < MIN_RESET_INTERVAL_S:
            return
        self._reset_at_by_address[effect.address] = now
        push = self._push_by_address.pop(effect.address, None)
        if push is not None:
            self.resets_ += 1
            push.close()

    def dump(self):
        """Return the state for the state dump.

        Returns
        -------
        dict
            Values that JSON can carry.
        """
        return {
            'peers': len(self._push_by_address),
            'sent_bytes_by_kind': dict(sorted(self.bytes_by_kind_.items())),
            'received_bytes': self.received_bytes_,
            'undecodable': self.undecodable_,
            'resets': self.resets_,
        }

    def _push(self, address):
        push = self._push_by_address.get(address)
        if push is not None:
            self._push_by_address.move_to_end(address)
            return push
        push = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        push.add_post_pipe_remove_cb(
            lambda pipe: self._on_pipe_removed(address, push)
        )
        push.dial(f'tcp://{address}', block=False)
        self._push_by_address[address] = push
        if len(self._push_by_address) > MAX_PEERS:
            self._push_by_address.popitem(last=False)[1].close()
        return push

    def _on_pipe_removed(self, address, push):
        # Runs in a thread of nng: only hand over and wake the loop.
        self._lost.append((address, push))
        self._wake.send()

    def _report_lost(self):
        while self._lost:
            address, push = self._lost.popleft()
            if self._push_by_address.get(address) is push:
                self.deliver(kernel.PeerLost(address))

    def _receive(self):
        for _ in range(RECEIVE_BATCH):
            try:
                frame = self._pull.recv(block=False)
            except pynng.TryAgain:
                return
            except pynng.NNGException as error:
                LOG.error('receiving failed', extra={'error': str(error)})
                return
            self.received_bytes_ += len(frame)
            try:
                sender, message = self.codec.decode(frame)
            except messages.DecodeError:
                self.undecodable_ += 1
                continue
            self.deliver(kernel.Received(sender, message))
