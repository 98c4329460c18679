"""Stateful test of a store with random writes, faults and collections."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from amaranthslip.configuration import collection
from amaranthslip.configuration import holder
from amaranthslip.configuration import store
from amaranthslip.configuration import submission
from amaranthslip import errors
from amaranthslip import metrics
from tests.support import configured
from tests.support import fake_keyvalue

SETTINGS = hypothesis.settings(
    derandomize=True,
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
_INSTANCES = 3
_VALUES = configured.read_consortium()
_instances = strategies.integers(0, _INSTANCES - 1)
_shares = strategies.integers(1, 4)
_NO_HOOK = staticmethod(lambda method, key: None)


class StoreMachine(stateful.RuleBasedStateMachine):
    """Three instances that submit, read, restart and collect at random.

    The oracle is small: which submission each version number was accepted
    for, and the highest version that each instance has had since it began.
    """

    accepted = 0

    def __init__(self) -> None:
        super().__init__()
        self.service = fake_keyvalue.FakeKeyValue()
        self.clients = [self.service.connect() for _ in range(_INSTANCES)]
        settings = configured.build_settings()
        self.stores = [
            store.Store(settings, each, backoff_seconds=0)
            for each in self.clients
        ]
        self.holders = [holder.Holder() for _ in range(_INSTANCES)]
        self.highest = [0] * _INSTANCES
        self.winners: dict[int, str] = {}
        self.shares: dict[int, int] = {}

    def _submit(self, number: int, share: int) -> None:
        held = self.holders[number]
        writer = submission.Submission(self.stores[number], holder=held)
        changed = configured.change_share(_VALUES, 'co-lan', share)
        try:
            snapshot = writer.submit(
                changed, base=held.document.version, author=str(number)
            )
        except errors.ConfigurationConflict as conflict:
            assert conflict.current > conflict.base
            return
        except (
            errors.ConfigurationRefused,
            errors.ConfigurationOutcomeUnknown,
        ):
            return
        finally:
            self.clients[number].lose_after = 0
            self.clients[number].lose_before = 0
            self.clients[number].hook = _NO_HOOK
        self._record(snapshot, share)
        held.apply(snapshot.document)

    def _record(self, snapshot, share: int) -> None:
        StoreMachine.accepted += 1
        won = snapshot.manifest.accepted.submission
        other = self.winners.setdefault(snapshot.version, won)
        assert other == won, f'version {snapshot.version} has two winners'
        self.shares[snapshot.version] = share

    def _collect(self, number: int) -> None:
        collector = collection.Collector(
            self.stores[number], metrics.Metrics(), grace_seconds=0
        )
        try:
            collector.collect()
        except errors.PlatformError:
            pass

    @stateful.rule(
        number=_instances, share=_shares, fresh=strategies.booleans()
    )
    def submit(self, number: int, share: int, fresh: bool) -> None:
        if fresh:
            self.read(number)
        self._submit(number, share)

    @stateful.rule(
        number=_instances,
        share=_shares,
        before=strategies.integers(0, 5),
        after=strategies.integers(0, 5),
    )
    def submit_and_lose(
        self, number: int, share: int, before: int, after: int
    ) -> None:
        self.read(number)
        self.clients[number].lose_before = before
        self.clients[number].lose_after = after
        self._submit(number, share)

    @stateful.rule(
        number=_instances,
        other=_instances,
        share=_shares,
        method=strategies.sampled_from(['swap', 'get', 'delete']),
        place=strategies.integers(1, 12),
        collects=strategies.booleans(),
        loses=strategies.integers(0, 1),
    )
    def interleave(
        self,
        number: int,
        other: int,
        share: int,
        method: str,
        place: int,
        collects: bool,
        loses: int,
    ) -> None:
        """Pause a writer at some call; another one acts meanwhile."""
        self.read(number)
        self.read(other)
        seen = []

        def hook(called: str, key: str) -> None:
            seen.append(called)
            if seen.count(method) == place and called == method:
                self.clients[number].hook = _NO_HOOK
                if collects:
                    self._collect(other)
                elif other != number:
                    self._submit(other, share)

        self.clients[number].lose_after = loses
        self.clients[number].hook = hook
        self._submit(number, share + 4)

    @stateful.rule(number=_instances, other=_instances, share=_shares)
    def interrupt_collection(
        self, number: int, other: int, share: int
    ) -> None:
        def hook(called: str, key: str) -> None:
            if called == 'delete':
                self.clients[number].hook = _NO_HOOK
                if other != number:
                    self._submit(other, share)

        self.clients[number].hook = hook
        self._collect(number)
        self.clients[number].hook = _NO_HOOK

    @stateful.rule(number=_instances)
    def read(self, number: int) -> None:
        stored = self.stores[number]
        try:
            manifest = stored.read_manifest().manifest
            if manifest is not None:
                loaded = stored.load(manifest)
                self.holders[number].apply(loaded.document)
        except errors.PlatformError:
            pass

    @stateful.rule(number=_instances, other=_instances)
    def tell(self, number: int, other: int) -> None:
        self.holders[other].apply(self.holders[number].document)

    @stateful.rule(number=_instances)
    def restart(self, number: int) -> None:
        self.holders[number] = holder.Holder()
        self.highest[number] = 0

    @stateful.rule(number=_instances, share=_shares)
    def submit_while_cut(self, number: int, share: int) -> None:
        self.clients[number].cut = True
        self._submit(number, share)
        self.clients[number].cut = False

    @stateful.invariant()
    def never_reverts(self) -> None:
        for number, held in enumerate(self.holders):
            assert held.document.version >= self.highest[number]
            self.highest[number] = held.document.version

    @stateful.invariant()
    def accepted_is_whole(self) -> None:
        reader = store.Store(
            configured.build_settings(), self.service.connect()
        )
        manifest = reader.read_manifest().manifest
        if manifest is None:
            return
        loaded = reader.load(manifest).document
        assert len(loaded.client_accounts) == 16
        if manifest.version in self.shares:
            share = loaded.client_accounts['co-lan'].share
            assert share == self.shares[manifest.version]
            won = self.winners[manifest.version]
            assert manifest.accepted.submission == won
