"""Logs of one process: lines of key=value pairs on standard output.

A line holds the time (UTC), the level, the logger, the instance's name, the
event, and each field given as `extra`. Whoever logs on behalf of a request
passes its id: ``logger.info('...', extra={'request_id': id})``.
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
_NUMBERS = (int, float)
_PLAIN_VALUE = re.compile(r'[^\s"=]+\Z')
# What a record has without `extra`, and what formatting adds to it.
_STANDARD_FIELDS = frozenset(
    vars(logging.makeLogRecord({})) | {'message': '', 'asctime': ''}
)
# What follows one of these words is a secret, in a header, a JSON body, a
# form body or a query string.
_SECRETS = re.compile(
    r"""(?ix)
    ( \b(?:bearer|basic)\s+
    | \b(?:password|passwd|secret|api[_-]?key|token_key)
      ["']?\s*[=:]\s*["']?
    )
    (?!\s) [^\s"'&,;}]+
    """
)


def mask_secrets(text: str) -> str:
    """Return `text` with each bearer key and each password masked."""
    return _SECRETS.sub(r'\1' + _MASK, text)


class SecretFilter(logging.Filter):
    """Masks secrets in the event and in the traceback of each record.

    A caller's key shows up in a log when an error quotes the header or the
    body it stumbled over. The filter sits on the handler, so that it also
    sees what libraries log.
    """

    def filter(self, record: logging.LogRecord) -> bool:
        """Mask in place; always keep the record."""
        record.msg = mask_secrets(record.getMessage())
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
        The instance's name, on every line.
    """

    def __init__(self, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Return the line; a traceback goes into its `trace` value."""
        return ' '.join(
            f'{key}={_quote(value)}' for key, value in self._pair(record)
        )

    def _pair(
        self, record: logging.LogRecord
    ) -> typing.Iterator[tuple[str, str]]:
        moment = datetime.datetime.fromtimestamp(
            record.created, datetime.timezone.utc
        )
        stamp = moment.isoformat(timespec='milliseconds')
        yield 'time', stamp.replace('+00:00', 'Z')
        yield 'level', record.levelname.lower()
        yield 'logger', record.name
        yield 'instance', self._instance
        yield 'event', record.getMessage()
        for name, value in vars(record).items():
            if name in _STANDARD_FIELDS:
                continue
            if isinstance(value, _NUMBERS):
                yield name, str(value)
            else:
                yield name, mask_secrets(str(value))
        if record.exc_info and not record.exc_text:
            record.exc_text = self.formatException(record.exc_info)
        if record.exc_text:
            yield 'trace', record.exc_text


def _quote(value: str) -> str:
    if _PLAIN_VALUE.match(value):
        return value
    return json.dumps(value, ensure_ascii=False)


# Of an instance, a second: three lines for each of 150 requests, and as much
# for trouble; a line is some 250 bytes. What is beyond is counted and told.
_MOST_LINES = 900
# Bytes that wait for a reader of standard output that stalls.
_WAITING_BYTES = 262144
# Seconds that lines wait to be written together, and between tries while the
# reader stalls: a write for each line costs as much as to format it. A process
# that is killed loses the lines of so long.
_FLUSH_SECONDS = 0.05
# What a pipe takes without waiting once it says that it takes anything
# (POSIX, PIPE_BUF).
_WRITE_BYTES = 4096


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor; it never waits and keeps a rate.

    A reader that stalls would otherwise stop the whole process with the
    first line beyond what the pipe holds, and with it every request.

    Parameters
    ----------
    descriptor : int
        Where the lines go.
    clock : callable
        Seconds that only grow.
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
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._flusher: gevent.Greenlet | None = None
        self._second = 0
        self._lines = 0
        self.dropped = 0
        # The real one: gevent's would wait in the loop for an answer.
        self._poll = monkey.get_original('select', 'poll')()
        try:
            self._poll.register(descriptor, select.POLLOUT)
        except (OSError, ValueError):
            self._poll = None

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, keep it for later, or count it as dropped."""
        second = int(self._clock())
        if second != self._second:
            self._begin_second(second)
        self._lines += 1
        if self._lines > _MOST_LINES and record.levelno < logging.ERROR:
            self.dropped += 1
            return
        if not self._put(self.format(record)):
            self.dropped += 1
        if record.levelno >= logging.ERROR:
            # It may be the last that this process says.
            self.flush()

    def _begin_second(self, second: int) -> None:
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
            # Where not even this fits, the count goes on.
            if self._put(self.format(record)):
                self.dropped = 0

    def _put(self, text: str) -> bool:
        line = text.encode('utf-8', 'replace') + b'\n'
        if self._waiting_bytes + len(line) > _WAITING_BYTES:
            return False
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        if self._flusher is None:
            self._flusher = gevent.spawn(self._keep_flushing)
        return True

    def _keep_flushing(self) -> None:
        while self._waiting:
            gevent.sleep(_FLUSH_SECONDS)
            self.flush()
        self._flusher = None

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it now."""
        while self._waiting and self._takes_more():
            block = self._take_block()
            try:
                written = os.write(self._descriptor, block)
            except OSError:
                # Nobody reads any longer, and nobody could be told.
                self._waiting_bytes -= len(block)
                self.dropped += block.count(b'\n')
                continue
            self._waiting_bytes -= written
            if written < len(block):
                self._waiting.appendleft(block[written:])

    def _take_block(self) -> bytes:
        """Return lines, or a part of one, that a pipe takes at once."""
        block = self._waiting.popleft()
        if len(block) > _WRITE_BYTES:
            self._waiting.appendleft(block[_WRITE_BYTES:])
            return block[:_WRITE_BYTES]
        lines = [block]
        size = len(block)
        while self._waiting and size + len(self._waiting[0]) <= _WRITE_BYTES:
            lines.append(self._waiting.popleft())
            size += len(lines[-1])
        return b''.join(lines)

    def _takes_more(self) -> bool:
        return self._poll is None or bool(self._poll.poll(0))


def configure(
    settings: settings_module.Settings,
    *,
    stream: typing.TextIO | None = None,
) -> logging.Handler:
    """Send every logger's lines to `stream`, from the settings' level on.

    Parameters
    ----------
    settings : Settings
        `logging.level` and `instance.name` are used.
    stream : file object, optional
        Standard output by default, with a `BoundedHandler`.

    Returns
    -------
    logging.Handler
        The root logger's only handler from now on.
    """
    handler: logging.Handler
    if stream is None:
        handler = BoundedHandler(sys.stdout.fileno())
    else:
        handler = logging.StreamHandler(stream)
    handler.setFormatter(KeyValueFormatter(settings.instance.name))
    handler.addFilter(SecretFilter())
    # Neither the caller's place in the source nor its thread and process are
    # in a line; to look them up took a fifth of a line's cost.
    logging._srcfile = None
    logging.logThreads = logging.logProcesses = False
    logging.logMultiprocessing = False
    root = logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    root.setLevel(settings.logging.level.upper())
    return handler
