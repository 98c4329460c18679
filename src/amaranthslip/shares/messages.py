"""Messages between entries and dispatchers.

Every instance has both roles: as an entry it holds callers' requests, as a
dispatcher it owns the slots of some backend servers.
"""


class Want:
    """The number of requests of a client account that wait at an entry.

    `age` is the oldest request's wait in seconds, `hint` the highest score
    of the client account that the entry received, `seen` the id of the last
    grant that the entry received from the addressed dispatcher, `estimate`
    the expected cost of one request in tokens, `prefer` the backend server
    that likely caches the oldest request's prompt prefix, and `running` the
    number of the client account's requests that hold slots through this
    entry.
    """

    __slots__ = (
        'service',
        'client_account',
        'count',
        'age',
        'hint',
        'seen',
        'estimate',
        'prefer',
        'running',
    )

    def __init__(
        self,
        *,
        service: str,
        client_account: str,
        count: int,
        age: float = 0.0,
        hint: float = 0.0,
        seen: int = 0,
        estimate: float = 0.0,
        prefer: str = '',
        running: int = 0,
    ) -> None:
        self.service = service
        self.client_account = client_account
        self.count = count
        self.age = age
        self.hint = hint
        self.seen = seen
        self.estimate = estimate
        self.prefer = prefer
        self.running = running


class SlotGrant:
    """The right to one slot of a backend server, for one client account.

    A grant names no request. The entry selects one of the client account's
    requests for the slot, or returns the slot unused.
    """

    __slots__ = ('id', 'service', 'client_account', 'server', 'score')

    def __init__(
        self,
        *,
        id: int,
        service: str,
        client_account: str,
        server: str,
        score: float,
    ) -> None:
        self.id = id
        self.service = service
        self.client_account = client_account
        self.server = server
        self.score = score


class Finish:
    """The return of a slot.

    `pace` is the mean time between tokens in seconds, zero if unknown.
    """

    __slots__ = ('id', 'outcome', 'pace', 'seen')

    def __init__(
        self, *, id: int, outcome: int, pace: float = 0.0, seen: int = 0
    ) -> None:
        self.id = id
        self.outcome = outcome
        self.pace = pace
        self.seen = seen


class Charge:
    """Service that an entry delivered to a client account since it started.

    `total` only grows, so that a repeated message has no effect. `base` is
    the total that the entry last reported to the dispatcher; a dispatcher
    without a record of the entry counts from there. `running` and `seen` are
    as in `Want`.
    """

    __slots__ = (
        'service',
        'client_account',
        'total',
        'base',
        'hint',
        'running',
        'seen',
    )

    def __init__(
        self,
        *,
        service: str,
        client_account: str,
        total: float,
        base: float,
        hint: float = 0.0,
        running: int = 0,
        seen: int = 0,
    ) -> None:
        self.service = service
        self.client_account = client_account
        self.total = total
        self.base = base
        self.hint = hint
        self.running = running
        self.seen = seen


class Held:
    """A slot that an entry holds, reported to the server's current owner."""

    __slots__ = ('id', 'service', 'client_account', 'server', 'estimate')

    def __init__(
        self,
        *,
        id: int,
        service: str,
        client_account: str,
        server: str,
        estimate: float,
    ) -> None:
        self.id = id
        self.service = service
        self.client_account = client_account
        self.server = server
        self.estimate = estimate


class Reset:
    """The start of an entry's complete state, which replaces earlier reports.

    Grants up to id `seen` that the entry does not report again have ended.
    `answers` is the number of the `Restate` that requested the state, or
    zero.
    """

    __slots__ = ('seen', 'answers')

    def __init__(self, *, seen: int, answers: int = 0) -> None:
        self.seen = seen
        self.answers = answers


class Restate:
    """A dispatcher's request that an entry resend its complete state."""

    __slots__ = ('number',)

    def __init__(self, *, number: int) -> None:
        self.number = number


class Confirm:
    """The id of the last grant that the entry received."""

    __slots__ = ('seen',)

    def __init__(self, *, seen: int) -> None:
        self.seen = seen


class Digest:
    """The state of one service at one dispatcher.

    `level` is the lowest score of the backlogged accounts, `free` the number
    of free slots and `backlog` the number of waiting requests.
    """

    __slots__ = ('service', 'level', 'free', 'backlog')

    def __init__(
        self, *, service: str, level: float, free: int, backlog: int
    ) -> None:
        self.service = service
        self.level = level
        self.free = free
        self.backlog = backlog


class Own:
    """A new owner's request to report the slots held at a backend server."""

    __slots__ = ('server',)

    def __init__(self, *, server: str) -> None:
        self.server = server
