"""Prompts: what a model's request has to read, and what of it is shared."""

import typing


class Part:
    """One piece of a prompt, known by an id, with its length in tokens."""

    __slots__ = ('id', 'tokens')

    def __init__(self, id: str, tokens: int) -> None:
        self.id = id
        self.tokens = tokens


class Prompt:
    """A model's request, by size.

    Parameters
    ----------
    model : str
        Which model answers it.
    parts : sequence of Part
        The prompt's pieces in order. Other requests may begin with the same
        ones; the last is the request's own, or its session's.
    prompt_tokens : int
        The whole prompt.
    most_tokens : int
        The most that may be generated.
    hinted_tokens : int or None
        What the caller expects to be generated; often far off.
    """

    __slots__ = (
        'model',
        'parts',
        'prompt_tokens',
        'most_tokens',
        'hinted_tokens',
        '_chain',
    )

    def __init__(
        self,
        *,
        model: str,
        parts: typing.Sequence[Part],
        prompt_tokens: int,
        most_tokens: int,
        hinted_tokens: int | None = None,
    ) -> None:
        self.model = model
        self.parts = tuple(parts)
        self.prompt_tokens = prompt_tokens
        self.most_tokens = most_tokens
        self.hinted_tokens = hinted_tokens
        self._chain: tuple[str, ...] | None = None

    @property
    def expected_tokens(self) -> int:
        """How many tokens will likely be generated."""
        if self.hinted_tokens is None:
            return self.most_tokens
        return min(self.hinted_tokens, self.most_tokens)

    @property
    def own_tokens(self) -> int:
        """Tokens of the last part, which no other request brought along."""
        return self.parts[-1].tokens if self.parts else self.prompt_tokens

    @property
    def chain(self) -> tuple[str, ...]:
        """One key a part, which stands for it and all parts before it.

        An engine can use a cached part only if it has all before it.
        """
        if self._chain is None:
            keys, key = [], self.model
            for part in self.parts:
                key = f'{key}/{part.id}'
                keys.append(key)
            self._chain = tuple(keys)
        return self._chain

    @property
    def shared_key(self) -> str:
        """The key of the deepest part that other requests share, or ''."""
        return self.chain[-2] if len(self.parts) > 1 else ''
