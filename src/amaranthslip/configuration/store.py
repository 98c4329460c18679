"""The versions in the platform's key-value service.

Parts are written first, the manifest last and by compare-and-swap: whoever
dies in between leaves parts that no manifest names, and nothing else.
"""

import contextlib
import random
import time
import typing
import uuid

import gevent
from gevent import pool

from amaranthslip.configuration import document
from amaranthslip.configuration import keyvalue
from amaranthslip.configuration import manifests
from amaranthslip.configuration import parts
from amaranthslip.configuration import snapshots
from amaranthslip import errors
from amaranthslip import settings as settings_module

_ATTEMPTS = 4
_BACKOFF_SECONDS = 0.1
_WRITERS = 8
# From so many missing parts on, reading prefixes costs fewer calls: all
# parts at once where a version has few, else in sixteen calls, so that each
# answer stays well under a megabyte at 25,000 accounts.
_BULK_PARTS = 4
_FEW_PARTS = 32
_HEX_DIGITS = '0123456789abcdef'

_Result = typing.TypeVar('_Result')
Pace = typing.Callable[[], float]


class StoredManifest:
    """The manifest as read, with the revision that a swap must expect."""

    __slots__ = ('manifest', 'revision')

    def __init__(
        self, *, manifest: manifests.Manifest | None, revision: int
    ) -> None:
        self.manifest = manifest
        self.revision = revision

    @property
    def version(self) -> int:
        """The accepted version, 0 where there is none yet."""
        return self.manifest.version if self.manifest is not None else 0


