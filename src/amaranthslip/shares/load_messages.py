"""Messages between instances on requests at backend servers, and demand."""

import typing

from amaranthslip.capacity import estimates
from amaranthslip.shares import answer_times


class PlaceAsk:
    """Asks a server's keeper for its load, and announces a request.

    `server` is the id of the server's name, `unread` the number of prompt
    tokens that the server likely has to read, `held` the tokens of the
    server's memory that the request takes. `uncertain` is the number of shared
    prompt tokens of which it is not known whether the server has them in its
    cache.

    A plain request states its `shares.terms.Terms`; for other requests these
    are 0. `placed` is true if the request is sent whatever the answer is,
    `waits` if it may wait for a place.
    """

    __slots__ = (
        'number',
        'server',
        'unread',
        'held',
        'uncertain',
        'usual_seconds',
        'queue_seconds',
        'left_seconds',
        'placed',
        'waits',
    )

    def __init__(
        self,
        *,
        number: int,
        server: int,
        unread: float,
        held: int,
        uncertain: float = 0.0,
        usual_seconds: float = 0.0,
        queue_seconds: float = 0.0,
        left_seconds: float = 0.0,
        placed: bool = False,
        waits: bool = False,
    ) -> None:
        self.uncertain = uncertain
        self.number = number
        self.server = server
        self.unread = unread
        self.held = held
        self.usual_seconds = usual_seconds
        self.queue_seconds = queue_seconds
        self.left_seconds = left_seconds
        self.placed = placed
        self.waits = waits


class PlaceAnswer:
    """A server's load as counted by its keeper, without the asking request.

    `ahead` is the number of prompt tokens to read before the request's own,
    `rate` the tokens that the server reads per second, `congestion` the
    seconds by which each running request delays a first event. `running` is
    the number of requests in progress from all instances, `held` the tokens of
    memory that they take. `admitted` is false while the server is ejected
    because its requests fail. `slowdown` is the factor by which work takes
    longer there than on average at this moment; 0 if it is not known.

    For a plain request, `limit` is the number of requests that the server may
    get at once, `seconds` the time in which the request would be answered,
    and `waits` is true if the request waits for a place; a second answer
    follows. `refused` is true if a plain request must not be sent to the
    server, and isn't counted, or if an engine's memory has no room for a
    prompt. An older release never sets it.
    """

    __slots__ = (
        'number',
        'ahead',
        'rate',
        'congestion',
        'running',
        'held',
        'admitted',
        'slowdown',
        'limit',
        'seconds',
        'refused',
        'waits',
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
        slowdown: float = 0.0,
        limit: int = 0,
        seconds: float = 0.0,
        refused: bool = False,
        waits: bool = False,
    ) -> None:
        self.number = number
        self.ahead = ahead
        self.rate = rate
        self.congestion = congestion
        self.running = running
        self.held = held
        self.admitted = admitted
        self.slowdown = slowdown
        self.limit = limit
        self.seconds = seconds
        self.refused = refused
        self.waits = waits


class PlaceStarted:
    """The answer to an announced request began: its prompt is read.

    `running`, `waiting`, `slots` and `slowdown` are the server's report of its
    load (`ReportedLoad`). `slots` is 0 if the answer had none, and `slowdown`
    is 0 if the report has none.
    """

    __slots__ = ('number', 'running', 'waiting', 'slots', 'slowdown')

    def __init__(
        self,
        *,
        number: int,
        running: int = 0,
        waiting: int = 0,
        slots: int = 0,
        slowdown: float = 0.0,
    ) -> None:
        self.number = number
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.slowdown = slowdown

    def read_load(self) -> estimates.ReportedLoad | None:
        """Return the server's report; None if there is none."""
        if not self.slots:
            return None
        return estimates.ReportedLoad(
            running=self.running,
            waiting=self.waiting,
            slots=self.slots,
            slowdown=self.slowdown or None,
        )


def build_started(
    number: int, load: estimates.ReportedLoad | None
) -> PlaceStarted:
    """Return the message for an answer that began, with its report."""
    if load is None:
        return PlaceStarted(number=number)
    return PlaceStarted(
        number=number,
        running=load.running,
        waiting=load.waiting,
        slots=load.slots,
        slowdown=load.slowdown or 0.0,
    )


