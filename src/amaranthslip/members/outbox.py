"""What membership needs of whatever carries its messages."""

import typing


class Outbox(typing.Protocol):
    """Sends messages to named members; `links.Links` is one."""

    def send(self, name: str, message: object) -> bool:
        """Queue a message; False where that can't be done."""

    def set_address(self, name: str, address: str) -> None:
        """Make a member known, or where it has moved to."""

    def forget(self, name: str) -> None:
        """Drop the connection to a member, and what waits for it."""
