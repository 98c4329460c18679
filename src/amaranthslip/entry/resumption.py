"""Resumption: goes on with a cut stream exactly after what was delivered.

The delivered events were kept as bytes; only a cut has them decoded. What
can be resumed is text: one choice, whose deltas hold a role and content and
nothing else. An engine is asked to continue that text, so that nothing comes
twice and nothing is missing; ids and counts of the first stream are kept.
"""

import json
import typing

from amaranthslip import errors

_DATA = b'data: '
_LIMITS = ('max_tokens', 'max_completion_tokens', 'min_tokens')
# Requests that a text alone can't continue: several choices, guided
# decoding (its state is lost), tools, log probabilities with offsets.
_BARRED = (
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
_DELTA_KEYS = frozenset(('role', 'content'))

Values = dict[str, typing.Any]


class Delivered:
    """What the delivered events of a stream say.

    Parameters
    ----------
    events : iterable of bytes
        Runs of whole events, in order.
    """

    __slots__ = (
        'text',
        'first',
        'finished',
        'plain',
        'role',
        'pieces',
        'usage',
    )

    def __init__(self, events: typing.Iterable[bytes]) -> None:
        texts: list[str] = []
        self.first: Values | None = None
        self.finished = False
        self.plain = True
        self.role = False
        self.pieces = 0
        # Whether the event that ends a stream's usage was delivered.
        self.usage = False
        for values in decode_events(b''.join(events)):
            if self.first is None:
                self.first = values
            if values.get('usage') and not values.get('choices'):
                self.usage = True
            for choice in values.get('choices', ()):
                text = self._read_choice(choice)
                if text:
                    texts.append(text)
        self.text = ''.join(texts)
        self.pieces = len(texts)

    def _read_choice(self, choice: Values) -> str:
        if choice.get('finish_reason'):
            self.finished = True
        if choice.get('index', 0) != 0:
            self.plain = False
        delta = choice.get('delta')
        if delta is None:
            return choice.get('text') or ''
        if any(delta[key] for key in delta.keys() - _DELTA_KEYS):
            self.plain = False
        self.role = self.role or 'role' in delta
        return delta.get('content') or ''


def decode_events(data: bytes) -> typing.Iterator[Values]:
    """Yield the JSON objects of whole events, without `[DONE]`."""
    for line in data.split(b'\n'):
        if line.startswith(_DATA + b'{'):
            yield json.loads(line[len(_DATA) :])


def encode_event(values: Values) -> bytes:
    """Return one event as bytes."""
    text = json.dumps(values, ensure_ascii=False, separators=(',', ':'))
    return _DATA + text.encode() + b'\n\n'


def check_resumable(values: Values, delivered: Delivered) -> None:
    """Check that a text can continue this request.

    Raises
    ------
    BackendFailed
        It can't; the stream has to end in an error.
    """
    several = values.get('n') not in (None, 1)
    barred = [key for key in _BARRED if values.get(key)]
    prompt = values.get('prompt', '')
    if several or barred or not delivered.plain or type(prompt) is not str:
        raise errors.BackendFailed(
            'not_resumable',
            'the engine was lost and a stream of this form can not be'
            ' resumed; send the request again',
            sent=True,
        )


def compose_continuation(values: Values, text: str, tokens: int) -> Values:
    """Return the request that continues after `text` of `tokens` tokens."""
    continued = dict(values)
    for limit in _LIMITS:
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


def is_exhausted(values: Values, tokens: int) -> bool:
    """Return whether the request's own limit of tokens was delivered."""
    limits = [values.get(name) for name in _LIMITS[:2]]
    return any(type(each) is int and tokens >= each for each in limits)


class Splice:
    """Makes a continuation's events look like the first stream's.

    Parameters
    ----------
    delivered : Delivered
        What came before.
    prompt_tokens, tokens : int
        The first stream's counts, which the continuation's go on from.
    """

    __slots__ = ('_first', '_role', '_prompt_tokens', '_tokens')

    def __init__(
        self, delivered: Delivered, prompt_tokens: int, tokens: int
    ) -> None:
        self._first = delivered.first
        self._role = delivered.role
        self._prompt_tokens = prompt_tokens
        self._tokens = tokens

    def rewrite(self, data: bytes) -> bytes:
        """Return whole events with the first stream's id and counts."""
        rewritten = [self._rewrite(each) for each in decode_events(data)]
        return b''.join(filter(None, rewritten))

    def _rewrite(self, values: Values) -> bytes:
        if self._first is not None:
            for key in ('id', 'created', 'system_fingerprint'):
                if key in self._first:
                    values[key] = self._first[key]
        if self._role and _has_only_role(values):
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


def compose_ending(
    delivered: Delivered,
    *,
    prompt_tokens: int,
    tokens: int,
    with_usage: bool,
) -> bytes:
    """Return the events that a stream still lacks after its last token.

    Its engine was lost between the last token and `[DONE]`: there is
    nothing left to generate, so the router writes the end itself.
    """
    first = dict(delivered.first or {})
    first.pop('usage', None)
    events = []
    if not delivered.finished:
        choice: Values = {'index': 0, 'finish_reason': 'length'}
        chat = 'delta' in (first.get('choices') or [{}])[0]
        choice |= {'delta': {}} if chat else {'text': ''}
        events.append(encode_event(first | {'choices': [choice]}))
    if with_usage and not delivered.usage:
        usage = {
            'prompt_tokens': prompt_tokens,
            'total_tokens': prompt_tokens + tokens,
            'completion_tokens': tokens,
        }
        ending = first | {'choices': [], 'usage': usage}
        events.append(encode_event(ending))
    events.append(b'data: [DONE]\n\n')
    return b''.join(events)
