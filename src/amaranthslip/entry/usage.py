"""Usage: the token counts inside a model's answer, found cheaply.

A router relays millions of chunks; decoding each one's JSON would cost more
than all else together. The engine writes its counts in one known form, and
inside a JSON string a quotation mark is escaped, so that `"usage":` with
plain quotation marks can only be a key.
"""

import re
import typing

_COMPLETION = b'"completion_tokens":'
_PROMPT = b'"prompt_tokens":'
_NUMBER = re.compile(rb'\s*(\d+)')
_OBJECT = rb'(?:null|\{[^{}]*(?:\{[^{}]*\}[^{}]*)*\})'
# A literal prefix lets the regular expression skip ahead; engines that put
# spaces into their JSON get the slower one.
_COMPACT_USAGE = re.compile(rb',"usage":' + _OBJECT)
_LOOSE_USAGE = re.compile(rb',\s*"usage"\s*:\s*' + _OBJECT)
# As engines write it: compact, or in Python's own form.
_NO_CHOICES = (b'"choices":[]', b'"choices": []')
_EVENT_END = b'\n\n'


def read_completion_tokens(data: bytes) -> int | None:
    """Return the last count of generated tokens in some bytes."""
    return _read_number(data, _COMPLETION)


def read_prompt_tokens(data: bytes) -> int | None:
    """Return the last count of prompt tokens in some bytes."""
    return _read_number(data, _PROMPT)


def _read_number(data: bytes, name: bytes) -> int | None:
    at = data.rfind(name)
    if at < 0:
        return None
    match = _NUMBER.match(data, at + len(name))
    return int(match[1]) if match else None


def ask_for_usage(body: bytes, values: dict[str, typing.Any]) -> bytes | None:
    """Return the body that also asks for usage in each chunk.

    Returns
    -------
    bytes or None
        None where the caller gave options of its own: those have to be
        merged and the body encoded anew.
    """
    if 'stream_options' in values:
        return None
    options = (
        b'{"stream_options":{"include_usage":true,'
        b'"continuous_usage_stats":true},'
    )
    return options + body.lstrip()[1:]


def strip_usage(data: bytes, *, keep_last: bool) -> bytes:
    """Take the usage out of events whose caller did not ask for it.

    Parameters
    ----------
    data : bytes
        Whole events.
    keep_last : bool
        Whether the event without choices, which ends a stream's usage, is
        to stay: the caller asked for that one only.
    """
    if b'"usage"' not in data:
        return data
    if _has_no_choices(data):
        return b''.join(_strip_events(data, keep_last))
    return _strip(data)


def _has_no_choices(data: bytes) -> bool:
    return _NO_CHOICES[0] in data or _NO_CHOICES[1] in data


def _strip(data: bytes) -> bytes:
    if b',"usage":' in data:
        return _COMPACT_USAGE.sub(b'', data)
    return _LOOSE_USAGE.sub(b'', data)


def _strip_events(data: bytes, keep_last: bool) -> typing.Iterator[bytes]:
    for event in data.split(_EVENT_END)[:-1]:
        if not _has_no_choices(event):
            yield _strip(event) + _EVENT_END
        elif keep_last:
            yield event + _EVENT_END
