"""A TCP proxy whose open connections can go silent for good."""

import contextlib
import socket
import threading

from review.harness import http


class Proxy:
    """Forwards connections to one address.

    Parameters
    ----------
    target : str
        Address, `IP:port`.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        # The generation of new connections; older ones are silent.
        self._generation = 0
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=128)
        self.address = '127.0.0.1:%d' % self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> None:
        """Deliver nothing more on the connections that are open now."""
        self._generation += 1

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            generation = self._generation
            try:
                other = http.connect(self._target)
            except OSError:
                sock.close()
                continue
            other.settimeout(None)
            for pair in ((sock, other), (other, sock)):
                threading.Thread(
                    target=self._forward, args=(*pair, generation), daemon=True
                ).start()

    def _forward(
        self, source: socket.socket, sink: socket.socket, generation: int
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if generation == self._generation:
                    sink.sendall(data)
        if generation == self._generation:
            with contextlib.suppress(OSError):
                sink.shutdown(socket.SHUT_WR)
