"""The fleet's instances in the platform's store, as membership seeds.

Besides the leased entries, a key without a lease shows that the fleet has been
started: leases may end while all instances are down, or during an outage of
the store, and a process must not take itself for the first one then.

Each instance writes an entry under a lease. The lease is long, because an
entry only gives an instance's address; members detect by probes which
instances are alive. A lease of a few seconds, renewed by each instance, would
cost store calls for information that the probes already provide.
"""

import json
import logging
import random as random_
import time
import typing

import gevent
from gevent import event

from amaranthslip import errors
from amaranthslip.members import members
from amaranthslip.platform import keyvalue
from amaranthslip.platform import values as stored_values
from amaranthslip import settings as settings_module

_LOG = logging.getLogger(__name__)

_FOLDER = 'instances/'
_STARTED_KEY = 'fleet-started'
# The platform allows at most ten minutes. The entry of a removed instance
# remains for this time, and costs each starting instance one failed
# connection attempt.
_LEASE_SECONDS = 600.0
# Renewals in each lease period, so that a lease survives two failed renewals.
_RENEWALS = 3
_RETRY_SECONDS = 1.0
# Entries that all instances together write again per second, after the store
# was restored from an older copy and may lack them.
_REWRITES_PER_SECOND = 20.0
# How long a starting instance waits for the stored entries before it writes
# its own. A restarted instance then finds its entry, and renewing the lease
# costs the store a twentieth of the two writes.
_INITIAL_READ_TIMEOUT_SECONDS = 2.0


class ListedInstance:
    """An instance as described by its entry in the store."""

    __slots__ = (
        'name',
        'address',
        'failure_domain',
        'region',
        'lease',
        'listed_at',
        'state',
    )

    def __init__(
        self,
        *,
        name: str,
        address: str,
        failure_domain: str,
        region: str,
        lease: int,
        listed_at: float,
    ) -> None:
        self.name = name
        self.address = address
        self.failure_domain = failure_domain
        self.region = region
        # The lease of the entry; 0 if the entry has none.
        self.lease = lease
        # Since when the entry is known here without interruption, in seconds
        # of monotonic time.
        self.listed_at = listed_at
        # An entry does not contain the instance's state.
        self.state = members.MemberState.ALIVE

    def matches(self, member: members.Member) -> bool:
        """Return whether a member has the name and place of this entry."""
        return all(
            getattr(self, name) == getattr(member, name)
            for name in ('name', 'address', 'failure_domain', 'region')
        )


