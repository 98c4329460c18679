"""One member of the fleet and its state."""

import enum
import time

from amaranthslip.members import incarnations
from amaranthslip import settings as settings_module


class MemberState(enum.IntEnum):
    """State of a member; at equal incarnations the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member:
    """Name, address, location, incarnation and state of one instance.

    Each start derives a new incarnation from the clock, so that peers detect
    a restart. A member raises its incarnation to refute a suspicion.
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
        """Return the fields shown to operators, as values for JSON."""
        return {
            'name': self.name,
            'address': self.address,
            'failure_domain': self.failure_domain,
            'region': self.region,
            'state': self.state.name.lower(),
        }


def build_own(settings: settings_module.Settings) -> Member:
    """Return this instance as a member, with a new incarnation."""
    return Member(
        name=settings.instance.name,
        incarnation=incarnations.create(time.time()),
        address=settings.addresses.peers,
        failure_domain=settings.instance.failure_domain,
        region=settings.instance.region,
    )
