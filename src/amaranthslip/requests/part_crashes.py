"""Crashes of backend servers during requests with a part of a prompt."""

import typing

# Parts of one prompt that are examined.
MAX_PROMPT_PARTS = 64


class SentParts:
    """The shared parts of one request's prompt.

    Parameters
    ----------
    account : bytes
        Digest of the client account.
    digests : tuple of bytes
        Digests of the parts, in order.

    Attributes
    ----------
    sent_at : float
        Monotonic time of the latest try.
    is_trial : bool
        Whether the request is run although one of the parts is refused.
    """

    __slots__ = ('account', 'digests', 'sent_at', 'is_trial')

    def __init__(self, account: bytes, digests: tuple[bytes, ...]) -> None:
        self.account = account
        self.digests = digests
        self.sent_at = 0.0
        self.is_trial = False


class ServerCrash:
    """One crash of a backend server; each is represented by one object."""

    __slots__ = ('server', 'incarnation', 'crashed_at')

    def __init__(
        self, server: str, incarnation: int, crashed_at: float
    ) -> None:
        self.server = server
        self.incarnation = incarnation
        self.crashed_at = crashed_at


class PartCrash:
    """A crash during a request of one client account with one part.

    Parameters
    ----------
    server_crash : ServerCrash
        The crash.
    account : bytes
        Digest of the client account.
    sent_at : float
        Monotonic time at which the request was sent to the server.
    """

    __slots__ = ('server_crash', 'account', 'sent_at')

    def __init__(
        self, server_crash: ServerCrash, account: bytes, sent_at: float
    ) -> None:
        self.server_crash = server_crash
        self.account = account
        self.sent_at = sent_at


def count_servers(
    crashes: typing.Iterable[PartCrash], account: bytes | None = None
) -> int:
    """Return how many server crashes hit requests, or those of an account."""
    return len(
        {
            each.server_crash
            for each in crashes
            if account in (None, each.account)
        }
    )
