"""Deployments: the failure domains, services and accounts of a benchmark."""

import copy
import hashlib
import pathlib
import tomllib
import typing

_EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / 'examples'
# A stand-in engine generates TOKENS_PER_STEP tokens for each stream every
# STEP_SECONDS: 200 tokens a second for each stream. That is about six times
# the rate of a real engine, so a run of half a minute corresponds to three
# minutes.
TOKENS_PER_STEP = 10
STEP_SECONDS = 0.05
PLAIN_WORK_SECONDS = 0.02

Document = dict[str, list[dict[str, typing.Any]]]


class Deployment:
    """The configuration document and the routers of one user.

    Parameters
    ----------
    name : str
        Identifies the deployment in folder names and table rows.
    document : Document
        The configuration document. `bench.fleet` replaces the addresses of
        its backend servers by those of the stand-ins.
    routers : int
        Number of router instances, spread evenly over the failure domains.
    delay_seconds : float
        One-way delay between instances.
    """

    __slots__ = ('name', 'document', 'routers', 'delay_seconds')

    def __init__(
        self,
        name: str,
        document: Document,
        *,
        routers: int,
        delay_seconds: float = 0.0,
    ) -> None:
        self.name = name
        self.document = document
        self.routers = routers
        self.delay_seconds = delay_seconds

    @property
    def region(self) -> str:
        """The region of the deployment, which all failure domains share."""
        return self.document['failure_domains'][0]['region']

    def pick_failure_domain(self, index: int) -> str:
        """Return the failure domain of the router with this index."""
        domains = self.document['failure_domains']
        return domains[index % len(domains)]['name']

    def list_services(self, kind: str) -> list[str]:
        """Return the names of the services of one kind."""
        return [
            service['name']
            for service in self.document['services']
            if service.get('kind', 'model') == kind
        ]

    def count_slots(self, service: str) -> int:
        """Return the slots of all backend servers of a service."""
        return sum(
            server.get('slots', 16)
            for server in self.document['backend_servers']
            if server['service'] == service
        )

    def list_accounts(self, service: str) -> list[str]:
        """Return the names of the accounts that may use a service."""
        return [
            account['name']
            for account in self.document['client_accounts']
            if service in account['services']
        ]

    def read_shares(self, service: str) -> dict[str, float]:
        """Return the share of each account that may use a service."""
        return {
            account['name']: float(account.get('share', 1.0))
            for account in self.document['client_accounts']
            if service in account['services']
        }

    def set_kinds(self, service: str, **fields: object) -> None:
        """Change fields of every request kind of a service."""
        for kind in self.document['request_kinds']:
            if kind['service'] == service:
                kind.update(fields)

    def copy(self) -> 'Deployment':
        """Return an independent copy, including the document."""
        return Deployment(
            self.name,
            copy.deepcopy(self.document),
            routers=self.routers,
            delay_seconds=self.delay_seconds,
        )


def read_key(account: str) -> str:
    """Return the bearer key of an account of the examples."""
    return f'key-{account}'


def read_password(operator: str) -> str:
    """Return the password of an operator of the examples."""
    return f'password-{operator}'


def read_deployment(name: str, *, routers: int = 8) -> Deployment:
    """Return the example deployment `patrimonio` or `consorcio`."""
    text = (_EXAMPLES / name / 'document.toml').read_text(encoding='utf-8')
    # The one-way delay between failure domains is 1.5 milliseconds.
    return Deployment(
        name, tomllib.loads(text), routers=routers, delay_seconds=0.0015
    )


def build_small_deployment(
    *, routers: int = 3, engines: int = 2, slots: int = 4, accounts: int = 4
) -> Deployment:
    """Return a small deployment for demonstrations and tests.

    The accounts `account-1`, `account-2` and so on have the shares 1, 2, 3
    and so on.
    """
    shares = range(1, accounts + 1)
    document: Document = {
        'failure_domains': [
            {'name': name, 'region': 'region-1'}
            for name in ('domain-a', 'domain-b')
        ],
        'services': [
            {'name': 'chat', 'kind': 'model', 'prompt_weight': 0.1},
            {'name': 'bookings', 'kind': 'plain'},
        ],
        'backend_servers': [
            *(_build_engine(index, slots) for index in range(engines)),
            {
                'name': 'bookings-1',
                'service': 'bookings',
                'address': f'127.0.0.1:{engines + 1}',
                'failure_domain': 'domain-a',
                'slots': 8,
            },
        ],
        'request_kinds': [
            {'name': 'talk', 'service': 'chat', 'estimate_tokens': 200},
            {
                'name': 'booking',
                'service': 'bookings',
                'idempotent': False,
                'method': 'POST',
                'path_prefix': '/bookings',
                'estimate_tokens': 1,
            },
            {'name': 'lookup', 'service': 'bookings', 'estimate_tokens': 1},
        ],
        'client_accounts': [_build_account(share) for share in shares],
        'operators': [
            {
                'name': 'operator',
                'role': 'editor',
                'password': _OPERATOR_PASSWORD_HASH,
            }
        ],
    }
    return Deployment('small', document, routers=routers)


# Hash of `read_password('operator')`, copied from the example documents.
_OPERATOR_PASSWORD_HASH = (
    'scrypt:32768:8:1$Q3cUFnNP$e7ffc02532ef2a6f400f10f73e9dace20e8829bd8c5f2e'
    '48d8142cd46bf0f6512eefb2c390c35e2dc55db296a570f91904791c701d5722ec5a34f0'
    'c7e571d1a6'
)


def _build_engine(index: int, slots: int) -> dict[str, typing.Any]:
    return {
        'name': f'engine-{index + 1}',
        'service': 'chat',
        'address': f'127.0.0.1:{index + 1}',
        'failure_domain': 'domain-a' if index % 2 == 0 else 'domain-b',
        'slots': slots,
    }


def _build_account(share: int) -> dict[str, typing.Any]:
    name = f'account-{share}'
    digest = hashlib.sha256(read_key(name).encode()).hexdigest()
    return {
        'name': name,
        'share': share,
        'services': ['chat', 'bookings'],
        'keys': [f'sha256:{digest}'],
    }
