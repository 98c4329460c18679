"""Garbage collection of parts that no known version references.

A paused writer may have written parts that its manifest does not reference
yet. The following protocol protects those parts without relying on clocks:

1. The collector reads the manifest and lists the parts that neither the
   accepted version nor the history references, with their revisions.
2. It swaps the manifest for one that differs in `collections` only. The swap
   of every writer that read the manifest earlier then fails.
3. It deletes the listed parts, each only if it still has the listed revision.

A writer that reads the manifest after step 2 rewrites every part of its
version that the manifest does not reference. If step 3 has not deleted such
a part yet, its new revision prevents the deletion; otherwise the writer's
write restores it. The grace period is not needed for this protocol. It only
protects slow readers: a part is deleted after it was seen unreferenced for
the whole grace period.
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
    """Finds and deletes unreferenced parts, one pass at a time.

    Parameters
    ----------
    store : Store
        The store that holds the versions.
    metrics : Metrics
        Counts the deleted parts.
    grace_seconds : float
        How long a part must be seen unreferenced before it is deleted, in
        seconds.
    """

    __slots__ = ('_store', '_metrics', '_grace_seconds', '_unreferenced')

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
        self._unreferenced: dict[str, _UnreferencedPart] = {}

    def collect(self) -> int:
        """Run one pass and return the number of deleted parts.

        Raises
        ------
        PlatformError
            The key-value service returned no usable answer. The next pass
            starts from the beginning.
        """
        stored = self._store.read_manifest()
        if stored.manifest is None:
            return 0
        referenced = self._list_referenced(stored.manifest)
        expired = self._find_expired(referenced)
        if not expired:
            return 0
        if not self._fence_writers(stored):
            return 0
        deleted = sum(self._store.delete_part(entry) for entry in expired)
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

    def _find_expired(self, referenced: set[str]) -> list[keyvalue.Entry]:
        now = time.monotonic()
        expired, unreferenced = [], {}
        for digest_prefix in _HEX_DIGITS:
            for entry in self._store.list_parts(digest_prefix):
                if self._store.get_digest(entry) in referenced:
                    continue
                record = self._unreferenced.get(entry.key)
                if record is None or record.revision != entry.revision:
                    record = _UnreferencedPart(entry.revision, now)
                unreferenced[entry.key] = record
                if now - record.first_seen >= self._grace_seconds:
                    expired.append(entry)
        self._unreferenced = unreferenced
        return expired

    def _fence_writers(self, stored: store_module.StoredManifest) -> bool:
        """Make the swaps of writers that already read the manifest fail."""
        assert stored.manifest is not None
        successor = manifests.Manifest(
            accepted=stored.manifest.accepted,
            history=stored.manifest.history,
            collections=stored.manifest.collections + 1,
        )
        try:
            return self._store.swap_manifest(
                successor, expected=stored.revision
            )
        except errors.AnswerLost:
            # The outcome of the swap is unknown. Parts are deleted only
            # after a swap that is known to have succeeded.
            return False


class _UnreferencedPart:
    """The revision at which a part was first seen unreferenced, and when."""

    __slots__ = ('revision', 'first_seen')

    def __init__(self, revision: int, first_seen: float) -> None:
        self.revision = revision
        self.first_seen = first_seen
