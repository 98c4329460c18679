"""Reads request bodies within size and time limits; parses JSON bodies."""

import json
import typing

import gevent

from amaranthslip.entry import held
from amaranthslip import errors
from amaranthslip import reading
from amaranthslip import settings as settings_

# Key of the WSGI environment for the bytes held for a request.
MEMORY = 'amaranthslip.memory'
_READ_BYTES = 65536
# A body is held twice, the second time as it is sent to a server.
_COPIES = 2
# Seconds that a request waits for memory. Another instance may have room.
_MAX_MEMORY_WAIT_SECONDS = 0.25
# Seconds after which a request that found no memory should come back.
_MEMORY_RETRY_SECONDS = 0.5


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
            return _read_chunks(
                environ['wsgi.input'], limits.body_bytes, environ[MEMORY]
            )
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


def _read_chunks(
    source: typing.Any, max_bytes: int, memory: held.RequestMemory
) -> bytes:
    chunks, length = [], 0
    interrupter = reading.Interrupter()
    # The whole is reserved before anything is read, so that a caller is not
    # read from while there is no memory.
    reserved = source.content_length or 0
    _reserve(memory, reserved)
    # Reads at most one byte beyond the limit: for a chunked body, `read`
    # blocks until it has the full number of bytes requested.
    while chunk := source.read(min(_READ_BYTES, max_bytes + 1 - length)):
        chunks.append(chunk)
        length += len(chunk)
        interrupter.note_received(len(chunk))
        if length > max_bytes:
            raise _build_size_error(max_bytes)
        if length > reserved:
            _reserve(memory, len(chunk))
    return b''.join(chunks)


def _reserve(memory: held.RequestMemory, count: int) -> None:
    _wait_for_room(memory.body, _COPIES * count)


def reserve_head(memory: held.RequestMemory) -> None:
    """Reserve the memory of a request's head.

    Raises
    ------
    RequestRefused
        There is none for now.
    """
    _wait_for_room(memory.head, memory.head_bytes)


def _wait_for_room(holding: held.Holding, count: int) -> None:
    if not holding.reserve(count, seconds=_MAX_MEMORY_WAIT_SECONDS):
        raise errors.RequestRefused(
            'no_buffer',
            'this instance holds as many requests as its memory allows; send'
            ' the request again, another instance may have room',
            retry_after=_MEMORY_RETRY_SECONDS,
        )


def _build_size_error(max_bytes: int) -> errors.RequestRefused:
    return errors.RequestRefused(
        'body_too_large',
        f'the body is larger than {max_bytes} bytes; send less at once',
        status=413,
    )


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
