"""What instances tell one another of their sends, and of their freshness."""

import typing


class ServerActivity:
    """One instance's doings at one backend server.

    `server` is its name's number. `read`, `succeeded` and `failed` only
    grow; `running` and `held` are as of now.
    """

    __slots__ = ('server', 'read', 'running', 'held', 'succeeded', 'failed')

    def __init__(
        self,
        *,
        server: int,
        read: float,
        running: int,
        held: int,
        succeeded: int,
        failed: int,
    ) -> None:
        self.server = server
        self.read = read
        self.running = running
        self.held = held
        self.succeeded = succeeded
        self.failed = failed


class AccountActivity:
    """What a client account asked one instance for, and got; only grows."""

    __slots__ = ('account', 'asked', 'granted')

    def __init__(self, *, account: int, asked: float, granted: float) -> None:
        self.account = account
        self.asked = asked
        self.granted = granted


class Activity:
    """What changed since the last message to this peer.

    Parameters
    ----------
    stamp : int
        The sender's clock, in milliseconds; only the sender reads it again.
    echo : int
        The receiver's newest stamp that the sender had when it last knew
        that `version` was the newest; 0: none.
    version : int
        The configuration in force at the sender.
    servers, accounts
        What changed; all of it from time to time.
    """

    __slots__ = ('stamp', 'echo', 'version', 'servers', 'accounts')

    def __init__(
        self,
        *,
        stamp: int,
        echo: int,
        version: int,
        servers: typing.Sequence[ServerActivity] = (),
        accounts: typing.Sequence[AccountActivity] = (),
    ) -> None:
        self.stamp = stamp
        self.echo = echo
        self.version = version
        self.servers = servers
        self.accounts = accounts
