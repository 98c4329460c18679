"""Logs of one process: lines of key=value pairs on standard output.

A line contains the time (UTC), the level, the logger, the instance's name,
the event, and each field given as `extra`. Log calls for a request pass the
request's id: ``logger.info('...', extra={'request_id': id})``.
"""

import collections
import datetime
import json
import logging
import os
import re
import select
import sys
import time
import typing

import gevent
from gevent import monkey

from amaranthslip import settings as settings_module

_MASK = '***'
_NUMBER_TYPES = (int, float)
_PLAIN_VALUE = re.compile(r'[^\s"=]+\Z')
# Matches a value that needs no quotes and can't contain a secret, since a
# secret follows its keyword after a space, an equals sign or a colon.
_SAFE_VALUE = re.compile(r'[^\s"=:]+\Z')
# Attributes of a record without `extra`, and those that formatting adds.
_STANDARD_FIELDS = frozenset(
    vars(logging.makeLogRecord({})) | {'message': '', 'asctime': ''}
)
# Matches a keyword and the secret that follows it in a header, a JSON body, a
# form body or a query string.
_SECRET_PATTERN = re.compile(
    r"""(?ix)
    ( \b(?:bearer|basic)\s+
    | \b(?:password|passwd|secret|api[_-]?key|token_key)
      ["']?\s*[=:]\s*["']?
    )
    (?!\s) [^\s"'&,;}]+
    """
)


def mask_secrets(text: str) -> str:
    """Return `text` with all bearer keys and passwords masked."""
    return _SECRET_PATTERN.sub(r'\1' + _MASK, text)


