"""Messages between instances about the turns of refused requests."""


class TurnKept:
    """A refused request was told when to return, and gets a turn.

    `fingerprint` identifies the request and `account` (hash of the name) its
    client account. The turn is due `due_ms` milliseconds after the message,
    and `tokens` is the cost of the request in tokens of engine throughput.
    """

    __slots__ = ('fingerprint', 'account', 'due_ms', 'tokens')

    def __init__(
        self, *, fingerprint: bytes, account: int, due_ms: int, tokens: int
    ) -> None:
        self.fingerprint = fingerprint
        self.account = account
        self.due_ms = due_ms
        self.tokens = tokens


class TurnAsk:
    """The question whether a request that would be refused has a turn.

    `number` identifies the ask at its sender. A turn that is due is used up
    by the ask.
    """

    __slots__ = ('number', 'fingerprint', 'account')

    def __init__(
        self, *, number: int, fingerprint: bytes, account: int
    ) -> None:
        self.number = number
        self.fingerprint = fingerprint
        self.account = account


class TurnAnswer:
    """The answer to a `TurnAsk`.

    `due` tells that the request has a turn that is due, `kept` that it has
    one that is not due yet. `due_ms` is the time until that turn is due; for
    a request without a turn it is the time until one could be, 0 if none can
    be kept. `waited_ms` is the time since the turn was kept.
    """

    __slots__ = ('number', 'due', 'kept', 'due_ms', 'waited_ms')

    def __init__(
        self,
        *,
        number: int,
        due: bool,
        kept: bool,
        due_ms: int,
        waited_ms: int,
    ) -> None:
        self.number = number
        self.due = due
        self.kept = kept
        self.due_ms = due_ms
        self.waited_ms = waited_ms
