"""Messages of the membership protocol."""

import typing


class Hello:
    """First message of every connection, which identifies its initiator."""

    __slots__ = (
        'name',
        'incarnation',
        'address',
        'failure_domain',
        'region',
    )

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        address: str,
        failure_domain: str,
        region: str,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.address = address
        self.failure_domain = failure_domain
        self.region = region


class News:
    """State of one member, as known to the sender of the message."""

    __slots__ = (
        'name',
        'incarnation',
        'address',
        'failure_domain',
        'region',
        'state',
    )

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        address: str,
        failure_domain: str,
        region: str,
        state: int,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.address = address
        self.failure_domain = failure_domain
        self.region = region
        self.state = state


class Probe:
    """Liveness probe of a peer, with gossip attached.

    `wants_roster` requests news of every member in the answer. A member sets
    it after its start, after a long pause, or while it knows no live peer.
    """

    __slots__ = ('number', 'news', 'config_version', 'wants_roster')

    def __init__(
        self,
        *,
        number: int,
        news: typing.Sequence[News] = (),
        config_version: int = 0,
        wants_roster: bool = False,
    ) -> None:
        self.number = number
        self.news = news
        self.config_version = config_version
        self.wants_roster = wants_roster


class ProbeAnswer:
    """Answer to a probe.

    For an indirect probe, `target` is the name of the member that answered;
    the answer was relayed to the prober by another member. Otherwise `target`
    is empty.
    """

    __slots__ = ('number', 'target', 'news', 'config_version')

    def __init__(
        self,
        *,
        number: int,
        target: str = '',
        news: typing.Sequence[News] = (),
        config_version: int = 0,
    ) -> None:
        self.number = number
        self.target = target
        self.news = news
        self.config_version = config_version


class ProbeRequest:
    """Requests an indirect probe of a member that did not answer directly."""

    __slots__ = ('number', 'target')

    def __init__(self, *, number: int, target: str) -> None:
        self.number = number
        self.target = target
