"""Submitting a version: the one way for command line, API and console."""

import typing

from amaranthslip.configuration import differences
from amaranthslip.configuration import document
from amaranthslip.configuration import holder as holder_module
from amaranthslip.configuration import manifests
from amaranthslip.configuration import snapshots
from amaranthslip.configuration import store as store_module
from amaranthslip.configuration import validation
from amaranthslip import errors

# Collections fence writers off; two in one submission's time are rare.
_ROUNDS = 4


class Submission:
    """Validates documents and has them accepted.

    Without a holder (the command line) only the key-value service is
    called; with one (a router) versions that the fleet has in force are
    known even where the service came back with an older one.

    Parameters
    ----------
    store : Store
        Where versions are accepted.
    holder : Holder or None
        The version in force on this instance.
    accepted : callable or None
        Called with the snapshot of each accepted version, to spread it.

    Examples
    --------
    >>> submission = Submission(store)
    >>> submission.submit(values, base=41, author='lan').version
    42
    """

    __slots__ = ('_store', '_holder', '_accepted')

    def __init__(
        self,
        store: store_module.Store,
        *,
        holder: holder_module.Holder | None = None,
        accepted: typing.Callable[[snapshots.Snapshot], object] | None = None,
    ) -> None:
        self._store = store
        self._holder = holder
        self._accepted = accepted

    def submit(
        self,
        values: object,
        *,
        base: int,
        author: str,
        source: str = 'document',
        floor: int = 0,
        submission: str = '',
    ) -> snapshots.Snapshot:
        """Validate a document and have it accepted as the next version.

        Parameters
        ----------
        values : object
            The document as parsed values.
        base : int
            The version that the document was made from; 0 for the first.
        author : str
            Who submits, for the history.
        floor : int
            The highest version that the fleet is known to have in force.
            Matters after the service was restored with an older version:
            the new one's number is then one above the floor, so that every
            instance takes it.
        submission : str
            A random id to find the submission by; one is made if empty.

        Raises
        ------
        SettingsInvalid
            With every mistake of the document.
        ConfigurationConflict
            Another version was accepted since the base.
        ConfigurationRefused
            Surely not applied, with the reason.
        ConfigurationUnknown
            It may have been applied, and how to find out.
        """
        whole = validation.validate(values, source=source)
        if self._holder is not None:
            floor = max(floor, self._holder.document.version)
        for _ in range(_ROUNDS):
            stored = self._read_manifest()
            if base != max(stored.version, floor):
                raise self._make_conflict(whole, stored, base, floor)
            whole.version = base + 1
            snapshot = self._publish(whole, stored, author, submission)
            if snapshot is not None:
                if self._accepted is not None:
                    self._accepted(snapshot)
                return snapshot
        raise errors.ConfigurationRefused(
            'busy',
            'the manifest changed again and again while the parts were '
            'written, and nothing was applied: submit again',
        )

    def load_history(self) -> list[manifests.Acceptance]:
        """Return the versions that the service knows, newest first."""
        stored = self._read_manifest()
        if stored.manifest is None:
            return []
        return stored.manifest.list_versions()

    def load_document(self) -> document.Document:
        """Return the document that the service holds (version 0: none)."""
        stored = self._read_manifest()
        if stored.manifest is None:
            return document.Document()
        return self._load(stored.manifest).document

    def _publish(
        self,
        whole: document.Document,
        stored: store_module.StoredManifest,
        author: str,
        submission: str,
    ) -> snapshots.Snapshot | None:
        try:
            return self._store.publish(
                whole,
                stored,
                author=author,
                version=whole.version,
                submission=submission,
            )
        except errors.ConfigurationDamaged as damage:
            raise errors.ConfigurationRefused('damaged', str(damage)) from None

    def _read_manifest(self) -> store_module.StoredManifest:
        try:
            return self._store.read_manifest()
        except errors.PlatformError as error:
            raise errors.ConfigurationRefused(
                'service_unavailable',
                f'the key-value service did not answer ({error}), and '
                'nothing was applied: submit again once it is back',
            ) from None
        except errors.ConfigurationDamaged as damage:
            raise errors.ConfigurationRefused('damaged', str(damage)) from None

    def _load(self, manifest: manifests.Manifest) -> snapshots.Snapshot:
        try:
            return self._store.load(manifest)
        except errors.PlatformError as error:
            raise errors.ConfigurationRefused(
                'service_unavailable',
                f'the key-value service did not answer ({error}): try again',
            ) from None

    def _make_conflict(
        self,
        whole: document.Document,
        stored: store_module.StoredManifest,
        base: int,
        floor: int,
    ) -> errors.ConfigurationConflict:
        current = max(stored.version, floor)
        present = self._find_present(stored)
        difference = theirs = None
        if present is not None:
            difference = differences.compare(present, whole)
            theirs = self._find_theirs(stored.manifest, base, present)
        return errors.ConfigurationConflict(
            f'this document was made from version {base}, but version '
            f'{current} is accepted: nothing was applied. Read version '
            f'{current}, make the change in it, and submit on top of it',
            base=base,
            current=current,
            difference=difference,
            theirs=theirs,
        )

    def _find_present(
        self, stored: store_module.StoredManifest
    ) -> document.Document | None:
        held = self._holder.document if self._holder is not None else None
        if held is not None and held.version >= stored.version:
            return held
        if stored.manifest is None:
            return None
        try:
            return self._store.load(stored.manifest).document
        except (errors.PlatformError, errors.ConfigurationDamaged):
            return None

    def _find_theirs(
        self,
        manifest: manifests.Manifest | None,
        base: int,
        present: document.Document,
    ) -> differences.Difference | None:
        before = manifest.find_version(base) if manifest is not None else None
        if before is None:
            return None
        try:
            old = self._store.load(manifests.Manifest(accepted=before))
        except (errors.PlatformError, errors.ConfigurationDamaged):
            return None
        return differences.compare(old.document, present)
