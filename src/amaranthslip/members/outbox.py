"""Interface of the message transport that membership requires."""

import typing


class Outbox(typing.Protocol):
    """Sends messages to named members; `links.Links` is one."""

    def send(self, name: str, message: object) -> bool:
        """Queue a message; return False if it can't be queued."""

    def set_address(self, name: str, address: str) -> None:
        """Set the address of a new member, or a new address of a known one."""

    def remove_peer(self, name: str) -> None:
        """Close the connection to a member and drop its queued messages."""
