"""Resumes a cut stream exactly after the events already delivered.

Delivered events are kept as bytes and decoded only if the stream is cut. Only
text can be resumed: a single choice, whose deltas hold nothing but a role and
content. Another engine gets a request to continue that text, so that no text
is repeated or missing. The id and the token counts of the first stream carry
over.
"""

import json
import typing

from amaranthslip import errors

_DATA_PREFIX = b'data: '
_TOKEN_LIMITS = ('max_tokens', 'max_completion_tokens', 'min_tokens')
# Fields of requests that can't be continued from the text alone: several
# choices, guided decoding (its state is lost with the engine), tools, log
# probabilities with offsets.
_UNRESUMABLE_OPTIONS = (
    'tools',
    'functions',
    'response_format',
    'logprobs',
    'best_of',
    'echo',
    'suffix',
    'guided_json',
    'guided_regex',
    'guided_choice',
    'guided_grammar',
    'structured_outputs',
)
_TEXT_DELTA_KEYS = frozenset(('role', 'content'))

Values = dict[str, typing.Any]


class DeliveredEvents:
    """Summary of the events of a stream that were delivered to the caller.

    Parameters
    ----------
    events : iterable of bytes
        Byte strings of one or more complete events, in order.
    """

    __slots__ = (
        'text',
        'first_event',
        'finished',
        'text_only',
        'has_role',
        'text_count',
        'has_usage',
    )

    def __init__(self, events: typing.Iterable[bytes]) -> None:
        texts: list[str] = []
        self.first_event: Values | None = None
        self.finished = False
        self.text_only = True
        self.has_role = False
        self.text_count = 0
        # Whether the final usage event, which has no choices, was delivered.
        self.has_usage = False
        for values in decode_events(b''.join(events)):
            if self.first_event is None:
                self.first_event = values
            if values.get('usage') and not values.get('choices'):
                self.has_usage = True
            for choice in values.get('choices', ()):
                text = self._read_choice(choice)
                if text:
                    texts.append(text)
        self.text = ''.join(texts)
        self.text_count = len(texts)

    def _read_choice(self, choice: Values) -> str:
        if choice.get('finish_reason'):
            self.finished = True
        if choice.get('index', 0) != 0:
            self.text_only = False
        delta = choice.get('delta')
        if delta is None:
            return choice.get('text') or ''
        if any(delta[key] for key in delta.keys() - _TEXT_DELTA_KEYS):
            self.text_only = False
        self.has_role = self.has_role or 'role' in delta
        return delta.get('content') or ''


def decode_events(data: bytes) -> typing.Iterator[Values]:
    """Yield the JSON objects of complete events, except `[DONE]`."""
    for line in data.split(b'\n'):
        if line.startswith(_DATA_PREFIX + b'{'):
            yield json.loads(line[len(_DATA_PREFIX) :])


def encode_event(values: Values) -> bytes:
    """Return one server-sent event as bytes."""
    text = json.dumps(values, ensure_ascii=False, separators=(',', ':'))
    return _DATA_PREFIX + text.encode() + b'\n\n'


def check_resumable(values: Values, delivered: DeliveredEvents) -> None:
    """Check that this request can be continued from its delivered text.

    Raises
    ------
    BackendFailed
        It can't be continued; the stream has to end in an error.
    """
    several_choices = values.get('n') not in (None, 1)
    unresumable_options = [
        key for key in _UNRESUMABLE_OPTIONS if values.get(key)
    ]
    prompt = values.get('prompt', '')
    if (
        several_choices
        or unresumable_options
        or not delivered.text_only
        or type(prompt) is not str
    ):
        raise errors.BackendFailed(
            'not_resumable',
            'the engine was lost and a stream of this form can not be'
            ' resumed; send the request again',
            sent=True,
        )


def compose_continuation(values: Values, text: str, tokens: int) -> Values:
    """Return the request that continues after `text`, `tokens` tokens long."""
    continued = dict(values)
    for limit in _TOKEN_LIMITS:
        if isinstance(values.get(limit), int):
            continued[limit] = max(values[limit] - tokens, 1)
    if 'prompt' in values:
        continued['prompt'] = values['prompt'] + text
        return continued
    if not text:
        return continued
    messages = list(values['messages'])
    if values.get('continue_final_message') and messages:
        last = dict(messages[-1])
        last['content'] = (last.get('content') or '') + text
        messages[-1] = last
    else:
        messages.append({'role': 'assistant', 'content': text})
    continued['messages'] = messages
    continued['continue_final_message'] = True
    continued['add_generation_prompt'] = False
    return continued


def has_reached_limit(values: Values, tokens: int) -> bool:
    """Return whether the request's own token limit has been reached."""
    limits = [values.get(name) for name in _TOKEN_LIMITS[:2]]
    return any(type(each) is int and tokens >= each for each in limits)


class ContinuationRewriter:
    """Rewrites a continuation's events to match those of the first stream.

    Parameters
    ----------
    delivered : DeliveredEvents
        The events delivered before the continuation.
    prompt_tokens, tokens : int
        Token counts of the first stream, to which those of the
        continuation are added.
    """

    __slots__ = ('_first_event', '_has_role', '_prompt_tokens', '_tokens')

    def __init__(
        self, delivered: DeliveredEvents, prompt_tokens: int, tokens: int
    ) -> None:
        self._first_event = delivered.first_event
        self._has_role = delivered.has_role
        self._prompt_tokens = prompt_tokens
        self._tokens = tokens

    def rewrite(self, data: bytes) -> bytes:
        """Return complete events with the first stream's id and counts."""
        rewritten = [self._rewrite(each) for each in decode_events(data)]
        return b''.join(filter(None, rewritten))

    def _rewrite(self, values: Values) -> bytes:
        if self._first_event is not None:
            for key in ('id', 'created', 'system_fingerprint'):
                if key in self._first_event:
                    values[key] = self._first_event[key]
        if self._has_role and _has_only_role(values):
            return b''
        usage = values.get('usage')
        if usage:
            tokens = usage.get('completion_tokens', 0) + self._tokens
            usage['completion_tokens'] = tokens
            if self._prompt_tokens:
                usage['prompt_tokens'] = self._prompt_tokens
            usage['total_tokens'] = usage.get('prompt_tokens', 0) + tokens
        return encode_event(values)


def _has_only_role(values: Values) -> bool:
    choices = values.get('choices') or [{}]
    delta = choices[0].get('delta') or {}
    return (
        'role' in delta
        and not delta.get('content')
        and not choices[0].get('finish_reason')
    )


def compose_final_events(
    delivered: DeliveredEvents,
    *,
    prompt_tokens: int,
    tokens: int,
    with_usage: bool,
) -> bytes:
    """Return the events that end a stream after its last token.

    Used when the engine failed between the last token and `[DONE]`. No token
    is left to generate, so the router writes the remaining events itself.
    """
    template = dict(delivered.first_event or {})
    template.pop('usage', None)
    events = []
    if not delivered.finished:
        choice: Values = {'index': 0, 'finish_reason': 'length'}
        chat = 'delta' in (template.get('choices') or [{}])[0]
        choice |= {'delta': {}} if chat else {'text': ''}
        events.append(encode_event(template | {'choices': [choice]}))
    if with_usage and not delivered.has_usage:
        usage = {
            'prompt_tokens': prompt_tokens,
            'total_tokens': prompt_tokens + tokens,
            'completion_tokens': tokens,
        }
        ending = template | {'choices': [], 'usage': usage}
        events.append(encode_event(ending))
    events.append(b'data: [DONE]\n\n')
    return b''.join(events)
