"""Follows the platform's store: configuration, backend servers, instances.

One long poll over all keys serves the three: each call is priced, and a
waiting one counts as one call, however many keys it covers. Where a failure
domain has more than two instances, two poll and pass on what they hear.
"""

import contextlib
import logging
import random as random_

import gevent
from gevent import event

from amaranthslip.capacity import directory as directory_module
from amaranthslip.configuration import document
from amaranthslip.configuration import freshness as freshness_module
from amaranthslip.configuration import holder as holder_module
from amaranthslip.configuration import messages
from amaranthslip.configuration import relaying as relaying_module
from amaranthslip import errors
from amaranthslip import metrics as metrics_module
from amaranthslip.platform import backends
from amaranthslip.platform import configurations
from amaranthslip.platform import instances
from amaranthslip.platform import keyvalue
from amaranthslip import settings as settings_module

_LOG = logging.getLogger(__name__)

# Seconds that a watcher waits after a change before it asks for the next:
# what changes together is then told together. Entries of 85 instances that
# start at once would else be 85 calls of each watcher.
_GATHER_SECONDS = 0.15
# The part of the time in which a new version must be in force that a poll may
# wait. Knowledge is as old as the last poll's end, and a listener's half a
# second older; it must be younger than the whole, see `entry.routed`.
_POLL_PART = 0.6
# Seconds between a listener's stamps, which its watchers answer, and without
# any answer at which it asks the store itself. Half of the two seconds in
# which a version has to be in force: watchers that were killed are believed
# alive for longer than that.
_STAMP_SECONDS = 0.4
_SILENT_SECONDS = 1.0
# The age of a listener's knowledge at which it asks the store itself although
# its watchers answer: two polls of both came to nothing.
_STALE_SECONDS = 3.0
# Seconds beyond the wait of its own poll after which a watcher's knowledge is
# no longer sound, and it answers no stamps.
_LATE_SECONDS = 0.8
# Seconds that an instance listens for others before it watches: one that
# does not know them yet takes itself for the only watcher.
_ALONE_SECONDS = 1.5
# Seconds between calls while the store fails: drawn between these, so that
# instances that lost it together don't come back together. 85 instances make
# some 250 calls a second, an eighth of what the smallest store takes.
_LEAST_BACKOFF_SECONDS = 0.2
_MOST_BACKOFF_SECONDS = 0.5


class Follower:
    """Keeps what the store says in force on this instance.

    Parameters
    ----------
    settings : Settings
        `platform.poll_seconds` and `platform.prefix` are used.
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
    """

    __slots__ = (
        '_settings',
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
        '_heard',
        '_heard_at',
        '_missed',
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
    ) -> None:
        self._settings = settings
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
        self._heard = event.Event()
        self._heard_at = float('-inf')
        # Whether changes passed on began after what is known here.
        self._missed = False
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
                gevent.sleep(
                    self._random.uniform(
                        _LEAST_BACKOFF_SECONDS, _MOST_BACKOFF_SECONDS
                    )
                )
            except Exception:
                # Whatever one answer held, the next must still be asked
                # for: an instance that stopped following would go on with
                # revoked keys until they age out, and then refuse all.
                _LOG.exception('follow_failed')
                self._revision = None
                gevent.sleep(_MOST_BACKOFF_SECONDS)

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
                self._poll()
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
        """Whether a listener has to ask the store itself."""
        silent = self._freshness.read_clock() - self._heard_at
        return (
            self._missed
            or silent > _SILENT_SECONDS
            or self._freshness.age > _STALE_SECONDS
        )

    def take_stamp(self, sender: str, message: messages.StoreStamp) -> None:
        """Keep a listener's stamp, and answer it if this one is up to date.

        The answer says no more than that a change would have been passed
        on: this instance runs, its poll is sound, and the link carries.
        """
        self._relaying.take_stamp(sender, message)
        sound = self._choose_wait() + _LATE_SECONDS
        if self._revision is not None and self._freshness.age < sound:
            self._relaying.answer(sender, self._revision)

    def _listen(self) -> None:
        self._relaying.send_stamp()
        self._heard.clear()
        self._heard.wait(_STAMP_SECONDS)

    def take_changes(self, message: messages.StoreChanges) -> None:
        """Take what a watcher passed on."""
        if self._revision is None:
            return
        if message.revision >= self._revision:
            self._heard_at = self._freshness.read_clock()
        if message.after > self._revision:
            # Something between was not passed on, or came after this.
            self._missed = True
            self._heard.set()
            return
        for each in message.entries:
            if each.revision > self._revision:
                value = None if each.deleted else each.value
                self._take(keyvalue.Entry(each.key, value, each.revision))
        self._revision = max(self._revision, message.revision)
        if message.echo and message.revision == self._revision:
            self._confirm(message.echo / 1000)

    def _poll(self) -> tuple[int, keyvalue.Entries]:
        """Wait for changes, and take them; return from where on, and which."""
        wait_seconds = self._choose_wait()
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
        self._heard_at = asked
        took = self._freshness.read_clock() - asked
        if not changed.entries and took >= wait_seconds:
            # The store held an empty answer back for all of its wait. It is
            # counted from the question: the answer may have been long on
            # its way, behind a partition.
            asked += wait_seconds
        self._confirm(asked)
        return after, changed

    def _choose_wait(self) -> float:
        """Return the seconds that a poll waits for changes."""
        apply_seconds = self._settings.bounds.apply_milliseconds / 1000
        return min(
            self._settings.platform.poll_seconds, _POLL_PART * apply_seconds
        )

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
        if entries:
            gevent.sleep(_GATHER_SECONDS)

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

    def _note_answer(self) -> None:
        if self._lost:
            self._lost = False
            self._directory.note_return()
            _LOG.info(
                'store_regained', extra={'age': round(self._freshness.age, 3)}
            )
