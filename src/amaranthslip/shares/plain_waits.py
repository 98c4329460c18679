"""Waits of plain requests for a place, at the keepers of their servers."""

import typing

from gevent import event

from amaranthslip import identity
from amaranthslip.shares import load_messages
from amaranthslip.shares import placement as placement_module
from amaranthslip.shares import places
from amaranthslip.shares import plain

# Seconds by which an instance waits longer than its keeper lets the request
# wait, so that the keeper's answer arrives.
_ANSWER_SLACK_SECONDS = 0.02


class Asker(typing.Protocol):
    """Asks keepers, as `shares.keepers.Keepers` does."""

    def start_wait(self, server: str) -> int:
        """Return the number of a request that waits; 0 if it must not."""

    def keeps(self, server: str) -> bool:
        """Return whether this instance keeps a server."""

    def ask_twice(
        self, server: str, ask: load_messages.PlaceAsk, seconds: float
    ) -> load_messages.PlaceAnswer | None:
        """Return the last of an ask's answers; None if none came in time."""

    def cancel(self, server: str, number: int) -> None:
        """Tell a server's keeper that a request needs no place."""

    def wait_for(
        self, result: event.AsyncResult, seconds: float
    ) -> typing.Any:
        """Return a result's value; None if it isn't set in time."""


class PlainWaits:
    """Lets plain requests wait for a place.

    Parameters
    ----------
    asker : Asker
        Asks the keepers.
    placement : Placement
        Selects the servers.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = ('_asker', '_placement', '_plain', '_clock')

    def __init__(
        self,
        asker: Asker,
        placement: placement_module.Placement,
        clock: typing.Callable[[], float],
    ) -> None:
        self._asker = asker
        self._placement = placement
        self._plain: plain.PlainServers = placement.plain
        self._clock = clock

    def wait(
        self, placement_request: places.PlacementRequest
    ) -> places.Place | None:
        """Return a place that became free in time; None if none did."""
        candidate = self._placement.choose_waiting(placement_request)
        if candidate is None or not candidate.plain_start.terms.usual_seconds:
            return None
        server = candidate.engine.server.name
        number = self._asker.start_wait(server)
        if not number:
            return None
        if self._asker.keeps(server):
            if not self._wait_here(candidate, number):
                return None
            return self._placement.take_place(placement_request, candidate)
        if not self._wait_there(candidate, number):
            return None
        place = self._placement.take_place(placement_request, candidate)
        place.ask_number = number
        return place

    def _wait_here(
        self, candidate: places.ScoredCandidate, number: int
    ) -> bool:
        """Return whether a place at a server of this instance became free."""
        engine, terms = candidate.engine, candidate.plain_start.terms
        result = event.AsyncResult()

        def resolve(granted: bool) -> None:
            # Counted until the place that the request takes counts itself.
            if granted:
                self._plain.count(engine, 1)
            result.set(granted)

        key = ('', number)
        if not self._plain.enqueue(engine, key, terms, resolve, self._clock()):
            return False
        self._plain.serve_waiting(engine, self._clock())
        ended = True
        try:
            granted = bool(self._asker.wait_for(result, terms.queue_seconds))
            ended = False
            return granted
        finally:
            self._plain.leave(engine, key)
            if result.ready() and result.value:
                self._plain.count(engine, -1)
                running = self._plain.count_running(engine)
                candidate.plain_start.running = running
                if ended:
                    self._plain.serve_waiting(engine, self._clock())

    def _wait_there(
        self, candidate: places.ScoredCandidate, number: int
    ) -> bool:
        """Return whether another instance's keeper granted a place."""
        server = candidate.engine.server.name
        terms = candidate.plain_start.terms
        ask = load_messages.PlaceAsk(
            number=number,
            server=identity.hash_name(server),
            unread=0.0,
            held=0,
            usual_seconds=terms.usual_seconds,
            queue_seconds=terms.queue_seconds,
            left_seconds=terms.left_seconds,
            waits=True,
        )
        granted = False
        try:
            answer = self._asker.ask_twice(
                server, ask, terms.queue_seconds + _ANSWER_SLACK_SECONDS
            )
            granted = answer is not None and not answer.refused
            if granted:
                candidate.plain_start.running = answer.running
        finally:
            if not granted:
                self._asker.cancel(server, number)
        return granted
