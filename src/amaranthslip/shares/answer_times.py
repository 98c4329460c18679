"""Times of complete answers, from which servers' estimates are learnt."""

import logging
import time
import typing

from amaranthslip.capacity import engines as engines_module

_LOG = logging.getLogger(__name__)

# Minimum seconds between log lines: an instance may keep dozens of servers,
# each of which may change its limit several times a second.
_LOG_INTERVAL_SECONDS = 1.0


class AnswerTimes:
    """How long a complete answer took.

    Parameters
    ----------
    running : int
        Requests in progress on the server when it began, with it.
    seconds, usual : float
        Plain answers: the duration, and the mean of such requests at all
        servers, 0 if that is not known. 0 for streams.
    pause, allowed_pause : float
        Streams: seconds of the longest time between events, and of the longest
        that the route allows. 0 for plain answers.
    """

    __slots__ = ('running', 'seconds', 'usual', 'pause', 'allowed_pause')

    def __init__(
        self,
        *,
        running: int,
        seconds: float = 0.0,
        usual: float = 0.0,
        pause: float = 0.0,
        allowed_pause: float = 0.0,
    ) -> None:
        self.running = running
        self.seconds = seconds
        self.usual = usual
        self.pause = pause
        self.allowed_pause = allowed_pause


class TimesRecorder:
    """Passes times to the estimates, and reports limits that change.

    Parameters
    ----------
    metrics : Metrics
        Counts the changes.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = ('_metrics', '_clock', '_next_log_at', '_unlogged')

    def __init__(
        self,
        metrics: typing.Any,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._next_log_at = float('-inf')
        # Changes since the last line.
        self._unlogged = 0

    def record(
        self,
        engine: engines_module.Engine,
        times: AnswerTimes,
        *,
        keeps: bool,
    ) -> None:
        """Pass one answer's times to the estimate of its server.

        Only the server's keeper, which `keeps` tells, reports a change.
        """
        estimate = engine.estimate
        before = estimate.read_limit()
        now = self._clock()
        if times.seconds > 0:
            estimate.note_end(
                running=times.running,
                seconds=times.seconds,
                usual_seconds=times.usual,
                now=now,
            )
        if times.allowed_pause > 0:
            estimate.note_pause(
                running=times.running,
                pause=times.pause,
                allowed=times.allowed_pause,
                now=now,
            )
        after = estimate.read_limit()
        if keeps and after != before:
            self._report(engine, before, after, now)

    def _report(
        self,
        engine: engines_module.Engine,
        before: int,
        after: int,
        now: float,
    ) -> None:
        self._metrics.count(
            'server_limits', 'raised' if after > before else 'lowered'
        )
        self._unlogged += 1
        if now < self._next_log_at:
            return
        _LOG.info(
            'server_limit',
            extra={
                'server': engine.server.name,
                'limit': after,
                'limit_before': before,
                'slots': engine.server.slots,
                'relative_seconds': round(
                    engine.estimate.read_relative_seconds(), 2
                ),
                'slowdown': round(engine.estimate.slowdown.read(now), 2),
                'changes': self._unlogged,
            },
        )
        self._next_log_at = now + _LOG_INTERVAL_SECONDS
        self._unlogged = 0
