"""Estimates of request cost, learnt from completed requests."""

_LEARNING_RATE = 0.2
_MAX_MEANS = 20000


class Estimator:
    """Exponential moving averages of cost by client account and kind.

    Callers' own statements of size are ignored, so that an account cannot
    improve its position by understating them. The estimate configured for
    the kind of request is only the initial value.
    """

    __slots__ = ('_means', '_holder')

    def __init__(self, holder: object) -> None:
        self._holder = holder
        self._means: dict[tuple[str, str], float] = {}

    def estimate(
        self, client_account: str, kind: str, prompt_tokens: float
    ) -> float:
        """Return the expected cost in tokens."""
        mean = self._means.get((client_account, kind))
        if mean is not None:
            return mean
        request_kind = self._holder.document.request_kinds.get(kind)
        start = request_kind.estimate_tokens if request_kind else 1.0
        return start + prompt_tokens

    def learn(self, client_account: str, kind: str, tokens: float) -> None:
        """Update the average with the cost of a completed request."""
        key = (client_account, kind)
        mean = self._means.pop(key, None)
        if mean is None:
            mean = tokens
        else:
            mean += _LEARNING_RATE * (tokens - mean)
        self._means[key] = mean
        if len(self._means) > _MAX_MEANS:
            del self._means[next(iter(self._means))]
