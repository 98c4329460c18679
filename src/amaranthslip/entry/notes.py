"""Fields of the final log record of a routed request."""

import math
import typing

from amaranthslip.requests import prompts
from amaranthslip.shares import places


class RequestSummary:
    """A request's requirements and the time at which its answer began.

    The log record with these fields shows the client account and whether the
    latency objective was met, so that logs alone identify poorly served
    callers.

    Parameters
    ----------
    placement_request : PlacementRequest
        The placement requirements of the request.
    """

    __slots__ = ('_placement_request', '_answer_started_at')

    def __init__(self, placement_request: places.PlacementRequest) -> None:
        self._placement_request = placement_request
        self._answer_started_at: float | None = None

    def note_answer_start(self, now: float) -> None:
        """Record the time at which the answer began; only the first counts.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        if self._answer_started_at is None:
            self._answer_started_at = now

    def list_fields(self) -> dict[str, typing.Any]:
        """Return the fields for the request's final log record."""
        placement_request = self._placement_request
        fields: dict[str, typing.Any] = {
            'client_account': placement_request.client_account,
        }
        # First, so that a line that is cut off still tells what decided.
        if placement_request.estimate is not None:
            fields |= _describe_estimate(placement_request.estimate)
        if placement_request.plain_limit is not None:
            fields['limit'] = placement_request.plain_limit.value
        fields |= {
            'service': placement_request.service,
            'tokens': int(placement_request.tokens),
            'objective_ms': int(
                placement_request.route.objective_seconds * 1000
            ),
        }
        if self._answer_started_at is not None:
            fields['first_ms'] = int(
                (self._answer_started_at - placement_request.arrived) * 1000
            )
        if placement_request.prompt is not None:
            fields |= _describe_prompt(placement_request.prompt)
        return fields


def _describe_prompt(prompt: prompts.Prompt) -> dict[str, typing.Any]:
    # A client's retry has a new attempt id but the same prompt id, which
    # relates the attempts in logs.
    return {'prompt_id': prompt.last_id, 'prompt_tokens': prompt.prompt_tokens}


def _describe_estimate(estimate: places.WaitEstimate) -> dict[str, typing.Any]:
    ratios = estimate.ratios
    limit = {} if estimate.limit is None else {'limit': estimate.limit.value}
    return limit | {
        'share_use': round(ratios.granted_ratio, 2),
        'share_asked': round(ratios.asked_ratio, 2),
        'judged_ms': int(estimate.judged_seconds * 1000),
        'allowed_ms': int(estimate.allowed_seconds * 1000),
        'server_idle': int(estimate.server_idle),
        # -1: only this instance's own tokens of the account are known.
        'share_age_ms': int(1000 * ratios.age_seconds)
        if math.isfinite(ratios.age_seconds)
        else -1,
        # 0: no contention, so that no account has a limit.
        'share_tokens': int(ratios.level)
        if math.isfinite(ratios.level)
        else 0,
        'unread': int(estimate.unread_tokens),
        'reading_ms': int(estimate.reading_seconds * 1000),
        'ahead_ms': int(estimate.ahead_seconds * 1000),
        'slot_ms': int(estimate.slot_seconds * 1000),
        'delay_ms': int(estimate.delay_seconds * 1000),
    }
