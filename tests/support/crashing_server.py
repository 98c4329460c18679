"""A server process that exits as soon as a request asks for it.

    python -m tests.support.crashing_server

The program prints its port, accepts any number of connections, answers no
request, and exits without closing its sockets when it receives `crash`. After
`reset`, it resets the connection that the request came on and keeps running.
"""

import os
import selectors
import socket
import struct

_BACKLOG = 1024
_RECEIVE_BYTES = 65536
_LINGER_RESET = struct.pack('ii', 1, 0)


def main() -> None:
    """Run the server until a request crashes it."""
    listener = socket.create_server(('127.0.0.1', 0), backlog=_BACKLOG)
    print(listener.getsockname()[1], flush=True)
    selector = selectors.DefaultSelector()
    selector.register(listener, selectors.EVENT_READ)
    while True:
        for key, _ in selector.select():
            if key.fileobj is listener:
                accepted, _ = listener.accept()
                selector.register(accepted, selectors.EVENT_READ)
                continue
            sock = key.fileobj
            data = sock.recv(_RECEIVE_BYTES)
            if b'crash' in data:
                os._exit(1)
            if b'reset' in data:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
                )
            if b'reset' in data or not data:
                selector.unregister(sock)
                sock.close()


if __name__ == '__main__':
    main()
