"""Follows the platform's store: configuration, backend servers, instances.

One long poll over all keys serves the three: each call is priced, and a
waiting one counts as one call, however many keys it covers. Where a failure
domain has more than two instances, two poll and pass on what they hear.
"""

import contextlib
import logging
import random as random_

import gevent

from amaranthslip.capacity import directory as directory_module
from amaranthslip.configuration import document
from amaranthslip.configuration import freshness as freshness_module
from amaranthslip.configuration import holder as holder_module
from amaranthslip.configuration import messages
from amaranthslip.configuration import relaying as relaying_module
from amaranthslip.configuration import staleness as staleness_module
from amaranthslip import errors
from amaranthslip import metrics as metrics_module
from amaranthslip import pauses as pauses_module
from amaranthslip.platform import backends
from amaranthslip.platform import configurations
from amaranthslip.platform import instances
from amaranthslip.platform import keyvalue
from amaranthslip import settings as settings_module

_LOG = logging.getLogger(__name__)

# Seconds that an instance listens for others before it watches: one that
# does not know them yet takes itself for the only watcher.
_ALONE_SECONDS = 1.5


class Follower:
    """Keeps what the store says in force on this instance.

    Parameters
    ----------
    settings : Settings
        `bounds`, `platform.poll_seconds` and `platform.prefix` are used.
    key_value : KeyValue
        The client of the store.
    holder : Holder
        Where configuration versions come into force.
    directory : Directory
        Gets the backend servers' entries.
    instance_list : StoredInstances
        Gets the entries of this fleet's instances.
    freshness : Freshness
        Told up to when all changes are in force.
    relaying : Relaying
        Passes changes on, or says that others will.
    metrics : Metrics
        Counts `configuration` events.
    random : random.Random
        Jitter of the backoff.
    pauses : Pauses
        How it waits.
    """

    __slots__ = (
        '_staleness',
        '_key_value',
        '_holder',
        '_directory',
        '_instances',
        '_freshness',
        '_relaying',
        '_metrics',
        '_random',
        '_revision',
        '_lost',
        '_pauses',
        '_missed',
        '_relies',
        '_started',
        '_exits',
    )

    def __init__(
        self,
        settings: settings_module.Settings,
        key_value: keyvalue.KeyValue,
        holder: holder_module.Holder,
        directory: directory_module.Directory,
        instance_list: instances.StoredInstances,
        freshness: freshness_module.Freshness,
        relaying: relaying_module.Relaying,
        metrics: metrics_module.Metrics,
        *,
        random: random_.Random | None = None,
        pauses: pauses_module.Pauses | None = None,
    ) -> None:
        self._staleness = staleness_module.Staleness(settings)
        self._key_value = key_value
        self._holder = holder
        self._directory = directory
        self._instances = instance_list
        self._freshness = freshness
        self._relaying = relaying
        self._metrics = metrics
        self._random = random or random_.Random()
        # Of the store, up to which all is known here; None: nothing is.
        self._revision: int | None = None
        self._lost = False
        self._pauses = pauses or pauses_module.Pauses()
        # Whether changes passed on began after what is known here.
        self._missed = False
        # Whether a watcher has proved itself since this one last had to ask.
        self._relies = True
        self._started = freshness.read_clock()
        self._exits = contextlib.ExitStack()

    @property
    def reaches_store(self) -> bool:
        """Whether the last call to the store was answered."""
        return not self._lost

    @property
    def revision(self) -> int | None:
        """Up to which of the store's revisions all is known; None: none."""
        return self._revision

    def start(self) -> None:
        """Begin to follow."""
        self._exits.callback(gevent.spawn(self._run).kill)

    def close(self) -> None:
        """Stop following."""
        self._exits.close()

    def _run(self) -> None:
        while True:
            try:
                self.step()
            except errors.PlatformError as error:
                self._note_loss(error)
                self._back_off()
            except Exception:
                # Whatever one answer held, the next must still be asked
                # for: an instance that stopped following would go on with
                # revoked keys until they age out, and then refuse all.
                _LOG.exception('follow_failed')
                self._revision = None
                self._back_off()

    def _back_off(self) -> None:
        # Drawn, so that instances that lost the store together don't come
        # back to it together.
        self._pauses.sleep(
            self._random.uniform(
                self._staleness.least_backoff_seconds,
                self._staleness.most_backoff_seconds,
            )
        )

    def step(self) -> None:
        """Read all, or wait for the next changes; one turn of the loop.

        Raises
        ------
        PlatformError
            The store gave no usable answer.
        """
        if self._revision is None:
            self._read_all()
            return
        try:
            if self._watches():
                self._pass_on(*self._poll())
            elif self.needs_poll:
                # Waiting there costs half of what asking each second does,
                # and tells of changes as they come: a listener whose watchers
                # are gone else sent to servers that had said that they leave.
                self._relies = False
                self._gather(self._poll()[1])
            else:
                self._listen()
        except errors.HistoryLost:
            _LOG.warning(
                'store_history_lost', extra={'revision': self._revision}
            )
            self._revision = None

    def _read_all(self) -> None:
        asked = self._freshness.read_clock()
        # One call for all: three, at the start of every instance, were a
        # quarter of what a fleet of 85 asks of the store in its first minute.
        read = self._key_value.read_entries('')
        self._note_answer()
        servers, listed = [], []
        for entry in read.entries:
            if entry.key == configurations.KEY:
                self._take_configuration(entry)
            elif entry.key.startswith(self._instances.prefix):
                listed.append(entry)
            elif entry.key.startswith(backends.PREFIX):
                server = self._read_server(entry)
                if server is not None:
                    servers.append(server)
        self._directory.replace(servers)
        self._instances.replace(listed)
        # What changed while it was read is told by the first poll.
        self._revision = read.revision
        self._confirm(asked)

    def _watches(self) -> bool:
        if not self._relaying.is_watcher:
            return False
        since = self._freshness.read_clock() - self._started
        return since >= _ALONE_SECONDS

    @property
    def needs_poll(self) -> bool:
        """Whether a listener has to ask the store itself.

        Its knowledge grows old where its watchers are lost, frozen or cut
        off, from the store or from here: however that comes, only the age
        counts. It then goes on asking until a watcher echoes one of its
        stamps again.
        """
        return (
            self._missed
            or not self._relies
            or not self._relaying.has_watcher
            or self._freshness.age >= self._staleness.ask_seconds
        )

    def take_stamp(self, sender: str, message: messages.StoreStamp) -> None:
        """Keep a listener's stamp, to echo it with what is known later."""
        self._relaying.take_stamp(sender, message)

    def take_loss(self, sender: str) -> None:
        """Take it that a watcher does not reach the store."""
        self._relaying.note_lost(sender)
        self._pauses.wake()

    def _listen(self) -> None:
        self._relaying.send_stamp()
        # Not a moment longer than what is known may be old.
        left = self._staleness.ask_seconds - self._freshness.age
        self._pauses.wait(min(self._staleness.stamp_seconds, left))

    def take_changes(
        self, sender: str, message: messages.StoreChanges
    ) -> None:
        """Take what a watcher passed on."""
        self._relaying.note_reached(sender)
        if self._revision is None:
            return
        if message.after > self._revision:
            # Something between was not passed on, or came after this.
            self._missed = True
            self._pauses.wake()
            return
        for each in message.entries:
            if each.revision > self._revision:
                value = None if each.deleted else each.value
                self._take(keyvalue.Entry(each.key, value, each.revision))
        self._revision = max(self._revision, message.revision)
        if message.echo:
            # All changes of before the stamp are among these, and this one
            # knows at least as many.
            self._confirm(message.echo / 1000)
            if self._freshness.age < self._staleness.ask_seconds:
                self._relies = True

    def _poll(self) -> tuple[int, keyvalue.Entries]:
        """Wait for changes, and take them; return from where on, and which."""
        wait_seconds = self._staleness.choose_poll(
            self._freshness.age,
            passes_on=self._watches() and self._relaying.has_listeners,
        )
        asked = self._freshness.read_clock()
        after = self._revision
        changed = self._key_value.poll(
            '', after=after, wait_seconds=wait_seconds
        )
        self._note_answer()
        for entry in changed.entries:
            # What was passed on meanwhile may be newer than this answer.
            if entry.revision > self._revision:
                self._take(entry)
        self._revision = max(changed.revision, self._revision)
        self._missed = False
        took = self._freshness.read_clock() - asked
        if not changed.entries and took >= wait_seconds:
            # The store held an empty answer back for all of its wait. It is
            # counted from the question: the answer may have been long on
            # its way, behind a partition.
            asked += wait_seconds
        self._confirm(asked)
        return after, changed

    def _pass_on(self, after: int, changed: keyvalue.Entries) -> None:
        entries = [
            messages.StoreEntry(
                key=each.key,
                deleted=each.value is None,
                value=each.value or b'',
                revision=each.revision,
            )
            for each in changed.entries
        ]
        self._relaying.pass_on(after, changed.revision, entries)
        self._gather(changed)

    def _gather(self, changed: keyvalue.Entries) -> None:
        """Let what changes together be told together, by one call."""
        if changed.entries:
            self._pauses.sleep(self._staleness.gather_seconds)

    def _confirm(self, at: float) -> None:
        if self._holder.ready:
            self._freshness.confirm(at)

    def _take(self, entry: keyvalue.Entry) -> None:
        if entry.key == configurations.KEY:
            self._take_configuration(entry)
        elif entry.key.startswith(backends.PREFIX):
            self._take_server(entry)
        elif entry.key.startswith(self._instances.prefix):
            self._instances.take(entry)

    def _take_configuration(self, entry: keyvalue.Entry) -> None:
        if entry.value is None:
            return
        try:
            document = configurations.read_document(entry.value)
        except errors.ConfigurationDamaged as error:
            self._metrics.count('configuration', 'damaged')
            _LOG.error('configuration_unreadable', extra={'error': error})
            return
        if self._holder.apply(document):
            self._metrics.count('configuration', 'applied')
            self._metrics.set_gauge(
                'configuration_version', 'in_force', document.version
            )
            _LOG.info(
                'configuration_in_force',
                extra={
                    'version': document.version,
                    'revision': entry.revision,
                    'routes': len(document.routes),
                    'client_accounts': len(document.client_accounts),
                },
            )

    def _take_server(self, entry: keyvalue.Entry) -> None:
        name = entry.key.removeprefix(backends.PREFIX)
        if entry.value is None:
            self._directory.remove(name)
            return
        server = self._read_server(entry)
        if server is None:
            self._directory.remove(name)
        else:
            self._directory.put(server)

    def _read_server(
        self, entry: keyvalue.Entry
    ) -> document.ListedServer | None:
        """Return the backend server of an entry; None: it can't be read."""
        server = backends.read_backend_server(entry.key, entry.value)
        if server is None:
            self._metrics.count('configuration', 'server_unreadable')
            _LOG.warning(
                'backend_server_unreadable',
                extra={'key': entry.key, 'revision': entry.revision},
            )
        return server

    def _note_loss(self, error: errors.PlatformError) -> None:
        if not self._lost:
            self._lost = True
            _LOG.warning('store_lost', extra={'error': error})
            if self._watches():
                self._relaying.tell_lost()

    def _note_answer(self) -> None:
        if self._lost:
            self._lost = False
            self._directory.note_return()
            _LOG.info(
                'store_regained', extra={'age': round(self._freshness.age, 3)}
            )
