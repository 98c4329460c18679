"""Prefixes: hashes by which an engine's cached prompts are recognised."""

import json
import typing

import xxhash

# The first prefix's length in characters; each further one is twice as
# long, so that a long prompt still has only a handful.
_FIRST = 256
_MOST = 12


def write_prompt(values: dict[str, typing.Any]) -> str:
    """Return the text that an engine will prefill, or near enough."""
    prompt = values.get('prompt')
    if isinstance(prompt, str):
        return prompt
    return json.dumps(values.get('messages', prompt), ensure_ascii=False)


def hash_prefixes(text: str) -> tuple[int, ...]:
    """Return the hashes of a prompt's growing prefixes, shortest first."""
    hashes, length = [], _FIRST
    while length <= len(text) and len(hashes) < _MOST:
        # A caller's JSON may hold half of a surrogate pair.
        prefix = text[:length].encode('utf-8', 'surrogatepass')
        hashes.append(xxhash.xxh3_64_intdigest(prefix))
        length *= 2
    return tuple(hashes)
