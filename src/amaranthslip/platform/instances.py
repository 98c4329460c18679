"""The client of the platform's list of instances, which lags."""

import json
import typing

from amaranthslip import errors
from amaranthslip.members import members
from amaranthslip import metrics
from amaranthslip.platform import connections
from amaranthslip import settings


class ListedInstance:
    """An instance as the platform's list has it."""

    __slots__ = ('name', 'address', 'failure_domain', 'region', 'leaving')

    def __init__(
        self,
        *,
        name: str,
        address: str,
        failure_domain: str,
        region: str,
        leaving: bool = False,
    ) -> None:
        self.name = name
        self.address = address
        self.failure_domain = failure_domain
        self.region = region
        self.leaving = leaving

    @property
    def state(self) -> members.MemberState:
        """What the list says of it, in the members' words."""
        if self.leaving:
            return members.MemberState.LEAVING
        return members.MemberState.ALIVE


class InstanceList:
    """Reads the list at `settings.platform.instance_list`."""

    __slots__ = ('_connections', '_metrics')

    def __init__(
        self, settings_: settings.Settings, metrics_: metrics.Metrics
    ) -> None:
        self._metrics = metrics_
        self._connections = connections.Connections(
            settings_.platform.instance_list,
            timeout_seconds=settings_.platform.timeout_seconds,
        )

    def __enter__(self) -> 'InstanceList':
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def close(self) -> None:
        """Close the idle connections."""
        self._connections.close()

    def read(self) -> list[ListedInstance]:
        """Return the list as the platform shows it now.

        Raises
        ------
        PlatformUnavailable
            No usable answer: go on with what is known.
        """
        self._metrics.count('platform_calls', 'instances')
        try:
            answer = self._connections.call('GET', '')
            if answer.status != 200:
                raise ValueError(f'status {answer.status}')
            listed = json.loads(answer.body)['instances']
            return [_read_instance(each) for each in listed]
        except (
            connections.NeverSent,
            connections.MaybeSent,
            ValueError,
            KeyError,
            TypeError,
        ) as error:
            self._metrics.count('platform_failures', 'instances')
            raise errors.PlatformUnavailable(
                f'instance list: {error}; the instances known so far stay '
                'in use until it can be read'
            ) from None


def _read_instance(values: dict[str, typing.Any]) -> ListedInstance:
    return ListedInstance(
        name=str(values['name']),
        address=str(values['address']),
        failure_domain=str(values['failure_domain']),
        region=str(values['region']),
        leaving=bool(values.get('leaving', False)),
    )
