"""Estimates of what a request will cost, learnt from what others cost."""

_LEARNING_RATE = 0.2
_MOST_KEPT = 20000


class Estimator:
    """Moving means of cost for each client account and kind of request.

    Nothing a caller says enters the estimate, so an account gains nothing
    by naming low sizes; the kind's configured estimate is only a start.
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
        """Take the actual cost of a request that ran to its end."""
        key = (client_account, kind)
        mean = self._means.pop(key, None)
        if mean is None:
            mean = tokens
        else:
            mean += _LEARNING_RATE * (tokens - mean)
        self._means[key] = mean
        if len(self._means) > _MOST_KEPT:
            del self._means[next(iter(self._means))]
