"""Reads and removes token counts in a model's answer without parsing JSON.

A router relays millions of chunks, and decoding the JSON of each would cost
more than the rest of its work together. Engines write their counts in a known
form. Inside a JSON string a quotation mark is escaped, so that `"usage":`
with unescaped quotation marks can only be a key.
"""

import re
import typing

_COMPLETION_KEY = b'"completion_tokens":'
_PROMPT_KEY = b'"prompt_tokens":'
_NUMBER = re.compile(rb'\s*(\d+)')
_USAGE_VALUE = rb'(?:null|\{[^{}]*(?:\{[^{}]*\}[^{}]*)*\})'
# A literal prefix lets the regular expression engine skip ahead. JSON with
# spaces needs the slower expression.
_COMPACT_USAGE = re.compile(rb',"usage":' + _USAGE_VALUE)
_SPACED_USAGE = re.compile(rb',\s*"usage"\s*:\s*' + _USAGE_VALUE)
# The two forms that engines write: compact JSON, and the default of Python's
# `json` module.
_EMPTY_CHOICES = (b'"choices":[]', b'"choices": []')
_EVENT_END = b'\n\n'


def read_completion_tokens(data: bytes) -> int | None:
    """Return the last count of generated tokens in `data`, if any."""
    return _read_number(data, _COMPLETION_KEY)


def read_prompt_tokens(data: bytes) -> int | None:
    """Return the last count of prompt tokens in `data`, if any."""
    return _read_number(data, _PROMPT_KEY)


def _read_number(data: bytes, name: bytes) -> int | None:
    position = data.rfind(name)
    if position < 0:
        return None
    match = _NUMBER.match(data, position + len(name))
    return int(match[1]) if match else None


def request_usage(body: bytes, values: dict[str, typing.Any]) -> bytes | None:
    """Return the body with an added request for usage in each chunk.

    Returns
    -------
    bytes or None
        None if the caller sent `stream_options`: these have to be merged
        and the body encoded again.
    """
    if 'stream_options' in values:
        return None
    options = (
        b'{"stream_options":{"include_usage":true,'
        b'"continuous_usage_stats":true},'
    )
    return options + body.lstrip()[1:]


def strip_usage(data: bytes, *, keep_last: bool) -> bytes:
    """Remove the usage that the caller did not request from events.

    Parameters
    ----------
    data : bytes
        Complete events.
    keep_last : bool
        Whether to keep the final usage event, which has no choices,
        because the caller requested it.
    """
    if b'"usage"' not in data:
        return data
    if _has_no_choices(data):
        return b''.join(_remove_usage_by_event(data, keep_last))
    return _remove_usage(data)


def _has_no_choices(data: bytes) -> bool:
    return _EMPTY_CHOICES[0] in data or _EMPTY_CHOICES[1] in data


def _remove_usage(data: bytes) -> bytes:
    if b',"usage":' in data:
        return _COMPACT_USAGE.sub(b'', data)
    return _SPACED_USAGE.sub(b'', data)


def _remove_usage_by_event(
    data: bytes, keep_last: bool
) -> typing.Iterator[bytes]:
    for event in data.split(_EVENT_END)[:-1]:
        if not _has_no_choices(event):
            yield _remove_usage(event) + _EVENT_END
        elif keep_last:
            yield event + _EVENT_END
