"""Messages between instances on requests at backend servers, and demand."""

import typing


class PlaceAsk:
    """Asks a server's keeper for its load, and announces a request.

    `server` is the id of the server's name, `unread` the number of prompt
    tokens that the server likely has to read, `held` the tokens of the
    server's memory that the request takes.
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
    """A server's load as counted by its keeper, without the asking request.

    `ahead` is the number of prompt tokens to read before the request's own,
    `rate` the tokens that the server reads per second, `congestion` the
    seconds by which each running request delays a first event. `running` is
    the number of requests in progress from all instances, `held` the tokens of
    memory that they take. `admitted` is false while the server is ejected
    because its requests fail. `refused` is true if the server's memory has no
    room for the request; an older release never sets it.
    """

    __slots__ = (
        'number',
        'ahead',
        'rate',
        'congestion',
        'running',
        'held',
        'admitted',
        'refused',
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
        refused: bool = False,
    ) -> None:
        self.number = number
        self.ahead = ahead
        self.rate = rate
        self.congestion = congestion
        self.running = running
        self.held = held
        self.admitted = admitted
        self.refused = refused


class PlaceStarted:
    """The answer to an announced request began: its prompt is read."""

    __slots__ = ('number',)

    def __init__(self, *, number: int) -> None:
        self.number = number


class PlaceEnded:
    """A request ended; `number` is 0 if its keeper was not asked.

    `succeeded` and `failed` are both false if the end says nothing about the
    server's health. `held` are the tokens by which the sender's last
    `PlacesHeld` shrinks, if that message covers the request; else 0.
    """

    __slots__ = (
        'number',
        'server',
        'succeeded',
        'failed',
        'connected',
        'held',
    )

    def __init__(
        self,
        *,
        number: int,
        server: int,
        succeeded: bool,
        failed: bool,
        connected: bool,
        held: int = 0,
    ) -> None:
        self.number = number
        self.server = server
        self.succeeded = succeeded
        self.failed = failed
        self.connected = connected
        self.held = held


class PlacesHeld:
    """All requests of the sender at a server, for the server's new keeper.

    Replaces all that the sender announced for that server before. `running`
    is the number of requests, `held` the tokens of memory that they take.
    """

    __slots__ = ('server', 'running', 'held')

    def __init__(self, *, server: int, running: int, held: int) -> None:
        self.server = server
        self.running = running
        self.held = held


class ServerEjected:
    """A server's keeper ejected it because its requests fail."""

    __slots__ = ('server', 'seconds')

    def __init__(self, *, server: int, seconds: float) -> None:
        self.server = server
        self.seconds = seconds


class AccountDemand:
    """One client account's requested and granted tokens in the window.

    In a report, those of one instance; in a `DemandLevel`, the fleet's.
    """

    __slots__ = ('account', 'asked', 'granted', 'unhindered')

    def __init__(
        self,
        *,
        account: int,
        asked: float,
        granted: float,
        unhindered: float = 0.0,
    ) -> None:
        self.account = account
        self.asked = asked
        self.granted = granted
        self.unhindered = unhindered


class DemandReport:
    """One instance's window: all accounts with tokens in it.

    `servers` and `busy_servers` are samples of the servers that it keeps.
    """

    __slots__ = ('number', 'accounts', 'servers', 'busy_servers')

    def __init__(
        self,
        *,
        number: int,
        accounts: typing.Sequence[AccountDemand],
        servers: float = 0.0,
        busy_servers: float = 0.0,
    ) -> None:
        self.number = number
        self.accounts = accounts
        self.servers = servers
        self.busy_servers = busy_servers


class DemandLevel:
    """The fleet's max-min level of the window; no account is owed more.

    The answer to the report `number`. `level` is 0 for infinity, while all
    accounts get what they request. An account that was granted more than `cap`
    times the level leaves room to accounts that are short; 0 for infinity.
    `accounts` are those of the report, and those that were granted most.
    """

    __slots__ = ('number', 'level', 'cap', 'accounts')

    def __init__(
        self,
        *,
        number: int = 0,
        level: float,
        cap: float = 0.0,
        accounts: typing.Sequence[AccountDemand],
    ) -> None:
        self.number = number
        self.level = level
        self.cap = cap
        self.accounts = accounts