class Store:
    """Reads and publishes versions.

    Parameters
    ----------
    settings : Settings
        `platform.prefix` says where the keys are.
    client : KeyValue
        The key-value service's client.
    backoff_seconds : float
        The longest wait before a first retry; each further one doubles it.
    """

    __slots__ = (
        '_client',
        '_manifest_key',
        '_parts_prefix',
        '_backoff_seconds',
    )

    def __init__(
        self,
        settings: settings_module.Settings,
        client: keyvalue.KeyValue,
        *,
        backoff_seconds: float = _BACKOFF_SECONDS,
    ) -> None:
        self._client = client
        self._backoff_seconds = backoff_seconds
        prefix = settings.platform.prefix + 'configuration/'
        self._manifest_key = prefix + 'manifest'
        self._parts_prefix = prefix + 'parts/'

    def read_manifest(self) -> StoredManifest:
        """Read the manifest: one call.

        Raises
        ------
        PlatformError
            The service gave no answer.
        ConfigurationDamaged
            The value is no manifest.
        """
        entry = self._client.get(self._manifest_key)
        if entry is None:
            return StoredManifest(manifest=None, revision=0)
        manifest = manifests.decode_manifest(entry.value)
        return StoredManifest(manifest=manifest, revision=entry.revision)

    @contextlib.contextmanager
    def watch_manifests(
        self,
    ) -> typing.Iterator[typing.Iterator[manifests.Manifest]]:
        """Open a watch: an iterator of the manifests written from now on."""
        with self._client.watch(self._manifest_key) as entries:
            # A deleted manifest has no value; the check read reports it.
            yield (
                manifests.decode_manifest(entry.value)
                for entry in entries
                if entry.value
            )

    def load(
        self,
        manifest: manifests.Manifest,
        *,
        previous: snapshots.Snapshot | None = None,
        pace: Pace | None = None,
    ) -> snapshots.Snapshot:
        """Read what a version needs beyond the previous one.

        Parameters
        ----------
        pace : callable or None
            Returns the most seconds to wait before the next call, at
            random, so that many instances that read at once do not add up
            to a burst.
        """

        def fetch(digests: typing.Sequence[str]) -> dict[str, bytes]:
            return self.fetch(digests, pace=pace)

        return snapshots.load(manifest, fetch, previous=previous)

    def fetch(
        self, digests: typing.Sequence[str], *, pace: Pace | None = None
    ) -> dict[str, bytes]:
        """Read parts: a call each, or by prefixes where they are many."""
        if len(digests) < _BULK_PARTS:
            return self._fetch_each(digests, pace)
        starts = ('',) if len(digests) <= _FEW_PARTS else _HEX_DIGITS
        wanted = set(digests)
        found = {}
        for start in starts:
            _wait(pace)
            for entry in self.list_parts(start):
                digest = self.get_digest(entry)
                if digest in wanted:
                    found[digest] = entry.value
        return found

    def _fetch_each(
        self, digests: typing.Sequence[str], pace: Pace | None
    ) -> dict[str, bytes]:
        found = {}
        for digest in digests:
            _wait(pace)
            entry = self._client.get(self._parts_prefix + digest)
            if entry is not None:
                found[digest] = entry.value
        return found

    def list_parts(self, start: str) -> list[keyvalue.Entry]:
        """Return the stored parts whose digests start so."""
        return self._client.read_prefix(self._parts_prefix + start)

    def get_digest(self, entry: keyvalue.Entry) -> str:
        """Return the digest that a stored part's key names."""
        return entry.key.removeprefix(self._parts_prefix)

    def delete_part(self, entry: keyvalue.Entry) -> bool:
        """Delete a part unless it was written again since it was listed."""
        return self._client.delete(entry.key, expected=entry.revision)

    def swap_manifest(
        self, manifest: manifests.Manifest, *, expected: int
    ) -> bool:
        """Swap the manifest once; returns whether the comparison held."""
        data = manifests.encode_manifest(manifest)
        revision = self._client.swap(
            self._manifest_key, data, expected=expected
        )
        return revision is not None

    def publish(
        self,
        whole: document.Document,
        stored: StoredManifest,
        *,
        author: str,
        version: int,
        submission: str = '',
        previous: snapshots.Snapshot | None = None,
    ) -> snapshots.Snapshot | None:
        """Write a version's parts, then swap the manifest.

        Parameters
        ----------
        stored : StoredManifest
            What was read before: the swap holds only against it.
        version : int
            The new version's number.
        previous : Snapshot or None
            The stored version, if it is at hand.

        Returns
        -------
        Snapshot or None
            The accepted version, or None where another writer was first.

        Raises
        ------
        ConfigurationRefused
            Surely not applied, with the reason.
        ConfigurationUnknown
            The swap's answer was lost, and reading did not settle it.
        """
        present = self._read_index(stored, previous)
        index_part, index, contents = snapshots.cut(whole, present)
        accepted = manifests.Acceptance(
            version=version,
            submission=submission or uuid.uuid4().hex,
            author=author,
            time=round(time.time(), 3),
            index=index_part.digest,
        )
        manifest = manifests.Manifest(accepted=accepted)
        if stored.manifest is not None:
            manifest = stored.manifest.follow(accepted)
        snapshot = snapshots.Snapshot(
            manifest=manifest,
            index_part=index_part,
            index=index,
            contents=contents,
        )
        self._write_parts(snapshot, stored, present)
        return snapshot if self._settle(manifest, stored) else None

    def _read_index(
        self, stored: StoredManifest, previous: snapshots.Snapshot | None
    ) -> manifests.Index | None:
        if stored.manifest is None:
            return None
        digest = stored.manifest.accepted.index
        if previous is not None and previous.index_part.digest == digest:
            return previous.index
        found = self._retry(lambda: self.fetch([digest]))
        if digest not in found:
            return None
        return manifests.decode_index(digest, found[digest])

    def _write_parts(
        self,
        snapshot: snapshots.Snapshot,
        stored: StoredManifest,
        present: manifests.Index | None,
    ) -> None:
        """Write every part that the manifest read before does not name."""
        referenced = _list_referenced(stored, present)
        needed = [
            part
            for part in [*snapshot.parts.values(), snapshot.index_part]
            if part.digest not in referenced
        ]

        def write(part: parts.Part) -> None:
            self._write_part(part, stored.revision)

        writers = pool.Pool(_WRITERS)
        for _ in writers.imap_unordered(write, needed):
            pass

    def _write_part(self, part: parts.Part, since: int) -> None:
        """Make sure of a part that was written after the manifest was read.

        One that is there from before is written again: a collector may have
        listed it as unreferenced, and deletes it only at the revision that
        it listed. One whose revision is above the manifest's is safe as it
        is: whoever lists it must then swap the manifest, and our own swap
        fails. (The service counts one revision for all keys.)
        """
        key = self._parts_prefix + part.digest
        tries = iter(range(_ATTEMPTS))

        def write() -> None:
            # After a lost answer a read tells whether the write is there.
            present = self._client.get(key) if next(tries) else None
            while present is None or present.revision <= since:
                expected = present.revision if present is not None else 0
                if self._client.swap(key, part.data, expected=expected):
                    return
                present = self._client.get(key)

        self._retry(write)

    def _settle(
        self, manifest: manifests.Manifest, stored: StoredManifest
    ) -> bool:
        """Swap the manifest and find out what became of it.

        A lost answer says nothing: the swap may have taken effect, or may
        yet. Once the manifest has moved on it can't any more, and the
        submission's id, there or not there, is the whole truth. Until then
        the very same swap is sent again, which is harmless, since at most
        one of them can hold.
        """
        submission = manifest.accepted.submission
        for attempt in range(_ATTEMPTS):
            try:
                outcome = self._look(manifest, stored) if attempt else None
                if outcome is None:
                    if self.swap_manifest(manifest, expected=stored.revision):
                        return True
                    outcome = self._look(manifest, stored)
                if outcome is not None:
                    return outcome
            except (
                errors.PlatformUnavailable,
                errors.PlatformRefused,
            ) as error:
                if attempt == 0:
                    raise _refuse(error) from None
            except errors.PlatformError:
                pass
            self._back_off(attempt)
        raise errors.ConfigurationUnknown(
            f'version {manifest.version} may have been accepted: the '
            'key-value service took the submission and its answer was lost. '
            f'Look in the history for the submission {submission}: if it is '
            'there it is in force, and if a higher version is there without '
            'it, it never will be',
            submission=submission,
            version=manifest.version,
        )

    def _look(
        self, manifest: manifests.Manifest, stored: StoredManifest
    ) -> bool | None:
        """Read whether a swap held; None: it may yet.

        The history is long enough for a plain answer unless many versions
        were accepted in between.
        """
        current = self.read_manifest()
        if current.manifest is None or current.revision == stored.revision:
            return None
        submission = manifest.accepted.submission
        if current.manifest.find_submission(submission) is not None:
            return True
        known = current.manifest.list_versions()
        if len(known) <= manifests.HISTORY_VERSIONS:
            return False
        if current.manifest.find_version(stored.version) is not None:
            return False
        raise errors.AnswerLost('the history is too short to tell')

    def _back_off(self, attempt: int) -> None:
        most = self._backoff_seconds * 2**attempt
        gevent.sleep(random.uniform(0, most))

    def _retry(self, call: typing.Callable[[], _Result]) -> _Result:
        """Repeat a call that may be repeated, before the manifest's swap."""
        for attempt in range(_ATTEMPTS):
            try:
                return call()
            except errors.PlatformError as error:
                last = error
                self._back_off(attempt)
        raise _refuse(last)


def _list_referenced(
    stored: StoredManifest, index: manifests.Index | None
) -> set[str]:
    if stored.manifest is None or index is None:
        return set()
    return {stored.manifest.accepted.index, *index.digests}


def _wait(pace: Pace | None) -> None:
    if pace is not None:
        gevent.sleep(random.uniform(0, pace()))


def _refuse(error: errors.PlatformError) -> errors.ConfigurationRefused:
    return errors.ConfigurationRefused(
        'service_unavailable',
        f'the key-value service gave no answer, and nothing was applied: '
        f'what is in force stays in force. Submit again once the service is '
        f'back ({error})',
    )
