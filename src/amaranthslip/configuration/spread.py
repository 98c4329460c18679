"""Propagation of each accepted version to every instance.

Four mechanisms run in parallel, so that the failure of one is tolerated:

- A few watchers per failure domain watch the manifest. They also read it
  periodically, because a watch may silently stop (`watching`).
- An instance that puts a version in force announces it to a few random
  peers, which pull the version from that instance and announce it in turn.
- The probes between members carry the number of the version in force, so that
  an instance that missed the announcements pulls the version within about a
  second.
- Every few seconds an instance asks a peer for its version. This repairs a
  missed announcement or a failed pull where no probe repairs it, and costs the
  key-value service nothing.
"""

import contextlib
import functools
import logging
import random
import time

import gevent
from gevent import event

from amaranthslip.configuration import holder as holder_module
from amaranthslip.configuration import messages
from amaranthslip.configuration import pulling
from amaranthslip.configuration import snapshots
from amaranthslip.configuration import store as store_module
from amaranthslip.configuration import versions
from amaranthslip.configuration import watchers
from amaranthslip.configuration import watching
from amaranthslip import errors
from amaranthslip.members import probe_targets
from amaranthslip import metrics as metrics_module
from amaranthslip import settings as settings_module

_LOG = logging.getLogger(__name__)

# Gossip: each instance announces a new version to three random peers, three
# times. The chance that a peer receives none of the announcements is about
# e^-9, or one in 8,000; such a peer learns of the version from probes or when
# it asks.
_ANNOUNCED_PEERS = 3
_ANNOUNCE_ROUNDS = 3
_ANNOUNCE_SECONDS = 0.3

# Longest interval between two questions to a peer for its version.
_PEER_CHECK_SECONDS = 10.0

# Start without a version: the number of peers whose answers are required, the
# number of peers queried at a time, and the longest interval between queries.
_REQUIRED_ANSWERS = 3
_QUERIED_PEERS = 5
_QUERY_SECONDS = 0.5


class SpreadStatus:
    """The state shown by health checks, status pages and commands.

    `store_outdated` means that the key-value service holds a version lower
    than the one in force, and `forked` that two documents have the same
    version number. docs/configuration.md describes the remedies.
    """

    __slots__ = (
        'version',
        'submission',
        'ready',
        'watching',
        'store_version',
        'store_outdated',
        'forked',
    )

    def __init__(
        self,
        *,
        version: int,
        submission: str,
        ready: bool,
        watching: bool,
        store_version: int,
        store_outdated: bool,
        forked: bool,
    ) -> None:
        self.version = version
        self.submission = submission
        self.ready = ready
        self.watching = watching
        self.store_version = store_version
        self.store_outdated = store_outdated
        self.forked = forked


