"""What members tell one another about who is alive."""

import typing


class Hello:
    """The first message of every connection: who dialled."""

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
    """One member's state as the teller believes it."""

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
    """Asks a peer for a sign of life, and passes news along.

    `wants_roster` asks for news of every member in the answer: the sender
    has just started, or slept.
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
    """The sign of life that a probe asked for.

    `target` names the probed member when another one asked on behalf of
    the prober, and is empty otherwise.
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
    """Asks a peer to probe a third member, which did not answer here."""

    __slots__ = ('number', 'target')

    def __init__(self, *, number: int, target: str) -> None:
        self.number = number
        self.target = target
