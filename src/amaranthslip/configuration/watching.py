"""Hears of new versions from the key-value service, and checks it."""

import contextlib
import logging
import random

import gevent
from gevent import event
from gevent import lock

from amaranthslip.configuration import collection
from amaranthslip.configuration import manifests
from amaranthslip.configuration import store as store_module
from amaranthslip.configuration import versions as versions_module
from amaranthslip.configuration import watchers as watchers_module
from amaranthslip import errors
from amaranthslip import metrics as metrics_module

_LOG = logging.getLogger(__name__)

# Check reads: so many a second by all watchers together, however many they
# are. Each one waits for its turn, at random between half and one and a
# half times that; the same waits are the backoff during an outage.
_CHECKS_PER_SECOND = 2.0
_LEAST_CHECK_SECONDS = 1.0
_ROLE_SECONDS = 1.0
_COLLECT_SECONDS = 1800.0

# An instance that believes itself alone reads a first version slowly: it
# may be one of hundreds that start at once and do not know one another yet.
_START_SECONDS = 1.0
_ALONE_START_SECONDS = 2.0
_ALONE_PACE_SECONDS = 1.0


class Watching:
    """One instance's part in watching the key-value service.

    Parameters
    ----------
    name : str
        This instance.
    versions : Versions
        Where a version that is read comes into force.
    store : Store
        The versions in the service.
    watchers : Watchers
        Says whether this instance watches.
    metrics : Metrics
        Counts `configuration` events.
    """

    __slots__ = (
        'stored_version',
        'outdated',
        '_name',
        '_versions',
        '_store',
        '_watchers',
        '_metrics',
        '_collector',
        '_check',
        '_loading',
    )

    def __init__(
        self,
        name: str,
        versions: versions_module.Versions,
        store: store_module.Store,
        watchers: watchers_module.Watchers,
        metrics: metrics_module.Metrics,
    ) -> None:
        self.stored_version = 0
        self.outdated = False
        self._name = name
        self._versions = versions
        self._store = store
        self._watchers = watchers
        self._metrics = metrics
        self._collector = collection.Collector(store, metrics)
        self._check = event.Event()
        self._loading = lock.BoundedSemaphore()

    def is_watcher(self) -> bool:
        """Tell whether this instance watches at present."""
        return self._watchers.includes(self._name)

    def choose_wait(self) -> float:
        """Return the seconds until this watcher's next check read."""
        count = max(1, len(self._watchers.names()))
        mean = max(_LEAST_CHECK_SECONDS, count / _CHECKS_PER_SECOND)
        return random.uniform(0.5, 1.5) * mean

    def choose_start(self) -> float:
        """Return the seconds to hold back the first read of all."""
        alone = self._watchers.is_alone()
        most = _ALONE_START_SECONDS if alone else _START_SECONDS
        return random.uniform(0, most)

    def keep_watching(self) -> None:
        """Hold a watch for as long as this instance is a watcher."""
        while True:
            if not self._versions.version or not self.is_watcher():
                gevent.sleep(_ROLE_SECONDS)
                continue
            with contextlib.ExitStack() as stack:
                watching = gevent.spawn(self._watch)
                stack.callback(watching.kill)
                while self.is_watcher() and not watching.dead:
                    watching.join(_ROLE_SECONDS)
            gevent.sleep(self.choose_wait())

    def _watch(self) -> None:
        try:
            with self._store.watch_manifests() as written:
                # What was accepted before the watch began is read once.
                self._check.set()
                for manifest in written:
                    self._consider(manifest)
        except errors.PlatformError:
            self._metrics.count('configuration', 'watch_failed')
        except errors.ConfigurationDamaged as damage:
            self._report_damage(damage)

    def keep_checking(self) -> None:
        """Read the manifest now and then, in case the watch says nothing.

        A watch that has silently stopped looks like a service where nothing
        changes, for ever; the read shows what it kept back.
        """
        while True:
            self._check.wait(self.choose_wait())
            self._check.clear()
            if not self._versions.version:
                # The start reads for itself, at its own pace.
                gevent.sleep(_ROLE_SECONDS)
            elif self.is_watcher():
                self._check_store()

    def _check_store(self) -> None:
        before = self._versions.version
        stored = self.read()
        if stored is None:
            return
        # Compared with what was in force before the read: one that was
        # accepted meanwhile is rightly missing from the answer.
        self._note_outdated(stored.version, before)
        if stored.manifest is not None:
            self._consider(stored.manifest)

    def _consider(self, manifest: manifests.Manifest) -> None:
        with self._loading:
            if manifest.version > self._versions.version:
                self.load(manifest)
                return
        self._versions.compare(manifest.version, manifest.accepted.submission)

    def read(self) -> store_module.StoredManifest | None:
        """Read the manifest, or return None where that failed."""
        try:
            stored = self._store.read_manifest()
        except errors.PlatformError:
            self._metrics.count('configuration', 'check_failed')
            return None
        except errors.ConfigurationDamaged as damage:
            self._report_damage(damage)
            return None
        self.stored_version = stored.version
        return stored

    def load(self, manifest: manifests.Manifest) -> bool:
        """Read a version and put it in force; False where that failed."""
        snapshot = self._versions.snapshot
        pace = self._choose_pace if snapshot is None else None
        try:
            loaded = self._store.load(manifest, previous=snapshot, pace=pace)
        except errors.PlatformError:
            self._metrics.count('configuration', 'check_failed')
            return False
        except errors.ConfigurationDamaged as damage:
            self._report_damage(damage)
            return False
        return self._versions.accept(loaded)

    def _choose_pace(self) -> float:
        return _ALONE_PACE_SECONDS if self._watchers.is_alone() else 0.0

    def keep_collecting(self) -> None:
        """Collect unreferenced parts, on the first of the watchers.

        Two that both believe to be the first do no harm: see `collection`.
        """
        while True:
            gevent.sleep(random.uniform(0.5, 1.5) * _COLLECT_SECONDS)
            if self._watchers.names()[:1] != (self._name,):
                continue
            try:
                self._collector.collect()
            except errors.PlatformError:
                self._metrics.count('configuration', 'collection_failed')
            except errors.ConfigurationDamaged as damage:
                self._report_damage(damage)

    def _note_outdated(self, stored: int, in_force: int) -> None:
        """Refuse, loudly, a service that came back with an older version."""
        was, self.outdated = self.outdated, stored < in_force
        if not self.outdated:
            return
        self._metrics.count('configuration', 'store_outdated')
        if not was:
            _LOG.error(
                'configuration_store_outdated',
                extra={
                    'stored': stored,
                    'in_force': in_force,
                    'remedy': 'the key-value service was restored or lost'
                    ' data. What is in force stays. Submit the document again'
                    ' on top of it, through a router',
                },
            )

    def _report_damage(self, damage: errors.ConfigurationDamaged) -> None:
        self._metrics.count('configuration', 'damaged')
        _LOG.error('configuration_damaged', extra={'error': damage})
