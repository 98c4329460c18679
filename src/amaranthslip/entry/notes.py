"""Notes: what the last line of a routed request tells of it."""

import typing

from amaranthslip.requests import prompts
from amaranthslip.shares import places


class Note:
    """What a request asked for, and when its answer began.

    With these, its line says whether it was in time and whose it was, so that
    logs alone tell which callers are served badly.

    Parameters
    ----------
    need : Need
        What placement decides by.
    """

    __slots__ = ('_need', '_began')

    def __init__(self, need: places.Need) -> None:
        self._need = need
        self._began: float | None = None

    def begin(self, now: float) -> None:
        """Take it that its answer began, on the monotonic clock."""
        if self._began is None:
            self._began = now

    def list_fields(self) -> dict[str, typing.Any]:
        """Return the fields of its line."""
        need = self._need
        fields: dict[str, typing.Any] = {
            'service': need.service,
            'client_account': need.account,
            'tokens': int(need.tokens),
            'objective_ms': int(need.route.objective_seconds * 1000),
        }
        if self._began is not None:
            fields['first_ms'] = int((self._began - need.arrived) * 1000)
        if need.prompt is not None:
            fields |= _describe_prompt(need.prompt)
        if need.estimate is not None:
            fields |= _describe_estimate(need.estimate)
        return fields


def _describe_prompt(prompt: prompts.Prompt) -> dict[str, typing.Any]:
    # A caller's next attempt has an id of its own, but the same prompt.
    own = prompt.parts[-1].id if prompt.parts else ''
    return {'prompt_id': own, 'prompt_tokens': prompt.prompt_tokens}


def _describe_estimate(estimate: places.Estimate) -> dict[str, typing.Any]:
    return {
        'unread': int(estimate.unread),
        'reading_ms': int(estimate.reading_seconds * 1000),
        'ahead_ms': int(estimate.ahead_seconds * 1000),
        'judged_ms': int(estimate.judged_seconds * 1000),
        'allowed_ms': int(estimate.allowed_seconds * 1000),
        'share_use': round(estimate.share_use, 2),
    }
