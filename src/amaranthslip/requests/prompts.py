"""Prompts of model requests: their sizes and their shared prefixes."""

import typing


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
    """

    __slots__ = (
        'model',
        'parts',
        'prompt_tokens',
        'max_output_tokens',
        'hinted_output_tokens',
        '_prefix_keys',
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
        self.model = model
        self.parts = tuple(parts)
        self.prompt_tokens = prompt_tokens
        self.max_output_tokens = max_output_tokens
        self.hinted_output_tokens = hinted_output_tokens
        self._prefix_keys: tuple[str, ...] | None = None

    @property
    def expected_output_tokens(self) -> int:
        """The expected number of generated tokens."""
        if self.hinted_output_tokens is None:
            return self.max_output_tokens
        return min(self.hinted_output_tokens, self.max_output_tokens)

    @property
    def unshared_tokens(self) -> int:
        """Tokens of the last part, which no other request has sent."""
        return self.parts[-1].tokens if self.parts else self.prompt_tokens

    @property
    def shared_tokens(self) -> int:
        """Tokens of all parts but the last, which others may send too."""
        return sum(each.tokens for each in self.parts[:-1])

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may have too: all but the last."""
        return self.parts[:-1]

    @property
    def prefix_keys(self) -> tuple[str, ...]:
        """One key for each part, which identifies the prefix up to it.

        The key covers the part and all parts before it, because an engine can
        use a cached part only if it has cached all parts before it.
        """
        if self._prefix_keys is None:
            keys, key = [], self.model
            for part in self.parts:
                key = f'{key}/{part.id}'
                keys.append(key)
            self._prefix_keys = tuple(keys)
        return self._prefix_keys

    @property
    def shared_prefix_key(self) -> str:
        """The key of the longest prefix that can be shared, or ''."""
        return self.prefix_keys[-2] if len(self.parts) > 1 else ''
