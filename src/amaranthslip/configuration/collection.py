"""Collects parts that no version names any longer.

A writer that was paused may hold parts that it is about to name. The rule
that keeps the two apart needs no clock:

1. the collector reads the manifest, and lists parts that neither it nor its
   history names, with their revisions;
2. it swaps the manifest for one that differs in `collections` only, so that
   the swap of every writer that read the manifest before fails;
3. it deletes those parts, each only at the revision that was listed.

A writer that reads the manifest after step 2 writes each part again that
the manifest does not name, which changes the revision: step 3 passes it by,
or has deleted it before and the writer's write brings it back. Age only
spares readers that are slow: a part goes once it was seen unreferenced for
the grace period.
"""

import time

from amaranthslip.configuration import keyvalue
from amaranthslip.configuration import manifests
from amaranthslip.configuration import store as store_module
from amaranthslip import errors
from amaranthslip import metrics as metrics_module

_HEX_DIGITS = '0123456789abcdef'
GRACE_SECONDS = 3600.0


class Collector:
    """Finds and deletes unreferenced parts, a pass at a time.

    Parameters
    ----------
    store : Store
        Where the versions are.
    metrics : Metrics
        Counts what was collected.
    grace_seconds : float
        How long a part must have been seen unreferenced.
    """

    __slots__ = ('_store', '_metrics', '_grace_seconds', '_seen')

    def __init__(
        self,
        store: store_module.Store,
        metrics: metrics_module.Metrics,
        *,
        grace_seconds: float = GRACE_SECONDS,
    ) -> None:
        self._store = store
        self._metrics = metrics
        self._grace_seconds = grace_seconds
        self._seen: dict[str, _Sighting] = {}

    def collect(self) -> int:
        """Run one pass; returns the number of parts deleted.

        Raises
        ------
        PlatformError
            The service gave no answer; the next pass starts anew.
        """
        stored = self._store.read_manifest()
        if stored.manifest is None:
            return 0
        referenced = self._list_referenced(stored.manifest)
        ripe = self._find_ripe(referenced)
        if not ripe:
            return 0
        if not self._fence(stored):
            return 0
        deleted = sum(self._store.delete_part(entry) for entry in ripe)
        self._metrics.count('configuration', 'part_collected', deleted)
        return deleted

    def _list_referenced(self, manifest: manifests.Manifest) -> set[str]:
        referenced: set[str] = set()
        for each in manifest.list_versions():
            referenced.add(each.index)
            data = self._store.fetch([each.index]).get(each.index)
            if data is not None:
                index = manifests.decode_index(each.index, data)
                referenced.update(index.digests)
        return referenced

    def _find_ripe(self, referenced: set[str]) -> list[keyvalue.Entry]:
        now = time.monotonic()
        ripe, seen = [], {}
        for digit in _HEX_DIGITS:
            for entry in self._store.list_parts(digit):
                if self._store.get_digest(entry) in referenced:
                    continue
                before = self._seen.get(entry.key)
                if before is None or before.revision != entry.revision:
                    before = _Sighting(entry.revision, now)
                seen[entry.key] = before
                if now - before.since >= self._grace_seconds:
                    ripe.append(entry)
        self._seen = seen
        return ripe

    def _fence(self, stored: store_module.StoredManifest) -> bool:
        """Fail the swaps of writers that read the manifest before now."""
        assert stored.manifest is not None
        fenced = manifests.Manifest(
            accepted=stored.manifest.accepted,
            history=stored.manifest.history,
            collections=stored.manifest.collections + 1,
        )
        try:
            return self._store.swap_manifest(fenced, expected=stored.revision)
        except errors.AnswerLost:
            # It may have held or not: without the fence nothing is deleted.
            return False


class _Sighting:
    """The revision at which a part was first seen unreferenced, and when."""

    __slots__ = ('revision', 'since')

    def __init__(self, revision: int, since: float) -> None:
        self.revision = revision
        self.since = since