class PlaceEnded:
    """A request ended; `number` is 0 if its keeper was not asked.

    `succeeded` and `failed` are both false if the end says nothing about the
    server's health.

    The other fields are 0 unless the capacity of the server is learnt and the
    answer was complete. `began_running` is the number of requests in progress
    when it began, with it, as its sender knew. A plain answer has `seconds`,
    its duration, and `usual`, the mean of such requests at all servers. A
    stream has `pause` and `allowed_pause`, the longest time between its events
    and the longest that its route allows, in seconds. `rejected` is true if
    the server rejected a plain request as full.

    `held` are the tokens by which the sender's last `PlacesHeld` shrinks, if
    that message covers the request; else 0.
    """

    __slots__ = (
        'number',
        'server',
        'succeeded',
        'failed',
        'connected',
        'began_running',
        'seconds',
        'usual',
        'pause',
        'allowed_pause',
        'rejected',
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
        began_running: int = 0,
        seconds: float = 0.0,
        usual: float = 0.0,
        pause: float = 0.0,
        allowed_pause: float = 0.0,
        rejected: bool = False,
        held: int = 0,
    ) -> None:
        self.number = number
        self.server = server
        self.succeeded = succeeded
        self.failed = failed
        self.connected = connected
        self.began_running = began_running
        self.seconds = seconds
        self.usual = usual
        self.pause = pause
        self.allowed_pause = allowed_pause
        self.rejected = rejected
        self.held = held

    def set_times(self, times: answer_times.AnswerTimes) -> None:
        """Add the times of the answer."""
        self.began_running = times.running
        self.seconds = times.seconds
        self.usual = times.usual
        self.pause = times.pause
        self.allowed_pause = times.allowed_pause

    def read_times(self) -> answer_times.AnswerTimes | None:
        """Return the times of the answer; None if there are none."""
        if not self.began_running:
            return None
        return answer_times.AnswerTimes(
            running=self.began_running,
            seconds=self.seconds,
            usual=self.usual,
            pause=self.pause,
            allowed_pause=self.allowed_pause,
        )


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

    __slots__ = ('account', 'asked', 'granted')

    def __init__(
        self,
        *,
        account: int,
        asked: float,
        granted: float,
    ) -> None:
        self.account = account
        self.asked = asked
        self.granted = granted


class ServerState:
    """What a server's keeper knows of it.

    `server` is the hash of its name. `rate` (tokens a second) and `congestion`
    (seconds) are those of an engine, `seconds` is the time of a usual answer
    of a plain server, relative to the usual; 0 for servers of the other kind.
    `limit` is the number of requests to run at once, `running` the number in
    progress, `held` the tokens of memory that they take, and `backlog` the
    prompt tokens to read. `age_ms` is the age of the latest answer, at most
    10,000 ms.
    """

    __slots__ = (
        'server',
        'incarnation',
        'rate',
        'congestion',
        'limit',
        'seconds',
        'running',
        'held',
        'backlog',
        'age_ms',
    )

    def __init__(
        self,
        *,
        server: int,
        incarnation: int,
        rate: float,
        congestion: float,
        limit: int,
        seconds: float,
        running: int,
        held: int,
        backlog: float,
        age_ms: int,
    ) -> None:
        self.server = server
        self.incarnation = incarnation
        self.rate = rate
        self.congestion = congestion
        self.limit = limit
        self.seconds = seconds
        self.running = running
        self.held = held
        self.backlog = backlog
        self.age_ms = age_ms


class DemandReport:
    """One instance's window: all accounts with tokens in it.

    `servers` and `busy_servers` are samples of the servers that it keeps,
    `estimates` those of some of them whose capacity is learnt.
    """

    __slots__ = ('number', 'accounts', 'servers', 'busy_servers', 'estimates')

    def __init__(
        self,
        *,
        number: int,
        accounts: typing.Sequence[AccountDemand],
        servers: float = 0.0,
        busy_servers: float = 0.0,
        estimates: typing.Sequence[ServerState] = (),
    ) -> None:
        self.estimates = estimates
        self.number = number
        self.accounts = accounts
        self.servers = servers
        self.busy_servers = busy_servers


class DemandLevel:
    """The fleet's max-min level of the window, by which accounts are compared.

    The answer to the report `number`. `level` is 0 for infinity, without
    contention.
    `accounts` are those of the report, and those that were granted most.
    `estimates` are those of some servers of the fleet.
    """

    __slots__ = (
        'number',
        'level',
        'accounts',
        'estimates',
    )

    def __init__(
        self,
        *,
        number: int = 0,
        level: float,
        accounts: typing.Sequence[AccountDemand],
        estimates: typing.Sequence[ServerState] = (),
    ) -> None:
        self.estimates = estimates
        self.number = number
        self.level = level
        self.accounts = accounts
