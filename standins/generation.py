"""The stand-in engine's text: what is generated for which prompt.

Token i of a prompt is ` w<i>.<6 hex of the prompt's hash>`, so that a test
knows from the prompt alone which whole answer its caller must get.
"""

import hashlib
import re
import typing

_LENGTH = re.compile(r'LENGTH=(\d+)')
_FIRST_TOKEN = re.compile(r' w0\.([0-9a-f]{6})')
_CHARACTERS_PER_TOKEN = 4
_LEAST_TOKENS = 16
_SPREAD_TOKENS = 240
DEFAULT_MAX_TOKENS = 32768


class ResumeInvalid(ValueError):
    """The text to continue from is no part of this prompt's answer."""


def hash_prompt(prompt: str) -> str:
    """Return the six hexadecimal digits that mark a prompt's tokens."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:6]


def write_tokens(mark: str, start: int, end: int) -> str:
    """Return the text of tokens `start` to `end` (exclusive)."""
    return ''.join(f' w{index}.{mark}' for index in range(start, end))


def write_answer(prompt: str, max_tokens: int = DEFAULT_MAX_TOKENS) -> str:
    """Return the whole answer to a prompt, for tests."""
    length = min(choose_length(prompt), max_tokens)
    return write_tokens(hash_prompt(prompt), 0, length)


def choose_length(prompt: str) -> int:
    """Return how many tokens the whole answer has."""
    directive = _LENGTH.search(prompt)
    if directive:
        return int(directive[1])
    return _LEAST_TOKENS + int(hash_prompt(prompt), 16) % _SPREAD_TOKENS


def count_tokens(text: str) -> int:
    """Return the tokens of a prompt: roughly four characters each."""
    return max(1, len(text) // _CHARACTERS_PER_TOKEN)


def flatten(messages: typing.Sequence[dict[str, typing.Any]]) -> str:
    """Return a chat's prompt as one text."""
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
    """A prompt without the part of its answer that was delivered before."""

    __slots__ = ('text', 'mark', 'delivered', 'length')

    def __init__(self, text: str, delivered_text: str) -> None:
        self.text = text
        self.mark = hash_prompt(text)
        self.length = choose_length(text)
        self.delivered = self._count_delivered(delivered_text)

    def _count_delivered(self, delivered_text: str) -> int:
        count = delivered_text.count(' w')
        if write_tokens(self.mark, 0, count) != delivered_text:
            raise ResumeInvalid(
                'the last message is not the beginning of the answer'
            )
        return count


def read_chat(body: dict[str, typing.Any]) -> Prompt:
    """Return the prompt of a chat request.

    Raises
    ------
    ResumeInvalid
        `continue_final_message` with a text that was not generated.
    """
    messages = body['messages']
    if body.get('continue_final_message'):
        delivered = _read_content(messages[-1])
        return Prompt(flatten(messages[:-1]), delivered)
    return Prompt(flatten(messages), '')


def read_completion(body: dict[str, typing.Any]) -> Prompt:
    """Return the prompt of a completion request.

    A prompt that ends with the beginning of its own answer is continued.
    """
    text = body['prompt']
    if not isinstance(text, str):
        text = ''.join(text)
    for found in _FIRST_TOKEN.finditer(text):
        base = text[: found.start()]
        if hash_prompt(base) == found[1]:
            return Prompt(base, text[found.start() :])
    return Prompt(text, '')
