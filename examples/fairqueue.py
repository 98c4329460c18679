"""Shares one engine between two client accounts in one process.

Run it with `python examples/fairqueue.py`. It prints the tokens that each
account received.

The ledger keeps the accounts' scores, the service queue selects the account
whose request runs next, and the slots limit the number of concurrent requests.
Time is simulated: in one step the engine generates a few tokens for every
running request.
"""

import random

from amaranthslip import capacity
from amaranthslip import configuration
from amaranthslip.configuration import document
from amaranthslip import metrics
from amaranthslip import settings
from amaranthslip import shares

_SHARES = {'hung-vuong': 3.0, 'small-agency': 1.0}
_STEP_COUNT = 4000
_STEP_SECONDS = 0.1
_STEP_TOKENS = 5.0
_SLOTS = 4
_ENTRY = 'here'
_SERVER = 'engine-1'

_SETTINGS = settings.check_settings(
    {
        'instance': {
            'name': _ENTRY,
            'failure_domain': 'hn-a',
            'region': 'vn-north',
        },
        'addresses': {
            'callers': '127.0.0.1:0',
            'operators': '127.0.0.1:0',
            'peers': '127.0.0.1:0',
        },
        'platform': {
            'key_value': 'http://127.0.0.1:1',
        },
    }
)


class Clock:
    """A clock that returns simulated seconds."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def __call__(self) -> float:
        return self.seconds


class Engine:
    """A simulated engine whose queue is backlogged for both accounts."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.delivered = dict.fromkeys(_SHARES, 0.0)
        self._random = random.Random(1)
        self._remaining_tokens: dict[int, float] = {}
        self._last_id = 0
        holder = configuration.Holder()
        holder.apply(_build_document())
        self._slots = capacity.Slots(_SERVER, _SLOTS, clock=self.clock)
        self._queue = shares.ServiceQueue(
            'gia-su-llm',
            shares.Ledger(
                commit_tokens=_SETTINGS.dispatch.commit_tokens,
                clock=self.clock,
            ),
            holder,
            capacity.Health(_SETTINGS, metrics.Metrics(), clock=self.clock),
            # This dispatcher's position among the account's dispatchers, from
            # 0 to 1: there are no others.
            lambda service, client_account: 0.0,
            clock=self.clock,
        )
        self._queue.servers[_SERVER] = self._slots

    def step(self) -> None:
        """Refill the backlog, grant free slots and generate tokens."""
        for client_account in _SHARES:
            self._fill_backlog(client_account)
        while choice := self._queue.choose(1.0, unresponsive=()):
            self._queue.count_grant(choice.demand)
            self._start_request(choice.demand.client_account)
        for holding in list(self._slots.holdings.values()):
            self._generate_tokens(holding)
        self.clock.seconds += _STEP_SECONDS

    def _fill_backlog(self, client_account: str) -> None:
        became_backlogged = self._queue.backlog.set(
            _ENTRY,
            client_account,
            count=8,
            since=self.clock(),
            estimate=150.0,
        )
        if became_backlogged:
            self._queue.ledger.mark_backlogged(client_account, 0.0)
            self._queue.ledger.set_estimate(client_account, 150.0)

    def _start_request(self, client_account: str) -> None:
        self._last_id += 1
        self._slots.hold(
            capacity.Holding(
                id=self._last_id,
                entry=_ENTRY,
                service=self._queue.name,
                client_account=client_account,
                server=_SERVER,
                estimate=150.0,
                granted=self.clock(),
            )
        )
        self._queue.ledger.grant(client_account, _ENTRY, self._last_id)
        # The cost of a request is unknown to the queue until it ends.
        self._remaining_tokens[self._last_id] = self._random.uniform(
            20.0, 300.0
        )

    def _generate_tokens(self, holding: capacity.Holding) -> None:
        client_account = holding.client_account
        tokens = min(_STEP_TOKENS, self._remaining_tokens[holding.id])
        self._remaining_tokens[holding.id] -= tokens
        self.delivered[client_account] += tokens
        self._queue.ledger.charge(
            client_account,
            _ENTRY,
            share=_SHARES[client_account],
            total=self.delivered[client_account],
            base=0.0,
            hint=0.0,
        )
        if self._remaining_tokens[holding.id] <= 0:
            self._slots.free(holding.id)
            self._queue.ledger.release(client_account, _ENTRY, holding.id)


def _build_document() -> configuration.Document:
    return configuration.Document(
        version=1,
        services=[document.Service(name='gia-su-llm')],
        backend_servers=[
            document.BackendServer(
                name=_SERVER,
                service='gia-su-llm',
                address='http://127.0.0.1:1',
                failure_domain='hn-a',
                slots=_SLOTS,
            )
        ],
        client_accounts=[
            document.ClientAccount(
                name=name, share=share, services=['gia-su-llm']
            )
            for name, share in _SHARES.items()
        ],
    )


def main() -> None:
    """Run the simulation and print the service of each account."""
    engine = Engine()
    for _ in range(_STEP_COUNT):
        engine.step()
    print('account        share  tokens  tokens/share')
    for name, tokens in engine.delivered.items():
        share = _SHARES[name]
        print(f'{name:14} {share:5g} {tokens:7.0f} {tokens / share:13.0f}')


if __name__ == '__main__':
    main()
