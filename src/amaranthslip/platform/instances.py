"""This fleet's instances in the platform's store, as seeds for members.

Each instance writes an entry under a lease. The lease is long: an entry only
says where an instance may be found, and the members find out by probing who
is alive. A lease of a few seconds, renewed by each instance, would cost calls
for what probing already tells.
"""

import json
import logging
import random as random_
import typing

import gevent
from gevent import event

from amaranthslip import errors
from amaranthslip.members import members
from amaranthslip.platform import keyvalue
from amaranthslip import settings as settings_module

_LOG = logging.getLogger(__name__)

_FOLDER = 'instances/'
# Seconds; the platform allows ten minutes at most. Entries of instances that
# are gone for good stay that long, and cost those that start one dial each.
_LEASE_SECONDS = 600.0
# Renewed three times in its life, so that two failures are survived.
_RENEWALS = 3
_RETRY_SECONDS = 1.0
# Seconds that a new instance waits for the entries to be read before it writes
# its own: one that starts again finds it there, and a renewal costs the store
# a twentieth of the two writes.
_READ_SECONDS = 2.0


class ListedInstance:
    """An instance as its entry has it."""

    __slots__ = (
        'name',
        'address',
        'failure_domain',
        'region',
        'lease',
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
    ) -> None:
        self.name = name
        self.address = address
        self.failure_domain = failure_domain
        self.region = region
        # Under which the entry stands; 0: none.
        self.lease = lease
        # An entry tells nothing of an instance's state.
        self.state = members.MemberState.ALIVE

    def describes(self, member: members.Member) -> bool:
        """Return whether a member is where this entry says."""
        return all(
            getattr(self, name) == getattr(member, name)
            for name in ('name', 'address', 'failure_domain', 'region')
        )


class StoredInstances:
    """The entries of all instances, and this one's own.

    Parameters
    ----------
    settings : Settings
        `platform.prefix` comes before the keys.
    key_value : KeyValue
        The client of the store.
    follows : bool
        Whether whoever follows the store hands entries over by `replace`
        and `take`; `read` then makes no call.
    random : random.Random
        Jitter of the renewals.
    """

    __slots__ = (
        'prefix',
        '_key_value',
        '_follows',
        '_listed',
        '_random',
        '_read',
        '_lease',
    )

    def __init__(
        self,
        settings: settings_module.Settings,
        key_value: keyvalue.KeyValue,
        *,
        follows: bool = False,
        random: random_.Random | None = None,
    ) -> None:
        self.prefix = settings.platform.prefix + _FOLDER
        self._key_value = key_value
        self._follows = follows
        self._listed: dict[str, ListedInstance] = {}
        self._read = event.Event()
        self._random = random or random_.Random()
        self._lease = 0

    def read(self) -> list[ListedInstance]:
        """Return the instances that are listed now.

        At a start it waits a little for whoever follows the store: asked a
        moment too early, it would tell of nobody, for a whole interval.

        Raises
        ------
        PlatformUnavailable
            No usable answer: go on with what is known.
        """
        if self._follows:
            self._read.wait(_READ_SECONDS)
        else:
            self.replace(self._key_value.read_prefix(self.prefix))
        return list(self._listed.values())

    def replace(self, entries: typing.Iterable[keyvalue.Entry]) -> None:
        """Take all entries at once."""
        self._listed.clear()
        for entry in entries:
            self.take(entry)
        self._read.set()

    def take(self, entry: keyvalue.Entry) -> None:
        """Take one entry that changed."""
        name = entry.key.removeprefix(self.prefix)
        if entry.value is None:
            self._listed.pop(name, None)
            return
        listed = _read_instance(name, entry)
        if listed is not None:
            self._listed[name] = listed

    def keep_listed(self, member: members.Member) -> None:
        """Write this instance's entry and renew its lease, for ever."""
        if self._follows:
            self._read.wait(_READ_SECONDS)
            self._lease = self._find_lease(member)
        while True:
            try:
                self._renew(member)
                wait = _LEASE_SECONDS / _RENEWALS
            except errors.PlatformError as error:
                _LOG.info('instance_unlisted', extra={'error': error})
                wait = _RETRY_SECONDS
            gevent.sleep(self._random.uniform(0.5, 1.0) * wait)

    def _find_lease(self, member: members.Member) -> int:
        """Return the lease of the entry that is right already, or 0."""
        listed = self._listed.get(member.name)
        if listed is None or not listed.describes(member):
            return 0
        return listed.lease

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


def _read_instance(name: str, entry: keyvalue.Entry) -> ListedInstance | None:
    try:
        values = json.loads(entry.value)
        return ListedInstance(
            name=name,
            address=str(values['address']),
            failure_domain=str(values['failure_domain']),
            region=str(values['region']),
            lease=entry.lease,
        )
    except (ValueError, KeyError, TypeError):
        # Another release's form, or another writer's: one seed less.
        _LOG.warning('instance_entry_unreadable', extra={'listed': name})
        return None
