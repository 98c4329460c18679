"""The versions that an instance holds, for itself and for its peers."""

import logging

from gevent import event

from amaranthslip.configuration import holder as holder_module
from amaranthslip.configuration import manifests
from amaranthslip.configuration import messages
from amaranthslip.configuration import snapshots
from amaranthslip import metrics as metrics_module

_LOG = logging.getLogger(__name__)


class Versions:
    """The version in force and the previous one, with their parts.

    The previous version is kept for peers that are still pulling it. The
    event `changed` is set when a version comes into force. `forked` is set
    when another document with the number of the version in force was seen.

    Parameters
    ----------
    holder : Holder
        Holds the version in force.
    metrics : Metrics
        Counts `configuration` events.
    """

    __slots__ = ('holder', 'changed', 'forked', '_snapshots', '_metrics')

    def __init__(
        self,
        holder: holder_module.Holder,
        metrics: metrics_module.Metrics,
    ) -> None:
        self.holder = holder
        self.changed = event.Event()
        self.forked = False
        self._snapshots: list[snapshots.Snapshot] = []
        self._metrics = metrics

    @property
    def version(self) -> int:
        """The number of the version in force, 0 if there is none."""
        return self.holder.document.version

    @property
    def snapshot(self) -> snapshots.Snapshot | None:
        """The version in force with its manifest, None if there is none."""
        return self._snapshots[0] if self._snapshots else None

    @property
    def submission(self) -> str:
        """The submission id of the version in force, empty if unknown."""
        snapshot = self.snapshot
        return snapshot.manifest.accepted.submission if snapshot else ''

    def accept(self, snapshot: snapshots.Snapshot) -> bool:
        """Put a version in force; return False if it is not higher."""
        accepted = snapshot.manifest.accepted
        if not self.holder.apply(snapshot.document):
            self.compare(accepted.version, accepted.submission)
            return False
        self._snapshots = [snapshot, *self._snapshots[:1]]
        self.forked = False
        self._metrics.count('configuration', 'applied')
        self._metrics.set_gauge(
            'configuration_version', 'in_force', accepted.version
        )
        _LOG.info(
            'configuration_in_force',
            extra={
                'version': accepted.version,
                'author': accepted.author,
                'submission': accepted.submission,
            },
        )
        self.changed.set()
        return True

    def compare(self, version: int, submission: str) -> None:
        """Report another document with the number of the version in force.

        This happens only if the key-value service was restored with an older
        version and a document was submitted to it without taking the version
        in force into account. An instance can't determine which document is
        the right one, so that neither replaces the other.
        """
        if version != self.version or submission == self.submission:
            return
        self._metrics.count('configuration', 'forked')
        if not self.forked:
            _LOG.error(
                'configuration_forked',
                extra={
                    'version': version,
                    'remedy': 'two documents have this number, because the'
                    ' key-value service was restored with an older version'
                    ' and a document was submitted directly to it. Submit the'
                    ' right document with this version as the base',
                },
            )
        self.forked = True

    def make_notice(self) -> messages.VersionNotice:
        """Return the message that announces the version in force."""
        return messages.VersionNotice(
            version=self.version, submission=self.submission
        )

    def make_manifest_answer(self) -> messages.ManifestAnswer:
        """Return the answer to a peer's request for the manifest."""
        snapshot = self.snapshot
        if snapshot is None:
            return messages.ManifestAnswer(version=0, data=b'')
        return messages.ManifestAnswer(
            version=snapshot.version,
            data=manifests.encode_manifest(snapshot.manifest),
        )

    def make_part_answer(self, digest: str) -> messages.PartAnswer:
        """Return the answer to a peer's request for a part or an index.

        Its data is empty if this instance does not hold the part.
        """
        found = b''
        for snapshot in self._snapshots:
            found = found or snapshot.find_data(digest) or b''
        return messages.PartAnswer(digest=digest, data=found)
