"""Monitoring of the key-value service for new versions."""

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

# The total rate of check reads by all watchers of the fleet. The mean delay
# between two reads of one watcher follows from the number of watchers. Each
# delay is random between 0.5 and 1.5 times the mean. The same delays are the
# backoff during an outage.
_CHECKS_PER_SECOND = 2.0
_MIN_CHECK_SECONDS = 1.0
_ROLE_CHECK_SECONDS = 1.0
_COLLECTION_SECONDS = 1800.0

# An instance whose roster lists no other live instance spreads the reads of
# its first version over time: it may be one of hundreds that start at the same
# time and have not discovered each other yet.
_MAX_START_DELAY_SECONDS = 1.0
_ALONE_MAX_START_DELAY_SECONDS = 2.0
_ALONE_MAX_READ_DELAY_SECONDS = 1.0


class StoreMonitor:
    """Watches, checks and cleans the store for one instance.

    `stored_version` is the accepted version at the last read. `outdated` is
    set while the key-value service holds a lower version than the one in
    force.

    Parameters
    ----------
    name : str
        The name of this instance.
    versions : Versions
        Puts the versions that are read in force.
    store : Store
        The versions in the key-value service.
    watchers : Watchers
        Determines whether this instance is a watcher.
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
        '_check_requested',
        '_load_lock',
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
        self._check_requested = event.Event()
        self._load_lock = lock.BoundedSemaphore()

    def is_watcher(self) -> bool:
        """Return whether this instance is a watcher at present."""
        return self._watchers.includes(self._name)

    def choose_check_delay(self) -> float:
        """Return the delay until the next check read, in seconds."""
        count = max(1, len(self._watchers.list_names()))
        mean = max(_MIN_CHECK_SECONDS, count / _CHECKS_PER_SECOND)
        return random.uniform(0.5, 1.5) * mean

    def choose_start_delay(self) -> float:
        """Return the delay before the first read after a start, in seconds."""
        alone = self._watchers.is_alone()
        max_seconds = (
            _ALONE_MAX_START_DELAY_SECONDS
            if alone
            else _MAX_START_DELAY_SECONDS
        )
        return random.uniform(0, max_seconds)

    def run_watch(self) -> None:
        """Keep a watch open while this instance is a watcher."""
        while True:
            if not self._versions.version or not self.is_watcher():
                gevent.sleep(_ROLE_CHECK_SECONDS)
                continue
            with contextlib.ExitStack() as stack:
                watching = gevent.spawn(self._watch)
                stack.callback(watching.kill)
                while self.is_watcher() and not watching.dead:
                    watching.join(_ROLE_CHECK_SECONDS)
            gevent.sleep(self.choose_check_delay())

    def _watch(self) -> None:
        try:
            with self._store.watch_manifests() as manifests_written:
                # A read finds versions accepted before the watch was opened.
                self._check_requested.set()
                for manifest in manifests_written:
                    self._load_newer(manifest)
        except errors.PlatformError:
            self._metrics.count('configuration', 'watch_failed')
        except errors.ConfigurationDamaged as damage:
            self._report_damage(damage)

    def run_checks(self) -> None:
        """Read the manifest periodically, in case the watch has stopped.

        A watch that silently stopped can't be distinguished from a service
        without changes. The read finds versions that the watch missed.
        """
        while True:
            self._check_requested.wait(self.choose_check_delay())
            self._check_requested.clear()
            if not self._versions.version:
                # `VersionPropagator` reads the first version, at another
                # rate.
                gevent.sleep(_ROLE_CHECK_SECONDS)
            elif self.is_watcher():
                self._check_store()

    def _check_store(self) -> None:
        in_force = self._versions.version
        stored = self.read()
        if stored is None:
            return
        # The comparison uses the version in force before the read, because
        # the answer need not contain a version that was accepted meanwhile.
        self._report_outdated(stored.version, in_force)
        if stored.manifest is not None:
            self._load_newer(stored.manifest)

    def _load_newer(self, manifest: manifests.Manifest) -> None:
        with self._load_lock:
            if manifest.version > self._versions.version:
                self.load(manifest)
                return
        self._versions.compare(manifest.version, manifest.accepted.submission)

    def read(self) -> store_module.StoredManifest | None:
        """Read the manifest; return None if that failed."""
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
        """Read a version and put it in force; return False on a failure."""
        snapshot = self._versions.snapshot
        max_delay = self._get_max_delay if snapshot is None else None
        try:
            loaded = self._store.load(
                manifest, previous=snapshot, max_delay=max_delay
            )
        except errors.PlatformError:
            self._metrics.count('configuration', 'check_failed')
            return False
        except errors.ConfigurationDamaged as damage:
            self._report_damage(damage)
            return False
        return self._versions.accept(loaded)

    def _get_max_delay(self) -> float:
        return (
            _ALONE_MAX_READ_DELAY_SECONDS if self._watchers.is_alone() else 0.0
        )

    def run_collections(self) -> None:
        """Delete unreferenced parts while this is the first watcher.

        Two instances with different rosters may run collections at the same
        time, which is safe: see `collection`.
        """
        while True:
            gevent.sleep(random.uniform(0.5, 1.5) * _COLLECTION_SECONDS)
            if self._watchers.list_names()[:1] != (self._name,):
                continue
            try:
                self._collector.collect()
            except errors.PlatformError:
                self._metrics.count('configuration', 'collection_failed')
            except errors.ConfigurationDamaged as damage:
                self._report_damage(damage)

    def _report_outdated(self, stored: int, in_force: int) -> None:
        """Report a stored version that is lower than the version in force.

        The version in force stays in force.
        """
        was_outdated, self.outdated = self.outdated, stored < in_force
        if not self.outdated:
            return
        self._metrics.count('configuration', 'store_outdated')
        if not was_outdated:
            _LOG.error(
                'configuration_store_outdated',
                extra={
                    'stored': stored,
                    'in_force': in_force,
                    'remedy': 'the key-value service was restored or lost'
                    ' data. The version in force stays in force. Submit the'
                    ' document again through a router, with the version in'
                    ' force as the base',
                },
            )

    def _report_damage(self, damage: errors.ConfigurationDamaged) -> None:
        self._metrics.count('configuration', 'damaged')
        _LOG.error('configuration_damaged', extra={'error': damage})
