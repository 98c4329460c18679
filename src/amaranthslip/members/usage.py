"""Exchange of the instances' processor usage.

Each instance reports its usage to one of them, the aggregating instance, and
an instance that has too much to do is told a few others that have capacity
left. If the aggregating instance is lost, what was told expires, and the next
one learns from the next reports.
"""

import contextlib
import functools
import logging
import random as random_
import time
import typing

import gevent

from amaranthslip.members import roster as roster_module
from amaranthslip.members import usage_messages

_LOG = logging.getLogger(__name__)

_RENDEZVOUS_KEY = 'usage'
# Minimum seconds between an instance's reports, and the number of reports per
# second that the aggregating instance receives from all.
_MIN_INTERVAL_SECONDS = 0.25
_MAX_REPORTS_PER_SECOND = 170.0
# Seconds after which what an instance reported no longer counts: more than
# two intervals of a fleet of 720 instances.
TTL_SECONDS = 10.0
# Maximum number of instances that an answer names: enough that several
# overloaded instances use different ones, in about 500 bytes.
_MAX_LISTED = 8
# Usage above which an instance asks for peers with each report, and seconds
# after which any instance asks: callers may overload one within a second, and
# then it has no time to ask.
_ASKING_USAGE = 0.25
_ASKING_INTERVAL_SECONDS = 4.0


class UsageTable:
    """The latest usage of each instance that reports it.

    Parameters
    ----------
    max_usage : float
        Usage up to which an instance can take requests of others.
    clock : callable
        Returns monotonic time in seconds.
    random : random.Random
        Draws the instances that are listed.
    """

    __slots__ = ('_max_usage', '_clock', '_random', '_reported')

    def __init__(
        self,
        max_usage: float,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
        random: random_.Random | None = None,
    ) -> None:
        self._max_usage = max_usage
        self._clock = clock
        self._random = random or random_.Random()
        self._reported: dict[str, tuple[usage_messages.PeerUsage, float]] = {}

    def put(self, usage: usage_messages.PeerUsage) -> None:
        """Record what an instance reported."""
        self._reported[usage.name] = usage, self._clock()

    def list_idle(
        self, is_usable: typing.Callable[[str], bool]
    ) -> list[usage_messages.PeerUsage]:
        """Return some of the instances that can take requests.

        Parameters
        ----------
        is_usable : callable
            Returns whether an instance of some name may be listed.
        """
        oldest = self._clock() - TTL_SECONDS
        self._reported = {
            name: entry
            for name, entry in self._reported.items()
            if entry[1] > oldest
        }
        idle = [
            usage
            for usage, _ in self._reported.values()
            if usage.usage <= self._max_usage and is_usable(usage.name)
        ]
        return self._random.sample(idle, min(_MAX_LISTED, len(idle)))


class UsageExchange:
    """Reports this instance's usage, and learns which peers are idle.

    Parameters
    ----------
    roster : Roster
        The live instances; one of them aggregates all reports.
    outbox : object
        `send(name, message) -> bool`.
    table : UsageTable
        What instances reported, while this one aggregates.
    read_usage : callable
        Returns this instance's usage, from 0 to 1.
    read_address : callable
        Returns the address at which it serves callers.
    is_enabled : callable
        Returns whether usage is exchanged at all.
    on_peers : callable
        Called with the idle peers that this instance is told.
    """

    __slots__ = (
        '_roster',
        '_outbox',
        '_table',
        '_read_usage',
        '_read_address',
        '_is_enabled',
        '_on_peers',
        '_clock',
        '_told_at',
        '_exits',
    )

    def __init__(
        self,
        roster: roster_module.Roster,
        outbox: typing.Any,
        table: UsageTable,
        *,
        read_usage: typing.Callable[[], float],
        read_address: typing.Callable[[], str],
        is_enabled: typing.Callable[[], bool],
        on_peers: typing.Callable[[list[usage_messages.PeerUsage]], None],
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._roster = roster
        self._outbox = outbox
        self._table = table
        self._read_usage = read_usage
        self._read_address = read_address
        self._is_enabled = is_enabled
        self._on_peers = on_peers
        self._clock = clock
        self._told_at = float('-inf')
        self._exits = contextlib.ExitStack()

    def start(self) -> None:
        """Start the periodic reports."""
        self._exits.callback(gevent.spawn(self._run).kill)

    def close(self) -> None:
        """Stop the periodic reports."""
        self._exits.close()

    def _run(self) -> None:
        while True:
            if self._is_enabled():
                self.report()
            gevent.sleep(self.read_interval())

    def read_interval(self) -> float:
        """Return the seconds between two reports of an instance."""
        count = len(self._roster.list_live())
        return max(_MIN_INTERVAL_SECONDS, count / _MAX_REPORTS_PER_SECOND)

    def find_aggregator(self) -> str:
        """Return the aggregating instance, by rendezvous hashing."""
        return self._roster.find_first(_RENDEZVOUS_KEY)

    def report(self) -> None:
        """Report this instance's usage to the aggregating instance."""
        usage = self._read_usage()
        message = usage_messages.InstanceUsage(
            callers=self._read_address(),
            usage=usage,
            needs_peers=usage > _ASKING_USAGE
            or self._clock() - self._told_at > _ASKING_INTERVAL_SECONDS,
        )
        aggregator = self.find_aggregator()
        if aggregator == self._roster.member.name:
            self._record(aggregator, message)
            self._on_peers(self._list_idle(aggregator))
        else:
            self._outbox.send(aggregator, message)

    def receive(self, sender: str, message: object) -> None:
        """Handle a report, or the answer to one."""
        self._handle(message, sender)

    @functools.singledispatchmethod
    def _handle(self, message: object, sender: str) -> None:
        _LOG.debug('message_unknown', extra={'kind': type(message).__name__})

    @_handle.register
    def _(self, message: usage_messages.InstanceUsage, sender: str) -> None:
        self._record(sender, message)
        if message.needs_peers:
            self._outbox.send(
                sender,
                usage_messages.IdlePeers(peers=self._list_idle(sender)),
            )

    @_handle.register
    def _(self, message: usage_messages.IdlePeers, sender: str) -> None:
        self._told_at = self._clock()
        self._on_peers(list(message.peers))

    def _record(
        self, name: str, message: usage_messages.InstanceUsage
    ) -> None:
        self._table.put(
            usage_messages.PeerUsage(
                name=name, callers=message.callers, usage=message.usage
            )
        )

    def _list_idle(self, asking: str) -> list[usage_messages.PeerUsage]:
        """Return idle peers in the region of the instance that asks."""
        member = self._roster.get(asking)
        if member is None:
            return []

        def is_in_region(name: str) -> bool:
            other = self._roster.get(name)
            return (
                other is not None
                and name != asking
                and other.region == member.region
            )

        def is_near(name: str) -> bool:
            if not is_in_region(name):
                return False
            other = self._roster.get(name)
            return other.failure_domain == member.failure_domain

        # Requests between failure domains take longer, and their bytes cost.
        return self._table.list_idle(is_near) or self._table.list_idle(
            is_in_region
        )