class VersionPropagator:
    """Keeps an instance at the highest version of the fleet.

    Parameters
    ----------
    settings : Settings
        `instance.name` is the name of this instance in the roster.
    holder : Holder
        Holds the version in force.
    store : Store
        The versions in the key-value service.
    roster : Roster
        The live members.
    outbox : Outbox
        Sends messages to peers.
    metrics : Metrics
        Counts `configuration` events.
    """

    __slots__ = (
        '_name',
        '_roster',
        '_outbox',
        '_metrics',
        '_versions',
        '_monitor',
        '_puller',
        '_peer_versions',
        '_asked_peer',
        '_wake',
        '_stack',
    )

    def __init__(
        self,
        settings: settings_module.Settings,
        holder: holder_module.Holder,
        store: store_module.Store,
        roster: watchers.Roster,
        outbox: pulling.Outbox,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._name = settings.instance.name
        self._roster = roster
        self._outbox = outbox
        self._metrics = metrics
        self._versions = versions.Versions(holder, metrics)
        self._monitor = watching.StoreMonitor(
            self._name,
            self._versions,
            store,
            watchers.Watchers(roster),
            metrics,
        )
        self._puller = pulling.Puller(outbox)
        self._peer_versions: dict[str, int] = {}
        # The peer that was asked for its version and has not answered yet.
        self._asked_peer = ''
        self._wake = event.Event()
        self._stack = contextlib.ExitStack()

    def start(self) -> None:
        """Start the greenlets that find, announce and check versions."""
        for loop in (
            self._keep_pulling,
            self._announce_versions,
            self._check_peers,
            self._monitor.run_watch,
            self._monitor.run_checks,
            self._monitor.run_collections,
        ):
            self._stack.callback(gevent.spawn(loop).kill)

    def close(self) -> None:
        """Stop the greenlets; the version in force stays in force."""
        self._stack.close()

    def describe(self) -> SpreadStatus:
        """Return the present state."""
        return SpreadStatus(
            version=self._versions.version,
            submission=self._versions.submission,
            ready=self._versions.holder.ready,
            watching=self._monitor.is_watcher(),
            store_version=self._monitor.stored_version,
            store_outdated=self._monitor.outdated,
            forked=self._versions.forked,
        )

    def accept(self, snapshot: snapshots.Snapshot) -> bool:
        """Put a version in force and announce it, if it is higher.

        Returns whether it came into force.
        """
        return self._versions.accept(snapshot)

    def record_peer_version(self, peer: str, version: int) -> None:
        """Record the version of a peer; a higher one is pulled."""
        if self._versions.version and version <= self._versions.version:
            self._peer_versions.pop(peer, None)
            return
        self._peer_versions[peer] = version
        if version:
            self._wake.set()

    def record_notice(self, peer: str, version: int) -> None:
        """Record the version in a peer's announcement or answer."""
        was_asked = peer == self._asked_peer
        if was_asked:
            self._asked_peer = ''
        if was_asked and 0 < self._versions.version < version:
            self._metrics.count('configuration', 'announcement_missed')
            _LOG.info(
                'configuration_announcement_missed',
                extra={'version': version, 'peer': peer},
            )
        self.record_peer_version(peer, version)

    def receive(self, sender: str, message: object) -> None:
        """Handle a message about the configuration from a peer.

        Raises
        ------
        MessageInvalid
            The message is not about the configuration.
        """
        _handle(message, self, sender)

    def answer(self, sender: str, message: object) -> None:
        """Send an answer; a peer repeats its request if the answer is lost."""
        self._outbox.send(sender, message)

    @property
    def versions(self) -> versions.Versions:
        """The versions that this instance holds."""
        return self._versions

    @property
    def puller(self) -> pulling.Puller:
        """The puller, which receives the answers of peers."""
        return self._puller

    def _keep_pulling(self) -> None:
        self._load_first_version()
        while True:
            self._wake.wait()
            self._wake.clear()
            self._pull_highest()

    def _pull_highest(self) -> bool:
        return any(self._pull_from(peer) for peer in self._list_newer_peers())

    def _list_newer_peers(self) -> list[str]:
        version = self._versions.version
        newer_peers = [
            peer
            for peer, peer_version in self._peer_versions.items()
            if peer_version > version
        ]
        random.shuffle(newer_peers)
        return sorted(newer_peers, key=lambda peer: -self._peer_versions[peer])

    def _pull_from(self, peer: str) -> bool:
        # The recorded version is removed, so that a failing peer is not
        # requested again in a loop. Its next probe records it again.
        version = self._peer_versions.pop(peer, 0)
        if version <= self._versions.version:
            return True
        try:
            pulled = self._puller.pull(
                peer, version, previous=self._versions.snapshot
            )
        except errors.ConfigurationDamaged as damage:
            self._metrics.count('configuration', 'pull_failed')
            _LOG.warning(
                'configuration_pull_failed',
                extra={'version': version, 'error': damage},
            )
            return False
        self._metrics.count('configuration', 'pulled')
        self.accept(pulled)
        return True

    def _load_first_version(self) -> None:
        """Obtain the first version after a start.

        Several peers are queried and the highest version is used, because
        relying on a single lagging peer would put an old version in force.
        Answers of peers without a version count as well. If too few peers
        answer, a watcher reads the version from the key-value service, and
        other instances keep querying. Until a version is obtained none is in
        force and the instance is not ready.
        """
        next_read = time.monotonic() + self._monitor.choose_start_delay()
        while not self._versions.version:
            self._query_peers()
            gevent.sleep(random.uniform(0.5, 1) * _QUERY_SECONDS)
            if self._has_enough_answers() and self._pull_first_version():
                continue
            if time.monotonic() < next_read or not self._monitor.is_watcher():
                continue
            # Peers are still queried between reads, because they may become
            # reachable before the key-value service does.
            next_read = time.monotonic() + self._monitor.choose_check_delay()
            self._read_first_version()

    def _pull_first_version(self) -> bool:
        """Pull the highest version of the peers, or none if that fails.

        Falling back to a lower version would put the version of a lagging
        peer in force whenever the other peers are slow.
        """
        newer_peers = self._list_newer_peers()
        highest = self._peer_versions[newer_peers[0]] if newer_peers else 0
        candidates = [
            peer
            for peer in newer_peers
            if self._peer_versions[peer] == highest
        ]
        return any(self._pull_from(peer) for peer in candidates)

    def _query_peers(self) -> None:
        peers = self._list_peers()
        queried = random.sample(peers, min(_QUERIED_PEERS, len(peers)))
        for peer in queried:
            self._outbox.send(peer, messages.VersionRequest(version=0))

    def _check_peers(self) -> None:
        """Ask a peer for its version from time to time.

        A probe target is asked, because the link to it stays open.
        """
        while True:
            gevent.sleep(random.uniform(0.5, 1) * _PEER_CHECK_SECONDS)
            targets = probe_targets.choose(self._name, self._list_peers())
            if targets:
                self._asked_peer = random.choice(targets)
                self._outbox.send(
                    self._asked_peer, messages.VersionRequest(version=0)
                )

    def _list_peers(self) -> list[str]:
        live = self._roster.list_live()
        return [each.name for each in live if each.name != self._name]

    def _has_enough_answers(self) -> bool:
        peers = self._list_peers()
        answered = sum(peer in self._peer_versions for peer in peers)
        return 0 < min(_REQUIRED_ANSWERS, len(peers)) <= answered

    def _read_first_version(self) -> None:
        """Read the store, and prefer a peer that has a higher version."""
        stored = self._monitor.read()
        if stored is None or stored.manifest is None:
            return
        newer_peers = self._list_newer_peers()
        if (
            newer_peers
            and self._peer_versions[newer_peers[0]] > stored.version
        ):
            self._pull_first_version()
            return
        self._monitor.load(stored.manifest)

    def _announce_versions(self) -> None:
        changed = self._versions.changed
        while True:
            changed.wait()
            changed.clear()
            for _ in range(_ANNOUNCE_ROUNDS):
                self._announce_once()
                gevent.sleep(random.uniform(0.5, 1) * _ANNOUNCE_SECONDS)

    def _announce_once(self) -> None:
        peers = self._list_peers()
        notice = self._versions.make_notice()
        for peer in random.sample(peers, min(_ANNOUNCED_PEERS, len(peers))):
            self._outbox.send(peer, notice)


@functools.singledispatch
def _handle(message: object, spread: VersionPropagator, sender: str) -> None:
    raise errors.MessageInvalid(
        f'{type(message).__name__} is not a message about the configuration; '
        'pass it to the component that handles it'
    )


@_handle.register
def _(
    message: messages.VersionRequest, spread: VersionPropagator, sender: str
) -> None:
    spread.answer(sender, spread.versions.make_notice())


@_handle.register
def _(
    message: messages.VersionNotice, spread: VersionPropagator, sender: str
) -> None:
    spread.record_notice(sender, message.version)
    if message.version:
        spread.versions.compare(message.version, message.submission)


@_handle.register
def _(
    message: messages.ManifestRequest, spread: VersionPropagator, sender: str
) -> None:
    spread.answer(sender, spread.versions.make_manifest_answer())


@_handle.register
def _(
    message: messages.PartRequest, spread: VersionPropagator, sender: str
) -> None:
    answer = spread.versions.make_part_answer(message.digest)
    spread.answer(sender, answer)


@_handle.register(messages.ManifestAnswer)
@_handle.register(messages.PartAnswer)
def _(message: object, spread: VersionPropagator, sender: str) -> None:
    spread.puller.receive(sender, message)
