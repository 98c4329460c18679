"""What entries and dispatchers tell one another.

An instance is both: as an entry it holds callers' requests, as a dispatcher
it owns the slots of some backend servers.
"""


class Want:
    """An entry's queue of one client account, as a count of requests.

    `age` is the oldest request's wait in seconds, `hint` the highest score
    of the client account that the entry heard of, `seen` the last grant that
    reached the entry from the dispatcher it tells, `estimate` what one of the
    requests may cost, in tokens, `prefer` the backend server that likely holds
    the oldest request's prompt prefix, and `running` how many of the client
    account's requests hold slots through this entry.
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

    It names no request: the entry picks which of the client account's
    requests goes, or returns the slot unused.
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
    """A slot returns; `pace` is seconds between tokens, zero if unknown."""

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

    `total` only grows, so that telling it twice is harmless; `base` is what
    the entry takes the dispatcher to know already; `running` and `seen` are
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
    """A slot that an entry holds, told to the server's present owner."""

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
    """What follows is all that the entry has: forget what it told before.

    Grants up to `seen` that are not told again have ended. `answers` is the
    number of the `Restate` that asked for it, or zero.
    """

    __slots__ = ('seen', 'answers')

    def __init__(self, *, seen: int, answers: int = 0) -> None:
        self.seen = seen
        self.answers = answers


class Restate:
    """A dispatcher asks an entry to tell everything again."""

    __slots__ = ('number',)

    def __init__(self, *, number: int) -> None:
        self.number = number


class Confirm:
    """The last grant that reached the entry."""

    __slots__ = ('seen',)

    def __init__(self, *, seen: int) -> None:
        self.seen = seen


class Digest:
    """One service at one dispatcher: its level, free slots and backlog."""

    __slots__ = ('service', 'level', 'free', 'backlog')

    def __init__(
        self, *, service: str, level: float, free: int, backlog: int
    ) -> None:
        self.service = service
        self.level = level
        self.free = free
        self.backlog = backlog


class Own:
    """A dispatcher took a backend server over, and asks who holds slots."""

    __slots__ = ('server',)

    def __init__(self, *, server: str) -> None:
        self.server = server
