"""What instances tell one another of requests at backend servers."""

import typing


class PlaceAsk:
    """A request is about to go to a server that the receiver keeps.

    `server` is its name's number, `unread` the prompt tokens that it likely
    has to read, `held` the tokens of memory that the request takes.
    """

    __slots__ = ('number', 'server', 'unread', 'held')

    def __init__(
        self, *, number: int, server: int, unread: float, held: int
    ) -> None:
        self.number = number
        self.server = server
        self.unread = unread
        self.held = held


class PlaceAnswer:
    """What stands before a request, in the view of the server's keeper.

    `ahead` are prompt tokens to read before its own, `rate` how many the
    server reads a second, `congestion` the seconds by which each running
    request holds a first event up, `running` and `held` what all instances
    have in progress there without it. `admitted` is false while the server is
    out because its answers fail.
    """

    __slots__ = (
        'number',
        'ahead',
        'rate',
        'congestion',
        'running',
        'held',
        'admitted',
    )

    def __init__(
        self,
        *,
        number: int,
        ahead: float,
        rate: float,
        congestion: float,
        running: int,
        held: int,
        admitted: bool,
    ) -> None:
        self.number = number
        self.ahead = ahead
        self.rate = rate
        self.congestion = congestion
        self.running = running
        self.held = held
        self.admitted = admitted


class PlaceStarted:
    """The answer to an asked request has begun: its prompt is read."""

    __slots__ = ('number',)

    def __init__(self, *, number: int) -> None:
        self.number = number


class PlaceEnded:
    """A request ended; `number` 0: it had not been asked for.

    `succeeded` and `failed` say how, if it tells of the server.
    """

    __slots__ = ('number', 'server', 'succeeded', 'failed', 'connected')

    def __init__(
        self,
        *,
        number: int,
        server: int,
        succeeded: bool,
        failed: bool,
        connected: bool,
    ) -> None:
        self.number = number
        self.server = server
        self.succeeded = succeeded
        self.failed = failed
        self.connected = connected


class ServerEjected:
    """A server's keeper found that its answers fail."""

    __slots__ = ('server', 'seconds')

    def __init__(self, *, server: int, seconds: float) -> None:
        self.server = server
        self.seconds = seconds


class AccountDemand:
    """What one client account asked one instance for, and got, so far.

    In tokens, since the start of the process; it only grows.
    """

    __slots__ = ('account', 'asked', 'granted')

    def __init__(self, *, account: int, asked: float, granted: float) -> None:
        self.account = account
        self.asked = asked
        self.granted = granted


class DemandReport:
    """The demand of accounts that changed since the last report."""

    __slots__ = ('accounts',)

    def __init__(self, *, accounts: typing.Sequence[AccountDemand]) -> None:
        self.accounts = accounts


class DemandLevel:
    """The fair share above which nobody is owed more, in the window.

    `level` is infinite, told as 0, while all get what they ask for.
    """

    __slots__ = ('level', 'accounts')

    def __init__(
        self, *, level: float, accounts: typing.Sequence[AccountDemand]
    ) -> None:
        self.level = level
        self.accounts = accounts
