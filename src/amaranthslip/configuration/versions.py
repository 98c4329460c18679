"""The versions that one instance has at hand, for itself and its peers."""

import logging

from gevent import event

from amaranthslip.configuration import holder as holder_module
from amaranthslip.configuration import manifests
from amaranthslip.configuration import messages
from amaranthslip.configuration import snapshots
from amaranthslip import metrics as metrics_module

_LOG = logging.getLogger(__name__)


class Versions:
    """The version in force with its parts, and the one before.

    The one before is kept for peers that are still pulling it. `news` is
    set with each version that comes into force.

    Parameters
    ----------
    holder : Holder
        Where versions come into force.
    metrics : Metrics
        Counts `configuration` events.
    """

    __slots__ = ('holder', 'news', 'forked', '_snapshots', '_metrics')

    def __init__(
        self,
        holder: holder_module.Holder,
        metrics: metrics_module.Metrics,
    ) -> None:
        self.holder = holder
        self.news = event.Event()
        self.forked = False
        self._snapshots: list[snapshots.Snapshot] = []
        self._metrics = metrics

    @property
    def version(self) -> int:
        """The number of the version in force, 0 where there is none."""
        return self.holder.document.version

    @property
    def snapshot(self) -> snapshots.Snapshot | None:
        """The version in force with its manifest, if there is any."""
        return self._snapshots[0] if self._snapshots else None

    @property
    def submission(self) -> str:
        """The id of the submission that the version in force came of."""
        snapshot = self.snapshot
        return snapshot.manifest.accepted.submission if snapshot else ''

    def accept(self, snapshot: snapshots.Snapshot) -> bool:
        """Put a version in force here; False: it is not a higher one."""
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
        self.news.set()
        return True

    def compare(self, version: int, submission: str) -> None:
        """Report it if another document has the number of the one in force.

        That happens only when the key-value service was restored with an
        older version and somebody submitted to it past the fleet. Which of
        the two is right can't be told here, so neither replaces the other.
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
                    ' and submitted to past the fleet. Submit the right'
                    ' document on top of it',
                },
            )
        self.forked = True

    def make_notice(self) -> messages.VersionNotice:
        """Return what tells peers of the version in force."""
        return messages.VersionNotice(
            version=self.version, submission=self.submission
        )

    def make_manifest_answer(self) -> messages.ManifestAnswer:
        """Return the manifest in force for a peer."""
        snapshot = self.snapshot
        if snapshot is None:
            return messages.ManifestAnswer(version=0, data=b'')
        return messages.ManifestAnswer(
            version=snapshot.version,
            data=manifests.encode_manifest(snapshot.manifest),
        )

    def make_part_answer(self, digest: str) -> messages.PartAnswer:
        """Return a part for a peer, empty where it is not at hand."""
        found = b''
        for snapshot in self._snapshots:
            found = found or snapshot.find_data(digest) or b''
        return messages.PartAnswer(digest=digest, data=found)
