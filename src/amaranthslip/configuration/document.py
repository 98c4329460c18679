"""The configuration document: what operators decide, as plain objects."""

import typing

from amaranthslip.configuration import routes as routes_


class ServiceKind:
    """The two kinds of service."""

    MODEL = 'model'
    PLAIN = 'plain'


class FailureDomain:
    """A place whose instances and backend servers fail together."""

    __slots__ = ('name', 'region')

    def __init__(self, *, name: str, region: str) -> None:
        self.name = name
        self.region = region


class Service:
    """A set of backend servers that answer the same requests.

    `prompt_weight` is what one prompt token costs, in generated tokens.
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
    """A service as a platform's operator describes it.

    `cache_tokens` is how many tokens one engine's memory holds, of running
    requests and cached prompts together; 0: unknown.
    """

    __slots__ = ('cache_tokens',)

    def __init__(self, *, name: str, kind: str, cache_tokens: int = 0) -> None:
        super().__init__(name=name, kind=kind)
        self.cache_tokens = cache_tokens


class BackendServer:
    """One engine or plain server: `slots` requests at once, at most."""

    # Servers that do not register themselves have no incarnation.
    incarnation = 0

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

    `incarnation` tells one start of it from the next under the same name;
    what was known of an earlier one, such as its cache, is then void.
    """

    __slots__ = ('incarnation',)

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


class RequestKind:
    """A kind of request that client accounts send to one service.

    A plain service's request is of the first kind whose `method` and
    `path_prefix` it matches; a model service's request names its kind in
    the header `X-Request-Kind`, or is of the service's first kind.
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
    """Who sends requests, and the share of each service they are due.

    `keys` holds `sha256:` and the hexadecimal hash of each bearer key.
    """

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


class Operator:
    """A person or program that may see or change the configuration.

    `password` is a salted hash in werkzeug.security's form.
    """

    __slots__ = ('name', 'role', 'password')

    def __init__(self, *, name: str, role: str, password: str) -> None:
        self.name = name
        self.role = role
        self.password = password


class Document:
    """One version of the whole configuration.

    `routes`, `caller_limits` and `token_rate` (prompt tokens read, plus
    twice those generated, that all engines manage in a second; 0: unknown)
    come from a platform whose operator keeps the configuration.
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
    """Build a document from values that were validated before."""
    sections = {
        name: [section_class(**each) for each in values.get(name, [])]
        for name, section_class in SECTION_CLASSES.items()
    }
    return Document(version=version, **sections)
