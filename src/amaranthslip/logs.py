"""Logs of one process: lines of key=value pairs on standard error.

A line holds the time (UTC), the level, the logger, the instance's name, the
event, and each field given as `extra`. Whoever logs on behalf of a request
passes its id: ``logger.info('...', extra={'request_id': id})``.
"""

import datetime
import json
import logging
import re
import sys
import typing

from amaranthslip import settings as settings_module

_MASK = '***'
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
            if name not in _STANDARD_FIELDS:
                yield name, mask_secrets(str(value))
        if record.exc_info and not record.exc_text:
            record.exc_text = self.formatException(record.exc_info)
        if record.exc_text:
            yield 'trace', record.exc_text


def _quote(value: str) -> str:
    if _PLAIN_VALUE.match(value):
        return value
    return json.dumps(value, ensure_ascii=False)


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
        Standard error by default.

    Returns
    -------
    logging.Handler
        The root logger's only handler from now on.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(KeyValueFormatter(settings.instance.name))
    handler.addFilter(SecretFilter())
    root = logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    root.setLevel(settings.logging.level.upper())
    return handler
