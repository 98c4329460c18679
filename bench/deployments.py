"""Deployments: the places, services and accounts that the bench starts."""

import copy
import hashlib
import pathlib
import tomllib
import typing

_EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / 'examples'
# The stand-in engines generate so many tokens at once, so often: 200 tokens
# a second for each stream, about six times what an engine does, so that a
# run of half a minute stands for three.
TOKENS_PER_STEP = 10
STEP_SECONDS = 0.05
PLAIN_WORK_SECONDS = 0.02

Values = dict[str, list[dict[str, typing.Any]]]


class Deployment:
    """What one user runs.

    Parameters
    ----------
    name : str
        Names folders and rows of tables.
    document : Values
        The configuration document; its backend servers' addresses are
        replaced by those of the stand-ins.
    routers : int
        How many entry instances, spread evenly over the failure domains.
    delay_seconds : float
        One-way delay between instances.
    """

    __slots__ = ('name', 'document', 'routers', 'delay_seconds')

    def __init__(
        self,
        name: str,
        document: Values,
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
        """The region of all its failure domains."""
        return self.document['failure_domains'][0]['region']

    def place(self, index: int) -> str:
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
        """Return one that can be changed without changing this one."""
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
    """Return a deployment of the brief, `patrimonio` or `consorcio`."""
    text = (_EXAMPLES / name / 'document.toml').read_text(encoding='utf-8')
    # Failure domains are a millisecond and a half apart one way.
    return Deployment(
        name, tomllib.loads(text), routers=routers, delay_seconds=0.0015
    )


def build_small_deployment(
    *, routers: int = 3, engines: int = 2, slots: int = 4, accounts: int = 4
) -> Deployment:
    """Return a small deployment for demonstrations and tests.

    The shares of its accounts, `account-1` and on, are 1, 2, 3 and so on.
    """
    shares = range(1, accounts + 1)
    document: Values = {
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
            {'name': 'operator', 'role': 'editor', 'password': _PASSWORD}
        ],
    }
    return Deployment('small', document, routers=routers)


# The hash of `read_password('operator')`, out of the example documents.
_PASSWORD = (
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
