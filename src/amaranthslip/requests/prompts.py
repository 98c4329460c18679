"""Prompts of model requests: their sizes and their shared prefixes."""

import array
import typing

import xxhash

from amaranthslip.requests import part_crashes

# Characters of the key of a shared prefix, which caches keep. A longer prefix
# is identified by its hash.
_MAX_SHARED_KEY_LENGTH = 256


class PromptPart:
    """A part of a prompt, identified by an id, with its length in tokens."""

    __slots__ = ('id', 'tokens')

    def __init__(self, id: str, tokens: int) -> None:
        self.id = id
        self.tokens = tokens


class Prompt:
    """The prompt of a model request, described by the sizes of its parts.

    Parameters
    ----------
    model : str
        Name of the model that answers the request.
    parts : sequence of PromptPart
        The parts of the prompt in order. Other requests may start with the
        same parts. The last part belongs to this request or to its session.
    prompt_tokens : int
        Tokens of the whole prompt.
    max_output_tokens : int
        Largest number of tokens that may be generated.
    hinted_output_tokens : int or None
        Number of generated tokens that the caller expects; often inaccurate.

    Attributes
    ----------
    part_tokens : array of int
        The length of each part in tokens.
    prefix_keys : array of int
        One 64-bit key for each part, which identifies the prefix up to it. It
        covers all parts before it, because an engine can use a cached part
        only if it has cached these too.
    shared_prefix_key : str
        Identifies the longest prefix that can be shared; '' if there is none.
    leading_ids : tuple of str
        The ids of the first parts that other requests may have too: all but
        the last, and no more than are checked for crashes.
    last_id : str
        The id of the last part; empty if there is none.
    shared_tokens : int
        Tokens of all parts but the last, which others may send too.
    """

    __slots__ = (
        'model',
        'part_tokens',
        'prefix_keys',
        'shared_prefix_key',
        'leading_ids',
        'last_id',
        'shared_tokens',
        'prompt_tokens',
        'max_output_tokens',
        'hinted_output_tokens',
    )

    def __init__(
        self,
        *,
        model: str,
        parts: typing.Sequence[PromptPart],
        prompt_tokens: int,
        max_output_tokens: int,
        hinted_output_tokens: int | None = None,
    ) -> None:
        # Arrays, and ids of a few parts only: a prompt may have thousands of
        # parts, and is held while its request waits and runs.
        self.model = model
        tokens = [each.tokens for each in parts]
        self.part_tokens = array.array('q', tokens)
        self.shared_tokens = sum(tokens[:-1])
        self.prefix_keys = _compute_prefix_keys(model, parts)
        self.shared_prefix_key = self._build_shared_key(parts[:-1])
        self.leading_ids = tuple(
            [each.id for each in parts[:-1][: part_crashes.MAX_PROMPT_PARTS]]
        )
        self.last_id = parts[-1].id if parts else ''
        self.prompt_tokens = prompt_tokens
        self.max_output_tokens = max_output_tokens
        self.hinted_output_tokens = hinted_output_tokens

    @property
    def expected_output_tokens(self) -> int:
        """The expected number of generated tokens."""
        if self.hinted_output_tokens is None:
            return self.max_output_tokens
        return min(self.hinted_output_tokens, self.max_output_tokens)

    @property
    def unshared_tokens(self) -> int:
        """Tokens of the last part, which no other request has sent."""
        return self.part_tokens[-1] if self.part_tokens else self.prompt_tokens

    def _build_shared_key(self, shared: typing.Sequence[PromptPart]) -> str:
        if not shared:
            return ''
        key = '/'.join([self.model, *[each.id for each in shared]])
        if len(key) > _MAX_SHARED_KEY_LENGTH:
            return f'{self.prefix_keys[-2]:016x}'
        return key

    def count_tokens(self, parts: int) -> int:
        """Return the tokens of the first parts."""
        return sum(self.part_tokens[:parts])


def _compute_prefix_keys(
    model: str, parts: typing.Iterable[PromptPart]
) -> array.array:
    digest = xxhash.xxh3_64_intdigest
    keys, key = [], digest(model.encode())
    for part in parts:
        key = digest(part.id.encode(), key)
        keys.append(key)
    return array.array('Q', keys)