class SecretFilter(logging.Filter):
    """Masks secrets in the event and in the traceback of each record.

    An error that quotes an invalid header or body would otherwise write a
    caller's key to the log. The filter is attached to the handler, so that
    it also applies to the records of libraries.
    """

    def filter(self, record: logging.LogRecord) -> bool:
        """Mask the record in place, and return True to keep the record."""
        message = record.getMessage()
        if not _SAFE_VALUE.match(message):
            message = mask_secrets(message)
        record.msg = message
        record.args = ()
        if record.exc_info and not record.exc_text:
            formatter = logging.Formatter()
            record.exc_text = formatter.formatException(record.exc_info)
        if record.exc_text:
            record.exc_text = mask_secrets(record.exc_text)
        return True


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs.

    Parameters
    ----------
    instance : str
        The instance's name, which every line contains.
    """

    def __init__(self, instance: str) -> None:
        super().__init__()
        self._instance = _quote(instance)

    def format(self, record: logging.LogRecord) -> str:
        """Return the line; its `trace` value contains any traceback."""
        created_at = datetime.datetime.fromtimestamp(
            record.created, datetime.timezone.utc
        )
        timestamp = created_at.isoformat(timespec='milliseconds')
        parts = [
            f'time={timestamp[:-6]}Z level={record.levelname.lower()}'
            f' logger={_quote(record.name)} instance={self._instance}'
            f' event={_quote(record.getMessage())}'
        ]
        for name, value in vars(record).items():
            if name in _STANDARD_FIELDS:
                continue
            if not isinstance(value, _NUMBER_TYPES):
                value = str(value)
                if not _SAFE_VALUE.match(value):
                    value = _quote(mask_secrets(value))
            parts.append(f'{name}={value}')
        if record.exc_info and not record.exc_text:
            record.exc_text = self.formatException(record.exc_info)
        if record.exc_text:
            parts.append(f'trace={_quote(record.exc_text)}')
        return ' '.join(parts)


def _quote(value: str) -> str:
    if _PLAIN_VALUE.match(value):
        return value
    return json.dumps(value, ensure_ascii=False)


# Lines in each second: three for each of 150 requests of an instance, and as
# many again for failures, at about 250 bytes each. Lines beyond the limit are
# dropped, and their count is logged.
_MAX_LINES_PER_SECOND = 900
# Bytes that are buffered while the reader of standard output stalls.
_MAX_BUFFERED_BYTES = 262144
# Interval of writes and of retries while the reader stalls. Lines are written
# together, because one write for each line costs as much as formatting the
# line. A killed process loses the lines of this period.
_FLUSH_SECONDS = 0.05
# Bytes that a pipe accepts without blocking when poll reports it as writable
# (POSIX, PIPE_BUF).
_WRITE_BYTES = 4096


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking, at a limited rate.

    If writes could block, a stalled reader would stop the whole process, and
    all its requests, at the first line that does not fit into the pipe.

    Parameters
    ----------
    descriptor : int
        The file descriptor to write to.
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        descriptor: int,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._clock = clock
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._flusher: gevent.Greenlet | None = None
        self._second = 0
        self._lines = 0
        self.dropped = 0
        # The unpatched poll; gevent's version would yield to the event loop.
        self._poll = monkey.get_original('select', 'poll')()
        try:
            self._poll.register(descriptor, select.POLLOUT)
        except (OSError, ValueError):
            self._poll = None

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer the line of a record, or count the line as dropped."""
        second = int(self._clock())
        if second != self._second:
            self._start_second(second)
        self._lines += 1
        if (
            self._lines > _MAX_LINES_PER_SECOND
            and record.levelno < logging.ERROR
        ):
            self.dropped += 1
            return
        if not self._buffer_line(self.format(record)):
            self.dropped += 1
        if record.levelno >= logging.ERROR:
            # An error may be the last line before the process ends.
            self.flush()

    def _start_second(self, second: int) -> None:
        self._second = second
        self._lines = 0
        if self.dropped:
            record = logging.makeLogRecord(
                {
                    'name': __name__,
                    'levelno': logging.WARNING,
                    'levelname': 'WARNING',
                    'msg': 'log_lines_dropped',
                    'lines': self.dropped,
                }
            )
            # If this line does not fit either, the count is kept.
            if self._buffer_line(self.format(record)):
                self.dropped = 0

    def _buffer_line(self, text: str) -> bool:
        line = text.encode('utf-8', 'replace') + b'\n'
        if self._buffered_bytes + len(line) > _MAX_BUFFERED_BYTES:
            return False
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        if self._flusher is None:
            self._flusher = gevent.spawn(self._flush_periodically)
        return True

    def _flush_periodically(self) -> None:
        while self._buffer:
            gevent.sleep(_FLUSH_SECONDS)
            self.flush()
        self._flusher = None

    def flush(self) -> None:
        """Write buffered lines while the descriptor accepts more bytes."""
        while self._buffer and self._is_writable():
            block = self._pop_block()
            try:
                written = os.write(self._descriptor, block)
            except OSError:
                # The reader has closed the pipe, so this failure can't be
                # logged either.
                self._buffered_bytes -= len(block)
                self.dropped += block.count(b'\n')
                continue
            self._buffered_bytes -= written
            if written < len(block):
                self._buffer.appendleft(block[written:])

    def _pop_block(self) -> bytes:
        """Remove and return lines, or part of one, for a single write."""
        block = self._buffer.popleft()
        if len(block) > _WRITE_BYTES:
            self._buffer.appendleft(block[_WRITE_BYTES:])
            return block[:_WRITE_BYTES]
        lines = [block]
        size = len(block)
        while self._buffer and size + len(self._buffer[0]) <= _WRITE_BYTES:
            lines.append(self._buffer.popleft())
            size += len(lines[-1])
        return b''.join(lines)

    def _is_writable(self) -> bool:
        return self._poll is None or bool(self._poll.poll(0))


def configure(
    settings: settings_module.Settings,
    *,
    stream: typing.TextIO | None = None,
) -> logging.Handler:
    """Configure the root logger with the level of the settings.

    Parameters
    ----------
    settings : Settings
        `logging.level` and `instance.name` are used.
    stream : file object, optional
        Destination of the lines. By default, a `BoundedHandler` writes to
        standard output.

    Returns
    -------
    logging.Handler
        The new handler, which replaces all handlers of the root logger.
    """
    handler: logging.Handler
    if stream is None:
        handler = BoundedHandler(sys.stdout.fileno())
    else:
        handler = logging.StreamHandler(stream)
    handler.setFormatter(KeyValueFormatter(settings.instance.name))
    handler.addFilter(SecretFilter())
    # Lines contain neither the source location nor the thread and process of
    # a log call. Looking them up took a fifth of the cost of a line.
    logging._srcfile = None
    logging.logThreads = logging.logProcesses = False
    logging.logMultiprocessing = False
    root = logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    root.setLevel(settings.logging.level.upper())
    return handler
