"""Message exchange between instances, one TCP connection per direction."""

import collections
import contextlib
import functools
import logging
import typing

import gevent
from gevent import event
from gevent import pool
from gevent import server
from gevent import socket

from amaranthslip import errors
from amaranthslip.links import codec
from amaranthslip.links import frames
from amaranthslip.links import incoming
from amaranthslip.links import peer as peer_module
from amaranthslip.links import registry
from amaranthslip.links import sockets
from amaranthslip.members import members
from amaranthslip.members import messages
from amaranthslip import metrics as metrics_module
from amaranthslip import settings as settings_module

_LOG = logging.getLogger(__name__)
# Most frames are short; reads longer than this bypass the buffer.
_READ_BYTES = 1024
_FLUSH_SECONDS = 1.0
_FLUSH_POLL_SECONDS = 0.01

MessageHandler = typing.Callable[[str, object], None]


class Links:
    """Sends messages to named peers and receives messages from them.

    Parameters
    ----------
    settings : Settings
        `addresses.peers` is the address to listen on; with port 0 the
        kernel chooses the port, and `start` then sets `member.address` to
        the actual address.
    metrics : Metrics
        Counts `control_bytes` and `control_messages` by kind of message,
        and `dropped_messages` by reason.
    member : Member
        This instance; its Hello on each new connection is built from it.
    receive : callable
        Called with the sender's name and each message, in the greenlet of
        the connection that delivered it. The first message on a peer's
        connection is a Hello: the receiver must then replace the state
        that it holds from this peer.
    on_connect : callable or None
        Called with a peer's name on each new connection to the peer;
        returns the messages to send before all others, so that the peer
        receives the current state again after a connection was lost.
        Messages that were queued before the connection was established may
        repeat that state.
    """

    __slots__ = (
        '_settings',
        '_metrics',
        '_member',
        '_receive',
        '_on_connect',
        '_peers',
        '_local_queue',
        '_local_queued',
        '_incoming',
        '_incoming_sockets',
        '_server',
        '_cleanup',
    )

    def __init__(
        self,
        settings: settings_module.Settings,
        metrics: metrics_module.Metrics,
        member: members.Member,
        receive: MessageHandler,
        *,
        on_connect: peer_module.BuildInitialMessages | None = None,
    ) -> None:
        registry.register_all()
        self._settings = settings
        self._metrics = metrics
        self._member = member
        self._receive = receive
        self._on_connect = on_connect
        self._peers: dict[str, peer_module.Peer] = {}
        self._local_queue: collections.deque[object] = collections.deque()
        self._local_queued = event.Event()
        self._incoming = incoming.Connections()
        self._incoming_sockets: dict[str, socket.socket] = {}
        self._server: server.StreamServer | None = None
        self._cleanup = contextlib.ExitStack()

    @property
    def address(self) -> str:
        """The address at which peers connect to this instance."""
        return self._member.address

    def start(self) -> None:
        """Listen for peers and start to deliver messages."""
        connections = pool.Pool(self._settings.links.connections)
        bind = sockets.split_address(self._settings.addresses.peers)
        self._server = server.StreamServer(
            bind, self._serve, spawn=connections
        )
        self._server.start()
        self._cleanup.callback(connections.kill)
        self._cleanup.callback(self._server.close)
        if not bind[1]:
            self._member.address = sockets.join_address(self._server.address)
        self._cleanup.callback(gevent.spawn(self._deliver_local).kill)

    def close(self) -> None:
        """Flush the queues for one second at most, then close all links."""
        with gevent.Timeout(_FLUSH_SECONDS, False):
            while any(peer.queued for peer in self._peers.values()):
                gevent.sleep(_FLUSH_POLL_SECONDS)
        for name in list(self._peers):
            self.remove_peer(name)
        self._cleanup.close()

    def set_address(self, name: str, address: str) -> None:
        """Add a peer, or change the address of a known peer.

        The setting `links.via` overrides the address.
        """
        if name == self._member.name:
            return
        address = self._settings.links.via.get(name, address)
        peer = self._peers.get(name)
        if peer is not None and peer.address == address:
            return
        if peer is not None:
            self.remove_peer(name)
        self._peers[name] = peer_module.Peer(
            name,
            address,
            self._settings,
            self._metrics,
            self._build_initial_messages,
        )

    def remove_peer(self, name: str) -> None:
        """Close the connection to a peer and drop its queued messages."""
        peer = self._peers.pop(name, None)
        if peer is not None:
            peer.close()

    def send(self, name: str, message: object) -> bool:
        """Queue a message for a peer.

        Returns
        -------
        bool
            False if the peer is unknown or its queue is full.
        """
        if name == self._member.name:
            return self._put_local(message)
        peer = self._peers.get(name)
        if peer is None:
            self._metrics.count('dropped_messages', 'unknown_peer')
            return False
        return peer.put(message)

    def _put_local(self, message: object) -> bool:
        if len(self._local_queue) >= self._settings.links.queue_messages:
            self._metrics.count('dropped_messages', 'queue_full')
            return False
        self._local_queue.append(message)
        self._local_queued.set()
        return True

    def _deliver_local(self) -> None:
        while True:
            self._local_queued.wait()
            self._local_queued.clear()
            while self._local_queue:
                self._deliver(self._member.name, self._local_queue.popleft())

    def _build_initial_messages(self, name: str) -> list[object]:
        hello = messages.Hello(
            name=self._member.name,
            incarnation=self._member.incarnation,
            address=self._member.address,
            failure_domain=self._member.failure_domain,
            region=self._member.region,
        )
        if self._on_connect is None:
            return [hello]
        try:
            return [hello, *self._on_connect(name)]
        except Exception:
            # A fault in one component's callback must not keep the other
            # components from communicating with this peer.
            _LOG.exception('on_connect_failed', extra={'peer': name})
            return [hello]

    def _serve(self, sock: socket.socket, address: tuple[str, int]) -> None:
        with contextlib.ExitStack() as stack:
            stack.callback(sock.close)
            try:
                self._read_connection(sock, stack)
            except errors.MessageInvalid as error:
                self._metrics.count('dropped_messages', 'invalid')
                _LOG.warning(
                    'connection_invalid',
                    extra={
                        'address': sockets.join_address(address),
                        'error': error,
                    },
                )
            except OSError as error:
                if isinstance(error, incoming.NoRoom):
                    self._metrics.count('dropped_messages', 'no_room')
                _LOG.debug(
                    'connection_ended',
                    extra={'address': address, 'error': error},
                )

    def _read_connection(
        self, sock: socket.socket, stack: contextlib.ExitStack
    ) -> None:
        sockets.set_liveness_options(
            sock, lost_seconds=self._settings.links.lost_seconds
        )
        connection = stack.enter_context(self._incoming.track(sock))
        reader = stack.enter_context(
            sock.makefile('rb', buffering=_READ_BYTES)
        )
        inflater = frames.Inflater(self._settings.links.secret)
        # A client that connects and sends nothing must not occupy one of the
        # limited connections.
        sock.settimeout(self._settings.links.hello_seconds)
        with self._limit_frame():
            first = self._read_batch(connection, reader, inflater)
        if not first or not isinstance(first[0], messages.Hello):
            raise errors.MessageInvalid(
                'the first message on a connection was not a Hello; check '
                'that only instances use the peers port'
            )
        self._incoming.note_hello(connection)
        sock.settimeout(None)
        name = first[0].name
        self._replace_connection(name, sock)
        stack.callback(self._remove_connection, name, sock)
        batch: list[object] | None = first
        while batch is not None and self._incoming_sockets.get(name) is sock:
            for message in batch:
                self._deliver(name, message)
            gevent.sleep(0)
            batch = self._read_batch(connection, reader, inflater)

    def _read_batch(
        self,
        connection: incoming.Connection,
        reader: typing.BinaryIO,
        inflater: frames.Inflater,
    ) -> list[object] | None:
        read = functools.partial(self._incoming.read, connection, reader.read)
        try:
            body = frames.read_frame(read, limit_body=self._limit_frame)
            if body is None:
                return None
            return codec.decode(inflater.unpack(body))
        finally:
            self._incoming.release(connection)

    def _limit_frame(self) -> gevent.Timeout:
        """Return a limit on the whole time of a frame, once it has begun."""
        return gevent.Timeout(
            self._settings.links.hello_seconds,
            socket.timeout('a frame took too long'),
        )

    def _replace_connection(self, name: str, sock: socket.socket) -> None:
        # After a connection was lost, the old socket may still hold messages
        # that were sent earlier. Delivering them after the new Hello would
        # overwrite newer state with older, so only the newest connection of
        # each sender is read.
        old = self._incoming_sockets.get(name)
        self._incoming_sockets[name] = sock
        if old is not None:
            with contextlib.suppress(OSError):
                old.shutdown(socket.SHUT_RDWR)
        if name in self._peers:
            self._peers[name].reset_backoff()

    def _remove_connection(self, name: str, sock: socket.socket) -> None:
        if self._incoming_sockets.get(name) is sock:
            del self._incoming_sockets[name]

    def _deliver(self, name: str, message: object) -> None:
        try:
            self._receive(name, message)
        except Exception:
            # A message that one component fails to handle must not end the
            # connection, which all components share.
            kind = type(message).__name__
            _LOG.exception(
                'receive_failed', extra={'peer': name, 'kind': kind}
            )
            self._metrics.count('dropped_messages', 'receive_failed')
