"""Overflow: which requests an instance at its limit passes to its peers.

The load that this answers: callers that keep their connections to one
instance, and together or alone bring more than its processor can handle, while
the processors of other instances are mostly idle.
"""

import logging
import random as random_
import time
import typing

from amaranthslip.entry import arrivals
from amaranthslip.members import usage_messages

_LOG = logging.getLogger(__name__)

# Fraction of its time at work above which an instance passes more of its
# requests on, and below which it passes fewer. Requests wait noticeably from
# about four fifths on, as in any queue with random arrivals.
_HIGH_USAGE = 0.75
_LOW_USAGE = 0.6
# Rates per second at which the fraction of requests that are passed on rises
# and falls. It rises to all of them within half a second and falls more
# slowly, so that the load does not swing between instances.
_RISE = 2.0
_FALL = 0.3
# Fraction of its time at work above which an instance that passes on all its
# requests refuses a part of the new connections, and below which it refuses
# fewer. A refusal that reads no request takes a sixth of the time of passing
# one. Without it, connections are not accepted in time, and their callers wait
# for a second.
_FULL_USAGE = 0.95
_SPARE_USAGE = 0.9
# Rate per second at which the fraction of refused connections rises and falls,
# and its maximum.
_SHED_RATE = 0.5
_MAX_SHED = 0.9
# Ratio to the maximum lag up to which hosts with few connections are accepted
# all the same.
_LIGHT_LAG_FACTOR = 2.0
# Usage of an instance up to which it takes requests of others: it keeps room
# for its own callers.
MAX_TAKING_USAGE = 0.6
# Usage that one request in progress at a peer adds to what that reported.
_REQUEST_USAGE = 0.01
# Limit on the requests in progress at all peers.
_MAX_PASSED = 256
# Seconds for which a peer gets no request after it declined or failed one.
_PAUSE_SECONDS = 1.0
# Seconds without a sign of life, while requests wait to be taken, after which
# a peer gets no further ones. Longer than a process with half of a processor
# stands still at times; the lag of this instance comes on top.
_SILENCE_SECONDS = 0.1
# Seconds after which a peer's usage no longer counts.
_USAGE_TTL_SECONDS = 10.0


