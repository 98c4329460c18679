"""Bodies: reads callers' bodies within the limits, and checks JSON ones."""

import json
import typing

import gevent

from amaranthslip import errors
from amaranthslip import settings as settings_

_PIECE_BYTES = 65536


def read_body(
    environ: dict[str, typing.Any], settings: settings_.Settings
) -> bytes:
    """Read the whole body.

    Raises
    ------
    RequestRefused
        It is too large, too slow, or ends too early.
    """
    limits = settings.limits
    length = environ.get('CONTENT_LENGTH')
    if length and int(length) > limits.body_bytes:
        raise _refuse_size(limits.body_bytes)
    with gevent.Timeout(limits.body_seconds) as timer:
        try:
            return _read_pieces(environ['wsgi.input'], limits.body_bytes)
        except gevent.Timeout as passed:
            if passed is not timer:
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


def _read_pieces(source: typing.Any, most_bytes: int) -> bytes:
    pieces, length = [], 0
    # Never asks for more than one byte too many: a chunked body's source
    # waits until it has all that it is asked for.
    while piece := source.read(min(_PIECE_BYTES, most_bytes + 1 - length)):
        pieces.append(piece)
        length += len(piece)
        if length > most_bytes:
            raise _refuse_size(most_bytes)
    return b''.join(pieces)


def _refuse_size(most_bytes: int) -> errors.RequestRefused:
    return errors.RequestRefused(
        'body_too_large',
        f'the body is larger than {most_bytes} bytes; send less at once',
        status=413,
    )


def parse_body(body: bytes, *, chat: bool) -> dict[str, typing.Any]:
    """Parse a model's request.

    Raises
    ------
    RequestRefused
        It is no JSON object that names a model.
    """
    try:
        values = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _refuse_form(f'is no valid JSON ({error})') from None
    if not isinstance(values, dict):
        raise _refuse_form('is no JSON object')
    if not isinstance(values.get('model'), str):
        raise _refuse_form('names no "model"')
    if not isinstance(values.get('stream', False), bool | None):
        raise _refuse_form('has a "stream" that is neither true nor false')
    if chat and not isinstance(values.get('messages'), list):
        raise _refuse_form('has no list of "messages"')
    if not chat and 'prompt' not in values:
        raise _refuse_form('has no "prompt"')
    return values


def _refuse_form(what: str) -> errors.RequestRefused:
    return errors.RequestRefused(
        'malformed',
        f"the body {what}; send a JSON object as OpenAI's API takes it",
        status=400,
    )
