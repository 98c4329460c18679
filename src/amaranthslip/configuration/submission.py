"""Submission of versions by the command line, the API and the console."""

import typing

from amaranthslip.configuration import differences
from amaranthslip.configuration import document
from amaranthslip.configuration import holder as holder_module
from amaranthslip.configuration import manifests
from amaranthslip.configuration import snapshots
from amaranthslip.configuration import store as store_module
from amaranthslip.configuration import validation
from amaranthslip import errors

# The number of attempts. A garbage collection of parts makes the manifest
# swap fail, and two collections during one submission are rare.
_MAX_ATTEMPTS = 4


class Submission:
    """Validates documents and submits them to the store.

    Without a holder, as in the command line, only the key-value service is
    consulted. With a holder, as in a router, the version in force on the
    instance is taken into account as well, which may be higher if the service
    was restored with an older version.

    Parameters
    ----------
    store : Store
        Stores the accepted versions.
    holder : Holder or None
        The version in force on this instance.
    accepted : callable or None
        Called with the snapshot of each accepted version, to propagate it.

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
        """Validate a document and submit it as the next version.

        Parameters
        ----------
        values : object
            The document as parsed values.
        base : int
            The version that the document was made from; 0 for the first.
        author : str
            The name of the submitter, for the history.
        source : str
            The file or request that error messages name.
        floor : int
            The highest version known to be in force in the fleet. After the
            key-value service was restored with an older version it makes the
            new number one above the floor, so that every instance applies the
            new version.
        submission : str
            A random id that identifies the submission; generated if empty.

        Raises
        ------
        SettingsInvalid
            The document has mistakes; all of them are included.
        ConfigurationConflict
            Another version was accepted since the base.
        ConfigurationRefused
            The document was certainly not applied.
        ConfigurationOutcomeUnknown
            The document may have been applied; the message says how to find
            out.
        """
        full_document = validation.validate(values, source=source)
        if self._holder is not None:
            floor = max(floor, self._holder.document.version)
        for _ in range(_MAX_ATTEMPTS):
            stored = self._read_manifest()
            if base != max(stored.version, floor):
                raise self._make_conflict(full_document, stored, base, floor)
            full_document.version = base + 1
            snapshot = self._publish_document(
                full_document, stored, author, submission
            )
            if snapshot is not None:
                if self._accepted is not None:
                    self._accepted(snapshot)
                return snapshot
        raise errors.ConfigurationRefused(
            'busy',
            'the manifest changed repeatedly while the parts were written, '
            'and nothing was applied: submit again',
        )

    def load_history(self) -> list[manifests.Acceptance]:
        """Return the versions that the manifest lists, newest first."""
        stored = self._read_manifest()
        if stored.manifest is None:
            return []
        return stored.manifest.list_versions()

    def load_document(self) -> document.Document:
        """Return the stored document; its version is 0 if there is none."""
        stored = self._read_manifest()
        if stored.manifest is None:
            return document.Document()
        return self._load(stored.manifest).document

    def _publish_document(
        self,
        full_document: document.Document,
        stored: store_module.StoredManifest,
        author: str,
        submission: str,
    ) -> snapshots.Snapshot | None:
        try:
            return self._store.publish(
                full_document,
                stored,
                author=author,
                version=full_document.version,
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
                'nothing was applied: submit again when it is available',
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
        full_document: document.Document,
        stored: store_module.StoredManifest,
        base: int,
        floor: int,
    ) -> errors.ConfigurationConflict:
        current = max(stored.version, floor)
        current_document = self._load_current(stored)
        difference = accepted_changes = None
        if current_document is not None:
            difference = differences.compare(current_document, full_document)
            accepted_changes = self._compare_with_base(
                stored.manifest, base, current_document
            )
        return errors.ConfigurationConflict(
            f'this document was made from version {base}, but version '
            f'{current} is accepted: nothing was applied. Read version '
            f'{current}, make the change in it and submit it with that base',
            base=base,
            current=current,
            difference=difference,
            changes_since_base=accepted_changes,
        )

    def _load_current(
        self, stored: store_module.StoredManifest
    ) -> document.Document | None:
        document_in_force = (
            self._holder.document if self._holder is not None else None
        )
        if (
            document_in_force is not None
            and document_in_force.version >= stored.version
        ):
            return document_in_force
        if stored.manifest is None:
            return None
        try:
            return self._store.load(stored.manifest).document
        except (errors.PlatformError, errors.ConfigurationDamaged):
            return None

    def _compare_with_base(
        self,
        manifest: manifests.Manifest | None,
        base: int,
        current_document: document.Document,
    ) -> differences.Difference | None:
        base_version = (
            manifest.find_version(base) if manifest is not None else None
        )
        if base_version is None:
            return None
        try:
            base_snapshot = self._store.load(
                manifests.Manifest(accepted=base_version)
            )
        except (errors.PlatformError, errors.ConfigurationDamaged):
            return None
        return differences.compare(base_snapshot.document, current_document)
