"""Deterministic text of the simulated engine.

Token i of the answer to a prompt is ` w<i>.<first 6 hex digits of the prompt's
hash>`, so that a test can compute the expected answer from the prompt alone.
`LENGTH=<n>` in a prompt sets the answer's length in tokens.
"""

import hashlib
import re
import typing

_LENGTH = re.compile(r'LENGTH=(\d+)')
_FIRST_TOKEN = re.compile(r' w0\.([0-9a-f]{6})')
_CHARACTERS_PER_TOKEN = 4
_MIN_TOKENS = 16
_TOKEN_COUNT_RANGE = 240
DEFAULT_MAX_TOKENS = 32768


class ResumeInvalid(ValueError):
    """The text to continue is not a prefix of this prompt's answer."""


def hash_prompt(prompt: str) -> str:
    """Return the six hexadecimal digits in each token of the answer."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:6]


def write_tokens(mark: str, start: int, end: int) -> str:
    """Return the text of the tokens from `start` up to `end` (exclusive)."""
    return ''.join(f' w{index}.{mark}' for index in range(start, end))


def write_answer(prompt: str, max_tokens: int = DEFAULT_MAX_TOKENS) -> str:
    """Return the complete answer to a prompt; tests compare against it."""
    length = min(compute_length(prompt), max_tokens)
    return write_tokens(hash_prompt(prompt), 0, length)


def compute_length(prompt: str) -> int:
    """Return the number of tokens in the complete answer."""
    directive = _LENGTH.search(prompt)
    if directive:
        return int(directive[1])
    return _MIN_TOKENS + int(hash_prompt(prompt), 16) % _TOKEN_COUNT_RANGE


def count_tokens(text: str) -> int:
    """Estimate the number of tokens in a text, at four characters each."""
    return max(1, len(text) // _CHARACTERS_PER_TOKEN)


def flatten(messages: typing.Sequence[dict[str, typing.Any]]) -> str:
    """Return the messages of a chat as one prompt text."""
    return ''.join(
        f'<{message.get("role")}>{_read_content(message)}\n'
        for message in messages
    )


def _read_content(message: dict[str, typing.Any]) -> str:
    content = message.get('content') or ''
    if isinstance(content, str):
        return content
    return ''.join(part.get('text', '') for part in content)


class Prompt:
    """A prompt, and the number of answer tokens delivered earlier."""

    __slots__ = ('text', 'mark', 'delivered', 'length')

    def __init__(self, text: str, delivered_text: str) -> None:
        self.text = text
        self.mark = hash_prompt(text)
        self.length = compute_length(text)
        self.delivered = self._count_delivered(delivered_text)

    def _count_delivered(self, delivered_text: str) -> int:
        count = delivered_text.count(' w')
        if write_tokens(self.mark, 0, count) != delivered_text:
            raise ResumeInvalid(
                'the text to continue is not a prefix of the answer'
            )
        return count


def read_chat(body: dict[str, typing.Any]) -> Prompt:
    """Return the prompt of a chat request.

    Raises
    ------
    ResumeInvalid
        `continue_final_message` is set, and the last message is not a prefix
        of the answer.
    """
    messages = body['messages']
    if body.get('continue_final_message'):
        delivered = _read_content(messages[-1])
        return Prompt(flatten(messages[:-1]), delivered)
    return Prompt(flatten(messages), '')


def read_completion(body: dict[str, typing.Any]) -> Prompt:
    """Return the prompt of a completion request.

    If the prompt ends with a prefix of its own answer, generation continues
    after that prefix.

    Raises
    ------
    ResumeInvalid
        The text after the original prompt is not a prefix of the answer.
    """
    text = body['prompt']
    if not isinstance(text, str):
        text = ''.join(text)
    for first_token in _FIRST_TOKEN.finditer(text):
        base_prompt = text[: first_token.start()]
        if hash_prompt(base_prompt) == first_token[1]:
            return Prompt(base_prompt, text[first_token.start() :])
    return Prompt(text, '')
