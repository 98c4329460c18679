"""The plain services that `bench.plain_load` simulates."""

import typing

from amaranthslip.configuration import document
from amaranthslip.configuration import routes

SERVICE = 'plain'
SLOTS = 6
# Work on a busy machine takes so many times as long; machines that others use
# are busy for this fraction of the time.
BUSY_FACTOR = 2.5
_BUSY_FRACTION = 0.15


class Deployment:
    """The sizes and objectives of one deployment."""

    __slots__ = (
        'instances',
        'servers',
        'work_seconds',
        'speeds',
        'busy_fraction',
        'objective',
        'timeout',
    )

    def __init__(
        self,
        *,
        instances: int,
        servers: int,
        work_seconds: float,
        speeds: typing.Sequence[float],
        busy_fraction: float,
        objective: float,
        timeout: float,
    ) -> None:
        self.instances = instances
        self.servers = servers
        self.work_seconds = work_seconds
        # Factors of the time that work takes, for each server.
        self.speeds = speeds
        self.busy_fraction = busy_fraction
        self.objective = objective
        self.timeout = timeout

    @property
    def capacity(self) -> float:
        """Requests per second that all servers answer together."""
        busy = 1.0 + self.busy_fraction * (BUSY_FACTOR - 1.0)
        return sum(
            SLOTS / (self.work_seconds * speed * busy) for speed in self.speeds
        )


DEPLOYMENTS = {
    'first': Deployment(
        instances=88,
        servers=3,
        work_seconds=0.0225,
        speeds=(1.0, 1.0, 1.0),
        busy_fraction=0.0,
        objective=0.145,
        timeout=1.5,
    ),
    'second': Deployment(
        instances=59,
        servers=4,
        work_seconds=0.09,
        speeds=(0.6, 1.0, 1.0, 1.6),
        busy_fraction=_BUSY_FRACTION,
        objective=0.4,
        timeout=3.0,
    ),
}


def build_server(number: int) -> document.ListedServer:
    """Return the directory entry of a server."""
    return document.ListedServer(
        name=f'plain-{number}',
        service=SERVICE,
        address=f'127.0.0.1:{number + 1}',
        failure_domain='a',
        slots=SLOTS,
        leaving=False,
        incarnation=2,
    )


def build_document() -> document.Document:
    """Return a configuration with the service."""
    return document.Document(
        version=1,
        services=[
            document.OperatedService(
                name=SERVICE, kind=document.ServiceKind.PLAIN
            )
        ],
        client_accounts=[document.ClientAccount(name='a')],
    )


def build_route(deployment: Deployment) -> routes.Route:
    """Return the route of all requests."""
    return routes.Route(
        name='plain',
        host='h',
        prefix='/plain/',
        kind=routes.RouteKind.NON_IDEMPOTENT,
        destinations=[routes.Destination(service=SERVICE, weight=1.0)],
        timeout_seconds=deployment.timeout,
        objective_seconds=deployment.objective,
    )
