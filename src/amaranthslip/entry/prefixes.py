"""Hashes of prompt prefixes, used to find engines that have them cached."""

import json
import typing

import xxhash

# Length of the shortest prefix in characters. Each further prefix is twice
# as long, so that even a long prompt has few hashes.
_FIRST_LENGTH = 256
_MAX_PREFIXES = 12


def render_prompt(values: dict[str, typing.Any]) -> str:
    """Return an approximation of the text that an engine will prefill."""
    prompt = values.get('prompt')
    if isinstance(prompt, str):
        return prompt
    return json.dumps(values.get('messages', prompt), ensure_ascii=False)


def hash_prefixes(text: str) -> tuple[int, ...]:
    """Return the hashes of a prompt's prefixes, shortest first."""
    hashes, length = [], _FIRST_LENGTH
    while length <= len(text) and len(hashes) < _MAX_PREFIXES:
        # JSON from a caller may contain an unpaired surrogate.
        prefix = text[:length].encode('utf-8', 'surrogatepass')
        hashes.append(xxhash.xxh3_64_intdigest(prefix))
        length *= 2
    return tuple(hashes)
