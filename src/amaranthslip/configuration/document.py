"""The configuration document: the operators' settings as plain objects."""

import typing

from amaranthslip.configuration import routes as routes_


class ServiceKind:
    """The two kinds of service."""

    MODEL = 'model'
    PLAIN = 'plain'


class FailureDomain:
    """A zone whose instances and backend servers can fail together."""

    __slots__ = ('name', 'region')

    def __init__(self, *, name: str, region: str) -> None:
        self.name = name
        self.region = region


class Service:
    """A set of backend servers that serve the same requests.

    `prompt_weight` is the cost of one prompt token, in generated tokens.
    """

    __slots__ = ('name', 'kind', 'prompt_weight')

    def __init__(
        self,
        *,
        name: str,
        kind: str = ServiceKind.MODEL,
        prompt_weight: float = 1.0,
    ) -> None:
        self.name = name
        self.kind = kind
        self.prompt_weight = prompt_weight


class OperatedService(Service):
    """A service as described by a platform's operator.

    `cache_tokens` is the number of tokens that fit into the memory of one
    engine, for running requests and cached prompts together; 0 if unknown.
    `cold_start_seconds` is the time for which a server is cold after its
    start. While it is cold, it tolerates `cold_rate` requests per second from
    all instances together; 0 if the number is not limited. `max_connections`
    is the number of connections that one server accepts from all instances
    together; 0 if unknown.
    """

    __slots__ = (
        'cache_tokens',
        'cold_start_seconds',
        'cold_rate',
        'max_connections',
    )

    def __init__(
        self,
        *,
        name: str,
        kind: str,
        cache_tokens: int = 0,
        cold_start_seconds: float = 0.0,
        cold_rate: float = 0.0,
        max_connections: int = 0,
    ) -> None:
        super().__init__(name=name, kind=kind)
        self.cache_tokens = cache_tokens
        self.cold_start_seconds = cold_start_seconds
        self.cold_rate = cold_rate
        self.max_connections = max_connections


