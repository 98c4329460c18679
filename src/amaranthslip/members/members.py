"""One member of the fleet, as the others know it."""

import enum
import time

from amaranthslip.members import incarnations
from amaranthslip import settings as settings_module


class MemberState(enum.IntEnum):
    """What the fleet believes of a member; a higher one overrules."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member:
    """An instance's name, address, place and incarnation.

    The incarnation is drawn anew at each start, from the clock, so that a
    restart shows; a member raises it to refute a suspicion.
    """

    __slots__ = (
        'name',
        'incarnation',
        'address',
        'failure_domain',
        'region',
        'state',
    )

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        address: str,
        failure_domain: str,
        region: str,
        state: MemberState = MemberState.ALIVE,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.address = address
        self.failure_domain = failure_domain
        self.region = region
        self.state = state

    def describe(self) -> dict[str, str]:
        """Return what operators are shown of it, as values for JSON."""
        return {
            'name': self.name,
            'address': self.address,
            'failure_domain': self.failure_domain,
            'region': self.region,
            'state': self.state.name.lower(),
        }


def build_own(settings: settings_module.Settings) -> Member:
    """Return this instance as a member, with an incarnation of its own."""
    return Member(
        name=settings.instance.name,
        incarnation=incarnations.draw(time.time()),
        address=settings.addresses.peers,
        failure_domain=settings.instance.failure_domain,
        region=settings.instance.region,
    )
