"""Keeps one router busy with requests of clients that all come to it.

Usage: python3 -m review.stage2.load PORT PID USAGE SECONDS

Each client keeps its connection and sends its next request after the answer
to the last one and a pause. The pause follows the processor time of the
router's process, so that it is at work for about USAGE of the time.
"""

import os
import selectors
import socket
import sys
import time

_CLIENTS = 12
_CONTROL_SECONDS = 0.2


def _read_processor_seconds(pid):
    with open(f'/proc/{pid}/stat') as file:
        fields = file.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


class _Client:
    def __init__(self, port, number):
        self.sock = socket.create_connection(('127.0.0.1', port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.number = number
        self.count = 0
        self.due_at = time.monotonic()
        self.waiting = False
        self.data = b''

    def send(self):
        self.count += 1
        self.waiting = True
        self.data = b''
        self.sock.sendall(
            b'GET /lookup/x HTTP/1.1\r\nHost: host.example\r\n'
            b'Amaranthslip-Attempt-Id: load-%d-%d\r\n'
            b'Amaranthslip-Deadline-Ms: 2500\r\n'
            b'Authorization: Bearer key-a\r\n\r\n' % (self.number, self.count)
        )

    def receive(self):
        """Return whether the answer has ended."""
        piece = self.sock.recv(65536)
        if not piece:
            raise ConnectionResetError
        self.data += piece
        head, separator, body = self.data.partition(b'\r\n\r\n')
        if not separator:
            return False
        length = 0
        for line in head.split(b'\r\n'):
            if line.lower().startswith(b'content-length:'):
                length = int(line.split(b':')[1])
        if len(body) < length:
            return False
        if b'\r\nconnection: close' in head.lower():
            raise ConnectionResetError
        return True


def main():
    port, pid = int(sys.argv[1]), int(sys.argv[2])
    wanted, seconds = float(sys.argv[3]), float(sys.argv[4])
    end = time.monotonic() + seconds
    selector = selectors.DefaultSelector()
    clients = []
    pause = 0.01
    number = 0
    read_at, used = time.monotonic(), _read_processor_seconds(pid)
    while time.monotonic() < end:
        while len(clients) < _CLIENTS:
            try:
                number += 1
                new = _Client(port, number)
            except OSError:
                time.sleep(0.01)
                break
            clients.append(new)
            selector.register(new.sock, selectors.EVENT_READ, new)
        now = time.monotonic()
        for each in list(clients):
            if not each.waiting and each.due_at <= now:
                try:
                    each.send()
                except OSError:
                    selector.unregister(each.sock)
                    clients.remove(each)
        for event, _ in selector.select(0.001):
            each = event.data
            try:
                if each.receive():
                    each.waiting = False
                    each.due_at = time.monotonic() + pause
            except OSError:
                selector.unregister(each.sock)
                each.sock.close()
                clients.remove(each)
        if now - read_at >= _CONTROL_SECONDS:
            try:
                latest = _read_processor_seconds(pid)
            except OSError:
                return
            usage = (latest - used) / (now - read_at)
            read_at, used = now, latest
            pause *= min(max(usage / wanted, 0.7), 1.4)
            pause = min(max(pause, 0.0002), 0.2)


if __name__ == '__main__':
    main()
