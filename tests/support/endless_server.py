"""A server process that answers each request with bytes without end.

    python -m tests.support.endless_server --kind header-line

The program prints its port. It reads the head of a request, sends the
beginning of an answer and repeats a piece of it until the connection is
closed, but no longer than some seconds. It then prints how many bytes it sent.
"""

import argparse
import socket
import time

_REPEATS = 512
_MAX_SECONDS = 8.0
_HEAD = b'HTTP/1.1 200 OK\r\nAmaranthslip-Server-Seal: s\r\n'
_EVENTS = _HEAD + b'Content-Type: text/event-stream\r\n'
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
_FOREIGN = b'HTTP/1.1 200 OK\r\nAmaranthslip-Attempt-Id: another\r\n'
# The beginning of the answer, and the piece that is repeated.
ANSWERS = {
    'header-line': (_HEAD + b'X-Long: ', b'a' * 100),
    'header-name': (_HEAD, b'a' * 100),
    'header-lines': (_HEAD, b'X-Name: value\r\n'),
    'informational': (b'', b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'),
    'chunk-extension': (_CHUNKED + b'1;name=', b'a' * 100),
    'trailer-line': (_CHUNKED + b'1\r\na\r\n0\r\nX-Long: ', b'a' * 100),
    'trailer-lines': (_CHUNKED + b'1\r\na\r\n0\r\n', b'X-Name: value\r\n'),
    'body': (_HEAD + b'\r\n', b'a' * 100),
    'long-body': (_HEAD + b'Content-Length: %d\r\n\r\n' % 2**50, b'a' * 100),
    'chunks': (_CHUNKED, b'1\r\na\r\n'),
    'long-chunk': (_CHUNKED + b'fffffffffff\r\n', b'a' * 100),
    'event-body': (_EVENTS + b'\r\nid: 1\ndata: ', b'a' * 100),
    'event-chunks': (
        _EVENTS + b'Transfer-Encoding: chunked\r\n\r\n',
        b'64\r\n' + b'a' * 100 + b'\r\n',
    ),
    'earlier-answer': (_FOREIGN + b'\r\n', b'a' * 100),
    'earlier-answers': (b'', _FOREIGN + b'Content-Length: 1\r\n\r\na'),
}


def serve(listener: socket.socket, kind: str) -> int:
    """Answer one connection; return the number of bytes sent."""
    beginning, piece = ANSWERS[kind]
    sock, _ = listener.accept()
    sent = 0
    with sock:
        received = b''
        while b'\r\n\r\n' not in received:
            data = sock.recv(65536)
            if not data:
                return 0
            received += data
        block = piece * _REPEATS
        deadline = time.monotonic() + _MAX_SECONDS
        try:
            sock.sendall(beginning)
            while time.monotonic() < deadline:
                sock.sendall(block)
                sent += len(block)
        except OSError:
            pass
    return sent


def main() -> None:
    """Serve one connection after the other until killed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--kind', choices=sorted(ANSWERS), required=True)
    options = parser.parse_args()
    listener = socket.create_server(('127.0.0.1', 0))
    print(listener.getsockname()[1], flush=True)
    while True:
        print(serve(listener, options.kind), flush=True)


if __name__ == '__main__':
    main()
