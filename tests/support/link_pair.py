"""Instances' links on loopback, with what they received."""

import contextlib
import typing

import gevent

from amaranthslip.links import links
from amaranthslip.members import members
from amaranthslip import metrics
from tests.support import member_settings

_PATIENCE_SECONDS = 30.0


def wait_for(condition: typing.Callable[[], object], what: str) -> None:
    """Wait until a condition holds; fail with what was awaited."""
    with gevent.Timeout(_PATIENCE_SECONDS, AssertionError(what)):
        while not condition():
            gevent.sleep(0.01)


class LinkEnd:
    """One instance's links, and a record of what came in."""

    def __init__(self, name: str, **sections: dict[str, typing.Any]) -> None:
        self.name = name
        self.got: list[tuple[str, object]] = []
        self.first: list[object] = []
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
            on_connect=lambda peer: list(self.first),
        )
        self.links.start()

    def _receive(self, sender: str, message: object) -> None:
        if getattr(message, 'number', None) == self.fail_on is not None:
            raise RuntimeError('a part fails over this message')
        self.got.append((sender, message))

    def read_numbers(self, sender: str) -> list[int]:
        """Return the numbers received from a sender; 0 for each Hello."""
        return [
            getattr(message, 'number', 0)
            for name, message in self.got
            if name == sender
        ]

    def know(self, other: 'LinkEnd', *, address: str = '') -> None:
        self.links.set_address(other.name, address or other.links.address)


def open_end(
    stack: contextlib.ExitStack, name: str, **sections: dict[str, typing.Any]
) -> LinkEnd:
    end = LinkEnd(name, **sections)
    stack.callback(end.links.close)
    return end
