"""Places of plain requests: asks the servers' keepers, and takes the best."""

import typing

from amaranthslip import errors
from amaranthslip.shares import load_messages
from amaranthslip.shares import places

# Maximum number of servers whose keepers are asked for one request.
_MAX_ASKS = 3
# Fraction of the expected time at a server that has granted a place below
# which another one is asked: an ask takes up to 3 ms, which is a twentieth of
# the time of a short request that waits.
_FASTER_FRACTION = 0.95


class Asker(typing.Protocol):
    """Selects places and asks keepers, as `shares.keepers.Keepers` does."""

    def select(self, request: places.PlacementRequest) -> places.Place:
        """Return a place by what this instance knows."""

    def ask(self, place: places.Place) -> load_messages.PlaceAnswer | None:
        """Return the keeper's answer; None if this instance has to decide."""

    def drop(self, place: places.Place) -> None:
        """Release an unused place, and tell the keeper if it counts it."""

    def wait(self, request: places.PlacementRequest) -> places.Place | None:
        """Return a place that became free in time; None if none did."""

    def refuse(
        self, request: places.PlacementRequest, place: places.Place
    ) -> Exception:
        """Return the refusal of a request that no keeper granted a place."""


def reserve(asker: Asker, request: places.PlacementRequest) -> places.Place:
    """Return a place for a plain request that its server's keeper granted.

    Keepers answer one after the other and count each request that they grant,
    so instances that select the same free server don't overfill it.

    Raises
    ------
    RequestRefused
        No server can serve it in time; it was not run.
    """
    held: list[places.Place] = []
    try:
        return _reserve(asker, request, held)
    except errors.RequestRefused:
        if request.plain_limit is not places.Limit.FULL:
            raise
        place = asker.wait(request)
        if place is None:
            raise
        return place
    except BaseException:
        # A deadline or a caller that disconnects ends the wait for a keeper.
        for place in held:
            asker.drop(place)
        raise


def _reserve(
    asker: Asker,
    request: places.PlacementRequest,
    held: list[places.Place],
) -> places.Place:
    asked: set[str] = set()
    granted: places.Place | None = None
    while len(asked) < _MAX_ASKS:
        place = _select(asker, request, granted)
        if place is None:
            break
        held.append(place)
        if not _is_worth_asking(place, granted, asked):
            held.remove(place)
            asker.drop(place)
            break
        asked.add(place.server.name)
        answer = asker.ask(place)
        if answer is None or not answer.refused:
            granted = _keep_faster(asker, held, granted, place)
        else:
            held.remove(place)
            asker.drop(place)
        if answer is None:
            break
    if granted is None:
        raise asker.refuse(request, place)
    return granted


def _select(
    asker: Asker,
    request: places.PlacementRequest,
    granted: places.Place | None,
) -> places.Place | None:
    if granted is None:
        return asker.select(request)
    try:
        return asker.select(request)
    except errors.RequestRefused:
        return None


def _is_worth_asking(
    place: places.Place, granted: places.Place | None, asked: set[str]
) -> bool:
    if place.server.name in asked:
        return False
    return granted is None or (
        place.expected_seconds < _FASTER_FRACTION * granted.expected_seconds
    )


def _keep_faster(
    asker: Asker,
    held: list[places.Place],
    granted: places.Place | None,
    place: places.Place,
) -> places.Place:
    if granted is None:
        return place
    slower, faster = sorted(
        (granted, place), key=lambda each: -each.expected_seconds
    )
    held.remove(slower)
    asker.drop(slower)
    return faster