class Peer:
    """Another instance that takes requests, as this one knows it.

    `address` is where it serves callers, `usage` what it last reported, and
    `passed` the number of this instance's requests in progress there. `asked`
    counts those of them that it has not taken yet, `quiet_since` is when it
    last showed a sign of life while there were any, and `silent` whether it
    took none of the last ones in time.
    """

    __slots__ = (
        'name',
        'address',
        'usage',
        'known_at',
        'passed',
        'paused',
        'asked',
        'quiet_since',
        'silent',
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.address = ''
        self.usage = 1.0
        self.known_at = float('-inf')
        self.passed = 0
        # Monotonic time until which it gets no requests.
        self.paused = float('-inf')
        self.asked = 0
        self.quiet_since = float('-inf')
        self.silent = False

    @property
    def expected_usage(self) -> float:
        """The reported usage, and that of the requests passed to it."""
        return self.usage + _REQUEST_USAGE * self.passed

    def may_be_asked(self, now: float, lag: float) -> bool:
        """Return whether it answers, as far as its requests show.

        One that did not is asked for one request at a time.

        Parameters
        ----------
        lag : float
            Seconds by which this instance may read its answers late.
        """
        if not self.asked:
            return True
        if self.silent:
            return False
        return now - self.quiet_since < _SILENCE_SECONDS + lag


class Overflow:
    """Decides whether a request is passed to another instance, and to which.

    Parameters
    ----------
    read_usage : callable
        Returns the fraction of the time that this instance is at work.
    read_lag : callable
        Returns for how long the oldest unread request has waited, in seconds.
    read_max_lag : callable
        Returns the lag in seconds above which no request is accepted.
    is_live : callable
        Returns whether an instance of some name may get requests.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Spreads requests over peers.
    """

    __slots__ = (
        '_read_usage',
        '_read_lag',
        '_read_max_lag',
        '_is_live',
        '_clock',
        '_random',
        '_arrivals',
        '_peers',
        '_passed',
        '_fraction',
        '_shed',
    )

    def __init__(
        self,
        read_usage: typing.Callable[[], float],
        *,
        read_lag: typing.Callable[[], float] = lambda: 0.0,
        read_max_lag: typing.Callable[[], float] = lambda: float('inf'),
        is_live: typing.Callable[[str], bool] = lambda name: True,
        clock: typing.Callable[[], float] = time.monotonic,
        random: random_.Random | None = None,
    ) -> None:
        self._read_usage = read_usage
        self._read_lag = read_lag
        self._read_max_lag = read_max_lag
        self._is_live = is_live
        self._clock = clock
        self._random = random or random_.Random()
        self._arrivals = arrivals.Arrivals(clock=clock)
        self._peers: dict[str, Peer] = {}
        self._passed = 0
        self._fraction = 0.0
        self._shed = 0.0

    @property
    def fraction(self) -> float:
        """The fraction of the requests that are passed on."""
        return self._fraction

    def set_peers(
        self, reported: typing.Iterable[usage_messages.PeerUsage]
    ) -> None:
        """Record the peers that have capacity left."""
        now = self._clock()
        for each in reported:
            peer = self._peers.setdefault(each.name, Peer(each.name))
            peer.address = each.callers
            peer.usage = each.usage
            peer.known_at = now
        oldest = now - _USAGE_TTL_SECONDS
        self._peers = {
            name: peer
            for name, peer in self._peers.items()
            if peer.passed or peer.known_at > oldest
        }

    def list_addresses(self) -> list[str]:
        """Return the addresses of all peers that are known."""
        return [each.address for each in self._peers.values()]

    def adjust(self, seconds: float) -> None:
        """Adapt the fraction to the usage of the last seconds."""
        usage = self._read_usage()
        before = self._fraction
        if usage > _HIGH_USAGE:
            self._fraction = min(1.0, before + _RISE * seconds)
        elif usage < _LOW_USAGE:
            self._fraction = max(0.0, before - _FALL * seconds)
        if usage > _FULL_USAGE and self._fraction >= 1.0 and self._passed:
            self._shed = min(_MAX_SHED, self._shed + _SHED_RATE * seconds)
        elif usage < _SPARE_USAGE or not self._fraction:
            self._shed = max(0.0, self._shed - _SHED_RATE * seconds)
        if bool(before) != bool(self._fraction):
            _LOG.info(
                'overflow_started' if self._fraction else 'overflow_ended',
                extra={'usage': round(usage, 2), 'peers': len(self._peers)},
            )

    def refuses_connection(self, host: str) -> bool:
        """Return whether a new connection from a host is refused.

        There is not even time to pass its requests on, or others already wait
        for longer than they may. To read its request first takes several
        times as long, so that the queue of unread requests would grow until
        all their callers have left.
        """
        self._arrivals.note(host)
        if self.is_behind(host):
            return True
        return self._sheds() and not self._arrivals.is_light(host)

    def is_behind(self, host: str) -> bool:
        """Return whether requests from a host wait for longer than they may.

        Those from hosts with few connections may wait for longer: others, who
        bring most of the load, would take all the room.
        """
        lag, max_lag = self._read_lag(), self._read_max_lag()
        if lag <= max_lag:
            return False
        return lag > _LIGHT_LAG_FACTOR * max_lag or (
            not self._arrivals.is_light(host)
        )

    def _sheds(self) -> bool:
        return bool(self._shed) and self._random.random() < self._shed

    def takes_requests(self) -> bool:
        """Return whether this instance takes requests of others."""
        return self._read_usage() <= MAX_TAKING_USAGE

    def take_peer(self) -> Peer | None:
        """Return the peer that gets a request now, or None to keep it.

        The request counts as passed until `note_end`.
        """
        peer = self._choose_peer()
        if peer is not None:
            peer.passed += 1
            self._passed += 1
        return peer

    def wants_to_pass(self) -> bool:
        """Return whether the next request should be passed, if possible."""
        return bool(self._fraction) and self._random.random() < self._fraction

    def _choose_peer(self) -> Peer | None:
        if self._passed >= _MAX_PASSED:
            return None
        now, lag = self._clock(), self._read_lag()
        usable = [
            each
            for each in self._peers.values()
            if each.known_at > now - _USAGE_TTL_SECONDS
            and each.paused <= now
            and each.may_be_asked(now, lag)
            and each.expected_usage <= MAX_TAKING_USAGE
            and self._is_live(each.name)
        ]
        if not usable:
            return None
        # The better of two at random: several instances that know the same
        # peers do not all choose the same one.
        drawn = self._random.sample(usable, min(2, len(usable)))
        return min(drawn, key=lambda each: each.expected_usage)

    def note_end(self, peer: Peer) -> None:
        """Count the end of a request at a peer."""
        peer.passed -= 1
        self._passed -= 1

    def is_live(self, peer: Peer) -> bool:
        """Return whether a peer is in service and not suspected."""
        return self._is_live(peer.name)

    def note_asked(self, peer: Peer) -> None:
        """Count a request that a peer was asked to take."""
        if not peer.asked:
            peer.quiet_since = self._clock()
        peer.asked += 1

    def note_asked_end(self, peer: Peer) -> None:
        """Count that a peer took a request, or did not."""
        peer.asked -= 1

    def note_sign(self, peer: Peer) -> None:
        """Note a sign of life of a peer."""
        peer.quiet_since = self._clock()
        if peer.silent:
            peer.silent = False
            _LOG.info('peer_answers_again', extra={'peer': peer.name})

    def pause(self, peer: Peer, *, silent: bool = False) -> None:
        """Pass nothing to a peer that declined or lost a request for now.

        Parameters
        ----------
        silent : bool
            Whether it did not answer at all.
        """
        peer.paused = self._clock() + _PAUSE_SECONDS
        if silent and not peer.silent:
            peer.silent = True
            _LOG.info(
                'peer_silent',
                extra={'peer': peer.name, 'requests': peer.passed},
            )
