"""Brings each accepted version into force on every instance.

Three ways run side by side, so that no single one has to work:

- a few watchers per failure domain watch the manifest, with a slow check
  read behind, because a watch may silently stop (`watching`);
- whoever takes a version tells a few random peers, which pull it from the
  teller and tell on;
- the probes between members carry the version in force, so that whoever
  missed the telling pulls it within about a second.
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
from amaranthslip import metrics as metrics_module
from amaranthslip import settings as settings_module

_LOG = logging.getLogger(__name__)

# Telling at random: each teller picks three peers, three times. A peer is
# missed by all of them with a chance of about e^-9, one in 8,000; probes
# find the rest.
_TOLD_PEERS = 3
_TELL_ROUNDS = 3
_TELL_SECONDS = 0.3

# A start without memory: so many peers must have said what they have.
_ENOUGH_PEERS = 3
_ASKED_PEERS = 5
_ASK_SECONDS = 0.5


class SpreadStatus:
    """What health, status pages and operators want to know.

    `store_outdated` means that the key-value service holds a lower version
    than is in force, `forked` that two documents have one number: see
    docs/configuration.md for what to do.
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


class Spread:
    """Keeps one instance's version the highest that the fleet has.

    Parameters
    ----------
    settings : Settings
        `instance.name` is this instance among the roster's.
    holder : Holder
        Where versions come into force.
    store : Store
        The versions in the key-value service.
    roster : Roster
        Who is alive.
    outbox : Outbox
        Where messages to peers go.
    metrics : Metrics
        Counts `configuration` events.
    """

    __slots__ = (
        '_name',
        '_roster',
        '_outbox',
        '_metrics',
        '_versions',
        '_watching',
        '_puller',
        '_told',
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
        self._watching = watching.Watching(
            self._name,
            self._versions,
            store,
            watchers.Watchers(roster),
            metrics,
        )
        self._puller = pulling.Puller(outbox)
        self._told: dict[str, int] = {}
        self._wake = event.Event()
        self._stack = contextlib.ExitStack()

    def start(self) -> None:
        """Begin to look for the version in force."""
        for loop in (
            self._catch_up,
            self._tell_on,
            self._watching.keep_watching,
            self._watching.keep_checking,
            self._watching.keep_collecting,
        ):
            self._stack.callback(gevent.spawn(loop).kill)

    def close(self) -> None:
        """Stop; what is in force stays so."""
        self._stack.close()

    def describe(self) -> SpreadStatus:
        """Return the present state."""
        return SpreadStatus(
            version=self._versions.version,
            submission=self._versions.submission,
            ready=self._versions.holder.ready,
            watching=self._watching.is_watcher(),
            store_version=self._watching.stored_version,
            store_outdated=self._watching.outdated,
            forked=self._versions.forked,
        )

    def accept(self, snapshot: snapshots.Snapshot) -> bool:
        """Put a version in force here, and tell peers; False: not higher."""
        return self._versions.accept(snapshot)

    def heard_version(self, peer: str, version: int) -> None:
        """Note which version a peer has; a higher one is pulled."""
        if self._versions.version and version <= self._versions.version:
            self._told.pop(peer, None)
            return
        self._told[peer] = version
        if version:
            self._wake.set()

    def receive(self, sender: str, message: object) -> None:
        """Take one of this folder's messages from a peer.

        Raises
        ------
        MessageInvalid
            The message belongs to another part.
        """
        _handle(message, self, sender)

    def answer(self, sender: str, message: object) -> None:
        """Send a peer what it asked for; it asks again if that is lost."""
        self._outbox.send(sender, message)

    @property
    def versions(self) -> versions.Versions:
        """The versions at hand."""
        return self._versions

    @property
    def puller(self) -> pulling.Puller:
        """The conversation that answers belong to."""
        return self._puller

    def _catch_up(self) -> None:
        self._find_first()
        while True:
            self._wake.wait()
            self._wake.clear()
            self._pull_highest()

    def _pull_highest(self) -> bool:
        return any(self._pull_from(peer) for peer in self._list_ahead())

    def _list_ahead(self) -> list[str]:
        version = self._versions.version
        ahead = [peer for peer, told in self._told.items() if told > version]
        random.shuffle(ahead)
        return sorted(ahead, key=lambda peer: -self._told[peer])

    def _pull_from(self, peer: str) -> bool:
        # Told only once: a peer that could not deliver tells again with its
        # next probe, and is not asked in a loop until then.
        version = self._told.pop(peer, 0)
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

    def _find_first(self) -> None:
        """Find a version to start with, after a start without memory.

        One lagging peer must not decide, or this instance would serve an
        old version: several peers are asked, and the highest is taken.
        Peers that have none count as asked. Where too few answer, only the
        key-value service decides, and until it does nothing is in force:
        the instance is not ready.
        """
        may_read = time.monotonic() + self._watching.choose_start()
        while not self._versions.version:
            self._ask_peers()
            gevent.sleep(random.uniform(0.5, 1) * _ASK_SECONDS)
            if self._is_enough_told() and self._pull_first():
                continue
            if time.monotonic() < may_read or not self._watching.is_watcher():
                continue
            # Peers are asked on meanwhile: they may be back sooner.
            may_read = time.monotonic() + self._watching.choose_wait()
            self._read_first()

    def _pull_first(self) -> bool:
        """Pull the highest version told, and no lower one if that fails.

        Otherwise a lagging peer would decide whenever the others are slow.
        """
        ahead = self._list_ahead()
        highest = self._told[ahead[0]] if ahead else 0
        first = [peer for peer in ahead if self._told[peer] == highest]
        return any(self._pull_from(peer) for peer in first)

    def _ask_peers(self) -> None:
        others = self._list_others()
        asked = random.sample(others, min(_ASKED_PEERS, len(others)))
        for peer in asked:
            self._outbox.send(peer, messages.VersionRequest(version=0))

    def _list_others(self) -> list[str]:
        live = self._roster.live()
        return [each.name for each in live if each.name != self._name]

    def _is_enough_told(self) -> bool:
        others = self._list_others()
        answered = sum(peer in self._told for peer in others)
        return 0 < min(_ENOUGH_PEERS, len(others)) <= answered

    def _read_first(self) -> None:
        """Read the service, and prefer a peer that has a higher version."""
        stored = self._watching.read()
        if stored is None or stored.manifest is None:
            return
        ahead = self._list_ahead()
        if ahead and self._told[ahead[0]] > stored.version:
            self._pull_first()
            return
        self._watching.load(stored.manifest)

    def _tell_on(self) -> None:
        news = self._versions.news
        while True:
            news.wait()
            news.clear()
            for _ in range(_TELL_ROUNDS):
                self._tell_some()
                gevent.sleep(random.uniform(0.5, 1) * _TELL_SECONDS)

    def _tell_some(self) -> None:
        others = self._list_others()
        notice = self._versions.make_notice()
        for peer in random.sample(others, min(_TOLD_PEERS, len(others))):
            self._outbox.send(peer, notice)


@functools.singledispatch
def _handle(message: object, spread: Spread, sender: str) -> None:
    raise errors.MessageInvalid(
        f'{type(message).__name__} is no message about the configuration; '
        'hand it to the part it belongs to'
    )


@_handle.register
def _(message: messages.VersionRequest, spread: Spread, sender: str) -> None:
    spread.answer(sender, spread.versions.make_notice())


@_handle.register
def _(message: messages.VersionNotice, spread: Spread, sender: str) -> None:
    spread.heard_version(sender, message.version)
    if message.version:
        spread.versions.compare(message.version, message.submission)


@_handle.register
def _(message: messages.ManifestRequest, spread: Spread, sender: str) -> None:
    spread.answer(sender, spread.versions.make_manifest_answer())


@_handle.register
def _(message: messages.PartRequest, spread: Spread, sender: str) -> None:
    answer = spread.versions.make_part_answer(message.digest)
    spread.answer(sender, answer)


@_handle.register(messages.ManifestAnswer)
@_handle.register(messages.PartAnswer)
def _(message: object, spread: Spread, sender: str) -> None:
    spread.puller.receive(sender, message)
