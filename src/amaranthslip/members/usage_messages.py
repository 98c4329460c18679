"""Messages between instances about their processor usage."""

import typing


class InstanceUsage:
    """What an instance reports to the aggregating one.

    `callers` is the address at which it serves callers, `usage` the fraction
    of the time that its event loop is at work, and `needs_peers` whether it
    asks for instances that take its requests.
    """

    __slots__ = ('callers', 'usage', 'needs_peers')

    def __init__(
        self, *, callers: str, usage: float, needs_peers: bool
    ) -> None:
        self.callers = callers
        self.usage = usage
        self.needs_peers = needs_peers


class PeerUsage:
    """An instance that can take requests of others; see `InstanceUsage`."""

    __slots__ = ('name', 'callers', 'usage')

    def __init__(self, *, name: str, callers: str, usage: float) -> None:
        self.name = name
        self.callers = callers
        self.usage = usage


class IdlePeers:
    """The answer to a report that asks for peers."""

    __slots__ = ('peers',)

    def __init__(self, *, peers: typing.Sequence[PeerUsage]) -> None:
        self.peers = peers
