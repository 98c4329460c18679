"""Links of instances on loopback, with a record of received messages."""

import contextlib
import typing

import gevent

from amaranthslip.links import links
from amaranthslip.members import members
from amaranthslip import metrics
from tests.support import member_settings

_WAIT_TIMEOUT_SECONDS = 30.0


def wait_for(condition: typing.Callable[[], object], awaited: str) -> None:
    """Wait until a condition holds; on a timeout, fail with `awaited`."""
    with gevent.Timeout(_WAIT_TIMEOUT_SECONDS, AssertionError(awaited)):
        while not condition():
            gevent.sleep(0.01)


class LinkEnd:
    """Links of one instance, with a record of received messages."""

    def __init__(self, name: str, **sections: dict[str, typing.Any]) -> None:
        self.name = name
        self.received: list[tuple[str, object]] = []
        self.initial_messages: list[object] = []
        self.fail_on: int | None = None
        self.metrics = metrics.Metrics()
        self.settings = member_settings.build(name, **sections)
        self.member = members.Member(
            name=name,
            incarnation=1,
            address='',
            failure_domain='poa-a',
            region='rs-sul',
        )
        self.links = links.Links(
            self.settings,
            self.metrics,
            self.member,
            self._receive,
            on_connect=lambda peer: list(self.initial_messages),
        )
        self.links.start()

    def _receive(self, sender: str, message: object) -> None:
        if getattr(message, 'number', None) == self.fail_on is not None:
            raise RuntimeError('the message handler fails on this message')
        self.received.append((sender, message))

    def read_numbers(self, sender: str) -> list[int]:
        """Return the message numbers from a sender, with 0 for each Hello."""
        return [
            getattr(message, 'number', 0)
            for name, message in self.received
            if name == sender
        ]

    def add_peer(self, other: 'LinkEnd', *, address: str = '') -> None:
        self.links.set_address(other.name, address or other.links.address)


def open_end(
    stack: contextlib.ExitStack, name: str, **sections: dict[str, typing.Any]
) -> LinkEnd:
    end = LinkEnd(name, **sections)
    stack.callback(end.links.close)
    return end
