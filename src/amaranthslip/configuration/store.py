"""Storage of versions in the platform's key-value service.

Parts are written first, and the manifest last by compare-and-swap. A writer
that is terminated in between leaves only parts that no manifest references.
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

_MAX_ATTEMPTS = 4
_BACKOFF_SECONDS = 0.1
_CONCURRENT_WRITES = 8
# From `_MIN_PREFIX_READ_PARTS` missing parts on, reading by key prefix needs
# fewer calls than reading each part. Up to `_MAX_SINGLE_READ_PARTS` parts are
# read in one call, and more in sixteen calls, so that each answer stays well
# under a megabyte at 25,000 accounts.
_MIN_PREFIX_READ_PARTS = 4
_MAX_SINGLE_READ_PARTS = 32
_HEX_DIGITS = '0123456789abcdef'

_Result = typing.TypeVar('_Result')
MaxDelay = typing.Callable[[], float]


class StoredManifest:
    """A manifest read from the store, with the revision to swap against."""

    __slots__ = ('manifest', 'revision')

    def __init__(
        self, *, manifest: manifests.Manifest | None, revision: int
    ) -> None:
        self.manifest = manifest
        self.revision = revision

    @property
    def version(self) -> int:
        """The number of the accepted version, 0 if there is none."""
        return self.manifest.version if self.manifest is not None else 0


class Store:
    """Reads and publishes versions.

    Parameters
    ----------
    settings : Settings
        `platform.prefix` is the prefix of all keys.
    client : KeyValue
        A client of the key-value service.
    backoff_seconds : float
        The longest wait before the first retry, in seconds. It doubles with
        each further retry.
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
        """Read the manifest with one call.

        Raises
        ------
        PlatformError
            The key-value service returned no usable answer.
        ConfigurationDamaged
            The value is not a manifest that this release can read.
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
        """Watch the manifest: iterate over those written from now on."""
        with self._client.watch(self._manifest_key) as entries:
            # A deletion has no value and is skipped here. The periodic read of
            # the manifest reports it.
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
        max_delay: MaxDelay | None = None,
    ) -> snapshots.Snapshot:
        """Read the parts of a version that the previous one lacks.

        Parameters
        ----------
        max_delay : callable or None
            Returns the maximum of the random delay before the next call, in
            seconds. The delay spreads the calls of many instances that read
            at the same time.

        Raises
        ------
        PlatformError
            The key-value service returned no usable answer.
        ConfigurationDamaged
            A part is missing or does not match its digest.
        """

        def fetch(digests: typing.Sequence[str]) -> dict[str, bytes]:
            return self.fetch(digests, max_delay=max_delay)

        return snapshots.load(manifest, fetch, previous=previous)

    def fetch(
        self,
        digests: typing.Sequence[str],
        *,
        max_delay: MaxDelay | None = None,
    ) -> dict[str, bytes]:
        """Read a few parts with a call each, and more by key prefix."""
        if len(digests) < _MIN_PREFIX_READ_PARTS:
            return self._fetch_each(digests, max_delay)
        prefixes = (
            ('',) if len(digests) <= _MAX_SINGLE_READ_PARTS else _HEX_DIGITS
        )
        wanted = set(digests)
        found = {}
        for digest_prefix in prefixes:
            _delay_call(max_delay)
            for entry in self.list_parts(digest_prefix):
                digest = self.get_digest(entry)
                if digest in wanted:
                    found[digest] = entry.value
        return found

    def _fetch_each(
        self, digests: typing.Sequence[str], max_delay: MaxDelay | None
    ) -> dict[str, bytes]:
        found = {}
        for digest in digests:
            _delay_call(max_delay)
            entry = self._client.get(self._parts_prefix + digest)
            if entry is not None:
                found[digest] = entry.value
        return found

    def list_parts(self, digest_prefix: str) -> list[keyvalue.Entry]:
        """Return the stored parts whose digests start with a prefix."""
        return self._client.read_prefix(self._parts_prefix + digest_prefix)

    def get_digest(self, entry: keyvalue.Entry) -> str:
        """Return the digest in the key of a stored part."""
        return entry.key.removeprefix(self._parts_prefix)

    def delete_part(self, entry: keyvalue.Entry) -> bool:
        """Delete a part unless it was rewritten since it was listed."""
        return self._client.delete(entry.key, expected=entry.revision)

    def swap_manifest(
        self, manifest: manifests.Manifest, *, expected: int
    ) -> bool:
        """Send one swap of the manifest; return whether it succeeded."""
        data = manifests.encode_manifest(manifest)
        revision = self._client.swap(
            self._manifest_key, data, expected=expected
        )
        return revision is not None

    def publish(
        self,
        full_document: document.Document,
        stored: StoredManifest,
        *,
        author: str,
        version: int,
        submission: str = '',
        previous: snapshots.Snapshot | None = None,
    ) -> snapshots.Snapshot | None:
        """Write the parts of a version, then swap the manifest.

        Parameters
        ----------
        stored : StoredManifest
            The manifest read before, against which the swap is made.
        version : int
            The number of the new version.
        previous : Snapshot or None
            The stored version, if the caller has it in memory.

        Returns
        -------
        Snapshot or None
            The accepted version, or None if the manifest was changed
            meanwhile.

        Raises
        ------
        ConfigurationRefused
            The version was certainly not applied.
        ConfigurationOutcomeUnknown
            The answer to the swap was lost, and reading the manifest did not
            determine the outcome.
        """
        stored_index = self._read_index(stored, previous)
        index_part, index, contents = snapshots.split_document(
            full_document, stored_index
        )
        accepted = manifests.Acceptance(
            version=version,
            submission=submission or uuid.uuid4().hex,
            author=author,
            time=round(time.time(), 3),
            index=index_part.digest,
        )
        manifest = manifests.Manifest(accepted=accepted)
        if stored.manifest is not None:
            manifest = stored.manifest.make_successor(accepted)
        snapshot = snapshots.Snapshot(
            manifest=manifest,
            index_part=index_part,
            index=index,
            contents=contents,
        )
        self._write_parts(snapshot, stored, stored_index)
        return snapshot if self._swap_and_verify(manifest, stored) else None

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
        stored_index: manifests.Index | None,
    ) -> None:
        """Write every part that the stored version does not reference."""
        referenced = _list_referenced(stored, stored_index)
        unwritten = [
            part
            for part in [*snapshot.parts.values(), snapshot.index_part]
            if part.digest not in referenced
        ]

        def write(part: parts.Part) -> None:
            self._write_part(part, stored.revision)

        writers = pool.Pool(_CONCURRENT_WRITES)
        for _ in writers.imap_unordered(write, unwritten):
            pass

    def _write_part(self, part: parts.Part, manifest_revision: int) -> None:
        """Write a part unless it was written after the manifest revision.

        An older part with the same content is rewritten, because a collector
        may have listed it as unreferenced; the collector deletes it only at
        the listed revision. A part whose revision is above that of the
        manifest needs no rewrite: a collector that lists it has to swap the
        manifest before it deletes, which makes the swap of this writer fail.
        The comparison is valid because the service uses one revision counter
        for all keys.
        """
        key = self._parts_prefix + part.digest
        tries = iter(range(_MAX_ATTEMPTS))

        def write() -> None:
            # The first attempt assumes that the part is absent. After a lost
            # answer a read shows whether the write took effect.
            entry = self._client.get(key) if next(tries) else None
            while entry is None or entry.revision <= manifest_revision:
                expected = entry.revision if entry is not None else 0
                if self._client.swap(key, part.data, expected=expected):
                    return
                entry = self._client.get(key)

        self._retry(write)

    def _swap_and_verify(
        self, manifest: manifests.Manifest, stored: StoredManifest
    ) -> bool:
        """Swap the manifest and determine whether the swap succeeded.

        If the answer is lost, the swap may have taken effect or may still do
        so. Once the manifest has another revision it can no longer take
        effect, and whether the manifest lists the submission's id is then
        conclusive. Until then the same swap is sent again. That is safe,
        because at most one of the swaps can succeed.
        """
        submission = manifest.accepted.submission
        for attempt in range(_MAX_ATTEMPTS):
            try:
                outcome = (
                    self._read_swap_outcome(manifest, stored)
                    if attempt
                    else None
                )
                if outcome is None:
                    if self.swap_manifest(manifest, expected=stored.revision):
                        return True
                    outcome = self._read_swap_outcome(manifest, stored)
                if outcome is not None:
                    return outcome
            except (
                errors.PlatformUnavailable,
                errors.PlatformRefused,
            ) as error:
                if attempt == 0:
                    raise _make_refusal(error) from None
            except errors.PlatformError:
                pass
            self._back_off(attempt)
        raise errors.ConfigurationOutcomeUnknown(
            f'version {manifest.version} may have been accepted: the '
            'answer of the key-value service to the submission was lost. '
            f'Look in the history for the submission {submission}: if it is '
            'listed, it was accepted; if a higher version is listed and the '
            'submission is not, it will not be accepted',
            submission=submission,
            version=manifest.version,
        )

    def _read_swap_outcome(
        self, manifest: manifests.Manifest, stored: StoredManifest
    ) -> bool | None:
        """Read whether a swap succeeded; None if it still may.

        Raises
        ------
        AnswerLost
            More versions were accepted since than the history holds, so that
            it can't show whether the swap succeeded.
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
        raise errors.AnswerLost('the history is too short to decide')

    def _back_off(self, attempt: int) -> None:
        max_seconds = self._backoff_seconds * 2**attempt
        gevent.sleep(random.uniform(0, max_seconds))

    def _retry(self, call: typing.Callable[[], _Result]) -> _Result:
        """Retry an idempotent call made before the manifest is swapped."""
        for attempt in range(_MAX_ATTEMPTS):
            try:
                return call()
            except errors.PlatformError as error:
                last = error
                self._back_off(attempt)
        raise _make_refusal(last)


def _list_referenced(
    stored: StoredManifest, index: manifests.Index | None
) -> set[str]:
    if stored.manifest is None or index is None:
        return set()
    return {stored.manifest.accepted.index, *index.digests}


def _delay_call(max_delay: MaxDelay | None) -> None:
    if max_delay is not None:
        gevent.sleep(random.uniform(0, max_delay()))


def _make_refusal(error: errors.PlatformError) -> errors.ConfigurationRefused:
    return errors.ConfigurationRefused(
        'service_unavailable',
        f'the key-value service did not answer, and nothing was applied: '
        f'the version in force stays in force. Submit again when the service '
        f'is available ({error})',
    )
