"""Reads request bodies within size and time limits; parses JSON bodies."""

import json
import typing

import gevent

from amaranthslip.entry import chunks
from amaranthslip.entry import held
from amaranthslip.entry import receiving
from amaranthslip import errors
from amaranthslip import settings as settings_

# Key of the WSGI environment for the bytes held for a request.
MEMORY = 'amaranthslip.memory'
_READ_BYTES = 65536
# A body is held twice, the second time as it is sent to a server.
_COPIES = 2
# Memory in bytes of JSON that is parsed: for each of its bytes, which are
# decoded, and again as part of a text, with up to four bytes a character; and
# for each value or key that a mark begins, with what a list or an object that
# grows takes for a time.
_TEXT_BYTE_FACTOR = 8
_MARK_BYTES = {b'{': 320, b'[': 160, b',': 224, b':': 112}


def read_body(
    environ: dict[str, typing.Any], settings: settings_.Settings
) -> bytes:
    """Read a request's whole body.

    Raises
    ------
    RequestRefused
        The body is larger than `limits.body_bytes`, takes longer than
        `limits.body_seconds`, ends before its declared length, or finds no
        memory.
    """
    limits = settings.limits
    length = environ.get('CONTENT_LENGTH')
    if length and int(length) > limits.body_bytes:
        raise _build_size_error(limits.body_bytes)
    with gevent.Timeout(limits.body_seconds) as timer:
        try:
            return _read_whole(
                environ['wsgi.input'], limits.body_bytes, environ[MEMORY]
            )
        except receiving.CallerEvicted:
            raise receiving.build_stalled_error() from None
        except gevent.Timeout as timeout:
            if timeout is not timer:
                raise
        except OSError as error:
            raise errors.RequestRefused(
                'malformed',
                f'the body could not be read ({error}); send it whole',
                status=400,
            ) from None
    raise errors.RequestRefused(
        'body_timeout',
        f'the body took longer than {limits.body_seconds:g} s; send it'
        ' faster, or send less',
        status=408,
    )


def _read_whole(
    source: chunks.LengthInput | chunks.ChunkedInput,
    max_bytes: int,
    memory: held.RequestMemory,
) -> bytes:
    body, reserved = bytearray(), 0
    while not _is_complete(source, len(body)):
        # Only what has arrived is counted, before it is read.
        count = min(source.wait_for_bytes(), _READ_BYTES)
        needed = len(body) + count - reserved
        if needed > 0:
            held.reserve(memory.body, _COPIES * needed)
            reserved += needed
        if count >= receiving.RECEIVE_BUFFER_BYTES:
            _widen(source, memory)
        # Reads at most one byte beyond the limit.
        piece = source.read_some(min(max(count, 1), max_bytes + 1 - len(body)))
        if not piece:
            break
        body += piece
        if len(body) > max_bytes:
            raise _build_size_error(max_bytes)
    return bytes(body)


def _is_complete(source: typing.Any, length: int) -> bool:
    if source.chunked_input:
        return source.chunk_length == 0
    return length == (source.content_length or 0)


def _widen(source: typing.Any, memory: held.RequestMemory) -> None:
    """Let the kernel hold more of a body that fills its buffer, if it can."""
    if not source.rfile.is_wide and memory.body.has_room(receiving.WIDE_BYTES):
        memory.body.add(receiving.WIDE_BYTES)
        source.rfile.widen()


def _build_size_error(max_bytes: int) -> errors.RequestRefused:
    return errors.RequestRefused(
        'body_too_large',
        f'the body is larger than {max_bytes} bytes; send less at once',
        status=413,
    )


def estimate_parsed(body: bytes) -> int:
    """Return the most memory in bytes that the JSON of a body can take."""
    return len(body) * _TEXT_BYTE_FACTOR + sum(
        body.count(mark) * byte_count
        for mark, byte_count in _MARK_BYTES.items()
    )


def reserve_parsed(environ: dict[str, typing.Any], body: bytes) -> None:
    """Reserve the memory that the JSON of a body can take.

    Raises
    ------
    RequestRefused
        There is none for now.
    """
    held.reserve(environ[MEMORY].body, estimate_parsed(body))


def parse_body(body: bytes, *, chat: bool) -> dict[str, typing.Any]:
    """Parse the JSON body of a request to a model service.

    Raises
    ------
    RequestRefused
        The body is not a JSON object with the fields that the API requires,
        `model` among them.
    """
    try:
        values = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _build_format_error(f'is no valid JSON ({error})') from None
    if not isinstance(values, dict):
        raise _build_format_error('is no JSON object')
    if not isinstance(values.get('model'), str):
        raise _build_format_error('names no "model"')
    if not isinstance(values.get('stream', False), bool | None):
        raise _build_format_error(
            'has a "stream" that is neither true nor false'
        )
    if chat and not isinstance(values.get('messages'), list):
        raise _build_format_error('has no list of "messages"')
    if not chat and 'prompt' not in values:
        raise _build_format_error('has no "prompt"')
    return values


def _build_format_error(problem: str) -> errors.RequestRefused:
    return errors.RequestRefused(
        'malformed',
        f"the body {problem}; send a JSON object as OpenAI's API takes it",
        status=400,
    )