class StoredInstances:
    """Reads the entries of all instances, and writes that of this instance.

    Parameters
    ----------
    settings : Settings
        Keys start with `platform.prefix`.
    key_value : KeyValue
        The client of the store.
    has_follower : bool
        Whether a follower of the store passes the entries in through
        `replace_entries` and `apply_entry`. `read` then makes no call to the
        store.
    random : random.Random
        Source of the jitter of the renewals.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = (
        'prefix',
        '_key_value',
        '_has_follower',
        '_listed',
        '_started_key',
        '_found_any_at_start',
        '_started',
        '_random',
        '_entries_loaded',
        '_restored',
        '_lease',
        '_clock',
        '_dropped_at',
    )

    def __init__(
        self,
        settings: settings_module.Settings,
        key_value: keyvalue.KeyValue,
        *,
        has_follower: bool = False,
        random: random_.Random | None = None,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.prefix = settings.platform.prefix + _FOLDER
        self._started_key = settings.platform.prefix + _STARTED_KEY
        self._key_value = key_value
        self._has_follower = has_follower
        self._listed: dict[str, ListedInstance] = {}
        # Whether the first read found a trace of an instance; None: nothing
        # was read.
        self._found_any_at_start: bool | None = None
        # Whether the store records that the fleet has been started.
        self._started = False
        self._entries_loaded = event.Event()
        self._random = random or random_.Random()
        # Set when the store was restored, so that the lease may be gone.
        self._restored = event.Event()
        self._lease = 0
        self._clock = clock
        # By name: when an instance that is no longer listed was dropped.
        self._dropped_at: dict[str, float] = {}

    def read(self) -> list[ListedInstance]:
        """Return the instances that are listed now.

        With `has_follower`, waits briefly for the first entries. Without the
        wait, a call before the first read would return an empty list, and the
        caller would only read again after a whole interval.

        Raises
        ------
        PlatformUnavailable
            The store gave no usable answer. The caller should continue with
            the members that it knows.
        """
        if self._has_follower:
            self._entries_loaded.wait(_INITIAL_READ_TIMEOUT_SECONDS)
        else:
            self.replace_entries(self._key_value.read_prefix(self.prefix))
        return list(self._listed.values())

    def replace_entries(
        self,
        entries: typing.Iterable[keyvalue.Entry],
        *,
        restored: bool = False,
    ) -> None:
        """Replace all listed instances by those of `entries`.

        With `restored`, instances that are missing stay listed: they write
        their entries again. This instance checks its own.
        """
        entries = list(entries)
        self._started = False
        if restored:
            for listed in self._listed.values():
                listed.lease = 0
        else:
            present = {each.key.removeprefix(self.prefix) for each in entries}
            for name in self._listed.keys() - present:
                self._drop(name)
        for entry in entries:
            self.apply_entry(entry)
        if self._found_any_at_start is None:
            self._found_any_at_start = self._started or bool(self._listed)
        self._entries_loaded.set()
        if restored:
            self._restored.set()

    @property
    def found_any_at_start(self) -> bool:
        """Whether the first read found that an instance had run before."""
        return bool(self._found_any_at_start)

    def list_names(self) -> list[str]:
        """Return the names of the listed instances, without a call.

        Those that were dropped within the time of a lease are included. They
        may still be running.
        """
        oldest = self._clock() - _LEASE_SECONDS
        self._dropped_at = {
            name: dropped_at
            for name, dropped_at in self._dropped_at.items()
            if dropped_at >= oldest
        }
        return [*self._listed, *self._dropped_at]

    def list_present(self) -> list[str]:
        """Return the names of the instances that are listed now."""
        return list(self._listed)

    def read_listed_seconds(self, name: str) -> float | None:
        """Return for how long an instance has been listed, or None.

        Returns
        -------
        float or None
            Seconds, at most since this process read the list first; None if
            the instance is not listed.
        """
        listed = self._listed.get(name)
        if listed is None:
            return None
        return self._clock() - listed.listed_at

    def holds(self, key: str) -> bool:
        """Return whether an entry belongs here."""
        return key.startswith(self.prefix) or key == self._started_key

    def apply_entry(self, entry: keyvalue.Entry) -> None:
        """Apply one entry that was changed or deleted."""
        if entry.key == self._started_key:
            self._started = entry.value is not None
            return
        name = entry.key.removeprefix(self.prefix)
        if entry.value is None:
            self._drop(name)
            return
        before = self._listed.get(name)
        listed_at = self._clock() if before is None else before.listed_at
        listed = _read_instance(name, entry, listed_at)
        if listed is not None:
            self._listed[name] = listed
            self._dropped_at.pop(name, None)

    def _drop(self, name: str) -> None:
        if self._listed.pop(name, None) is not None:
            self._dropped_at[name] = self._clock()

    def keep_listed(self, member: members.Member) -> None:
        """Write this instance's entry and renew its lease until killed."""
        if self._has_follower:
            self._entries_loaded.wait(_INITIAL_READ_TIMEOUT_SECONDS)
            self._lease = self._find_lease(member)
        renewed = False
        while True:
            try:
                if not self._listed or renewed:
                    # The owner of an entry has recorded it before.
                    self._record_start()
                self._renew(member)
                renewed = True
                wait = _LEASE_SECONDS / _RENEWALS
            except errors.PlatformError as error:
                _LOG.info('instance_unlisted', extra={'error': error})
                wait = _RETRY_SECONDS
            if self._restored.wait(self._random.uniform(0.5, 1.0) * wait):
                self._restored.clear()
                gevent.sleep(self._choose_rewrite_seconds())
                self._lease = self._find_lease(member)

    def _choose_rewrite_seconds(self) -> float:
        """Return the seconds until this instance writes its entry again.

        Random, so that a large fleet does not write at the same time. An entry
        only serves instances that start.
        """
        longest = len(self._listed) / _REWRITES_PER_SECOND
        return self._random.uniform(0.0, longest)

    def _find_lease(self, member: members.Member) -> int:
        """Return the lease of a stored entry that is up to date, or 0."""
        listed = self._listed.get(member.name)
        if listed is None or not listed.matches(member):
            return 0
        return listed.lease

    def _record_start(self) -> None:
        """Record in the store that the fleet has been started."""
        if self._started:
            return
        self._key_value.swap(self._started_key, b'{}', expected=0)
        self._started = True

    def _renew(self, member: members.Member) -> None:
        if self._lease and self._key_value.renew(self._lease):
            return
        self._lease = 0
        lease = self._key_value.grant(_LEASE_SECONDS)
        value = {
            'address': member.address,
            'failure_domain': member.failure_domain,
            'region': member.region,
        }
        self._key_value.put(
            self.prefix + member.name, json.dumps(value).encode(), lease=lease
        )
        self._lease = lease


def _read_instance(
    name: str, entry: keyvalue.Entry, listed_at: float
) -> ListedInstance | None:
    def read(values: dict[str, typing.Any]) -> ListedInstance:
        return ListedInstance(
            name=stored_values.read_text(name),
            address=stored_values.read_address(values['address']),
            failure_domain=stored_values.read_text(values['failure_domain']),
            region=stored_values.read_text(values['region']),
            lease=entry.lease,
            listed_at=listed_at,
        )

    try:
        return stored_values.decode(entry.value, read)
    except errors.EntryUnreadable:
        # Written by another release, or not by an instance. Members only
        # lose one seed.
        _LOG.warning('instance_entry_unreadable', extra={'listed': name})
        return None