class BackendServer:
    """One engine or plain server.

    `slots` is the maximum number of concurrent requests.
    """

    # Servers that do not register themselves have no incarnation number.
    incarnation = 0
    registers_start = False

    __slots__ = (
        'name',
        'service',
        'address',
        'failure_domain',
        'slots',
        'leaving',
        'checks_fencing',
    )

    def __init__(
        self,
        *,
        name: str,
        service: str,
        address: str,
        failure_domain: str,
        slots: int = 16,
        leaving: bool = False,
        checks_fencing: bool = False,
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.failure_domain = failure_domain
        self.slots = slots
        self.leaving = leaving
        self.checks_fencing = checks_fencing


class ListedServer(BackendServer):
    """A backend server that registered itself with the platform.

    `incarnation` distinguishes successive starts of a server under the same
    name. State recorded for an earlier incarnation, such as the content of
    its cache, no longer applies. `cold_seconds` is the time for which the
    server stays cold after the entry was written; infinite if the entry does
    not tell. `software_version` names the version of the server's software,
    not of its model; empty if the entry does not tell.
    """

    __slots__ = ('incarnation', 'cold_seconds', 'software_version')

    def __init__(
        self,
        *,
        name: str,
        service: str,
        address: str,
        failure_domain: str,
        slots: int,
        leaving: bool,
        incarnation: int,
        cold_seconds: float = 0.0,
        software_version: str = '',
    ) -> None:
        super().__init__(
            name=name,
            service=service,
            address=address,
            failure_domain=failure_domain,
            slots=slots,
            leaving=leaving,
        )
        self.incarnation = incarnation
        self.cold_seconds = cold_seconds
        self.software_version = software_version

    @property
    def registers_start(self) -> bool:
        """Whether the entry states when the server started.

        Only then does a restart under the same name always show, so that what
        was learnt of the server before can be dropped.
        """
        return self.incarnation > 1


class RequestKind:
    """A kind of request that client accounts send to one service.

    A request to a plain service belongs to the first kind whose `method` and
    `path_prefix` match. A request to a model service names its kind in the
    header `X-Request-Kind`; without the header it belongs to the first kind
    of the service.
    """

    __slots__ = (
        'name',
        'service',
        'idempotent',
        'deadline_seconds',
        'estimate_tokens',
        'method',
        'path_prefix',
    )

    def __init__(
        self,
        *,
        name: str,
        service: str,
        idempotent: bool = True,
        deadline_seconds: float = 120.0,
        estimate_tokens: int = 256,
        method: str = '*',
        path_prefix: str = '/',
    ) -> None:
        self.name = name
        self.service = service
        self.idempotent = idempotent
        self.deadline_seconds = deadline_seconds
        self.estimate_tokens = estimate_tokens
        self.method = method
        self.path_prefix = path_prefix


class ClientAccount:
    """A sender of requests, with its entitled share of each service.

    `keys` holds one entry per bearer key: `sha256:` followed by the
    hexadecimal hash of the key.
    """

    # Accounts of a submitted document are not bound to regions.
    regions: frozenset[str] | None = None

    __slots__ = (
        'name',
        'share',
        'services',
        'keys',
        'queue_requests',
        'queue_seconds',
    )

    def __init__(
        self,
        *,
        name: str,
        share: float = 1.0,
        services: typing.Sequence[str] = (),
        keys: typing.Sequence[str] = (),
        queue_requests: int = 200,
        queue_seconds: float = 60.0,
    ) -> None:
        self.name = name
        self.share = share
        self.services = tuple(services)
        self.keys = tuple(keys)
        self.queue_requests = queue_requests
        self.queue_seconds = queue_seconds


class OperatedAccount(ClientAccount):
    """A client account as described by a platform's operator.

    `regions` are the regions whose backend servers may get its requests; None
    for all.
    """

    __slots__ = ('regions',)

    def __init__(
        self,
        *,
        name: str,
        services: typing.Sequence[str],
        keys: typing.Sequence[str],
        regions: frozenset[str] | None = None,
    ) -> None:
        super().__init__(name=name, services=services, keys=keys)
        self.regions = regions


class Operator:
    """A person or program that may view or change the configuration.

    `password` is a salted hash in the format of werkzeug.security.
    """

    __slots__ = ('name', 'role', 'password')

    def __init__(self, *, name: str, role: str, password: str) -> None:
        self.name = name
        self.role = role
        self.password = password


class Document:
    """One version of the whole configuration.

    `routes`, `caller_limits`, `token_rate` and `keys_required` are set only
    where the platform's operator maintains the configuration. `token_rate` is
    the total throughput of all engines per second, as prompt tokens plus twice
    the generated tokens; 0 if unknown. `keys_required` is whether requests on
    routes that are not public need the key of a client account, also while
    there is no account.
    """

    __slots__ = (
        'version',
        'failure_domains',
        'services',
        'backend_servers',
        'request_kinds',
        'client_accounts',
        'operators',
        'routes',
        'caller_limits',
        'token_rate',
        'keys_required',
    )

    def __init__(
        self,
        *,
        version: int = 0,
        failure_domains: typing.Iterable[FailureDomain] = (),
        services: typing.Iterable[Service] = (),
        backend_servers: typing.Iterable[BackendServer] = (),
        request_kinds: typing.Iterable[RequestKind] = (),
        client_accounts: typing.Iterable[ClientAccount] = (),
        operators: typing.Iterable[Operator] = (),
        routes: typing.Iterable[routes_.Route] = (),
        caller_limits: routes_.CallerLimits | None = None,
        token_rate: float = 0.0,
        keys_required: bool = True,
    ) -> None:
        self.version = version
        self.failure_domains = {each.name: each for each in failure_domains}
        self.services = {each.name: each for each in services}
        self.backend_servers = {each.name: each for each in backend_servers}
        self.request_kinds = {each.name: each for each in request_kinds}
        self.client_accounts = {each.name: each for each in client_accounts}
        self.operators = {each.name: each for each in operators}
        self.routes = routes_.RouteTable(routes)
        self.caller_limits = caller_limits
        self.token_rate = token_rate
        self.keys_required = keys_required


SECTION_CLASSES: dict[str, type] = {
    'failure_domains': FailureDomain,
    'services': Service,
    'backend_servers': BackendServer,
    'request_kinds': RequestKind,
    'client_accounts': ClientAccount,
    'operators': Operator,
}


def build_document(
    values: dict[str, list[dict[str, typing.Any]]], *, version: int = 0
) -> Document:
    """Build a document from values that are already validated."""
    sections = {
        name: [section_class(**each) for each in values.get(name, [])]
        for name, section_class in SECTION_CLASSES.items()
    }
    return Document(version=version, **sections)
