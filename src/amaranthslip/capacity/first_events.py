"""Learns what the time to an engine's first event consists of.

The time is a constant part, a part for each prompt token ahead, and a part for
each running request. A Kalman filter estimates the three together, so that
answers to small prompts count as far as they tell something of the reading
rate, and the first answers count more than later ones.
"""

import math
import typing

# Initial standard deviations: of the constant part in seconds, of the seconds
# for a token (that of an engine of 25,000 tokens per second, so that one
# prompt of 3,000 tokens decides), and of the seconds for a running request.
# With 4 ms for the last, long prompts were taken for congestion.
_INITIAL_DEVIATIONS = (0.008, 4e-5, 0.001)
# Drift of the three between two answers, as a standard deviation. That of the
# seconds for a token is relative: an estimate follows a change within about
# ten answers.
_OVERHEAD_DRIFT = 2e-4
_TOKEN_DRIFT = 0.05
_CONGESTION_DRIFT = 3e-5
# Standard deviation of a measured time: a constant part in seconds, the
# network and one engine step, and a part relative to the expected time.
_NOISE_SECONDS = 0.01
_NOISE_FACTOR = 0.15
# Standard deviation of the part of uncertain tokens that is read.
_UNCERTAIN_FACTOR = 0.4
# Standard deviations beyond which an early or late answer counts no further. A
# late one may have many other causes.
_MAX_EARLY_DEVIATIONS = 2.5
_MAX_LATE_DEVIATIONS = 1.0


class FirstEventFilter:
    """The uncertainty of an engine's three estimates."""

    __slots__ = ('_covariance',)

    def __init__(self) -> None:
        self._covariance = [
            [0.0] * column + [deviation**2] + [0.0] * (2 - column)
            for column, deviation in enumerate(_INITIAL_DEVIATIONS)
        ]

    def update(
        self,
        estimates: typing.Sequence[float],
        *,
        tokens: float,
        uncertain: float,
        running: float,
        seconds: float,
    ) -> list[float]:
        """Return the estimates, corrected by one measured time.

        Parameters
        ----------
        estimates : sequence of float
            Seconds of the constant part, for a token, for a running request.
        tokens : float
            Prompt tokens ahead and of the request itself.
        uncertain : float
            Prompt tokens that may or may not have been read, since it is not
            known whether the engine had them in its cache.
        running : float
            Other requests in progress when the request was sent.
        seconds : float
            The measured time to the first event.
        """
        self._add_drift(estimates)
        factors = (1.0, tokens, running)
        expected = sum(e * f for e, f in zip(estimates, factors))
        covariance = self._covariance
        projected = [
            sum(value * f for value, f in zip(row, factors))
            for row in covariance
        ]
        noise = (_NOISE_SECONDS + _NOISE_FACTOR * expected) ** 2
        noise += (_UNCERTAIN_FACTOR * uncertain * estimates[1]) ** 2
        variance = noise + sum(p * f for p, f in zip(projected, factors))
        deviation = math.sqrt(variance)
        error = min(seconds - expected, _MAX_LATE_DEVIATIONS * deviation)
        error = max(error, -_MAX_EARLY_DEVIATIONS * deviation)
        for row, gain in zip(covariance, projected):
            for column, value in enumerate(projected):
                row[column] -= gain * value / variance
        return [
            value + gain * error / variance
            for value, gain in zip(estimates, projected)
        ]

    def _add_drift(self, estimates: typing.Sequence[float]) -> None:
        drifts = (
            _OVERHEAD_DRIFT,
            _TOKEN_DRIFT * estimates[1],
            _CONGESTION_DRIFT,
        )
        for index, drift in enumerate(drifts):
            variance = self._covariance[index][index] + drift**2
            # Without this bound, estimates that no answer tells of for long
            # would change at random with the next one.
            if variance <= _INITIAL_DEVIATIONS[index] ** 2:
                self._covariance[index][index] = variance
