"""Keeps the platform's record of software versions up to date.

The record lists every version whose servers may have begun a stream within
the horizon. It tells processes that start which versions these were after all
instances have ended at once. A version is therefore recorded before its
servers get new streams; see `shares.placement`.
"""

import logging
import time
import typing

import gevent

from amaranthslip.capacity import software
from amaranthslip.configuration import document
from amaranthslip import errors
from amaranthslip.members import rendezvous
from amaranthslip.members import roster as roster_module

_LOG = logging.getLogger(__name__)

# Seconds after the start before the first write: before, the roster lists no
# other instances, so that each would write.
_START_SECONDS = 2.0
# Seconds between two looks at the versions.
_CHECK_SECONDS = 0.1
# Instances that write the record, and the seconds by which each waits longer
# than the one that ranks before it.
_WRITERS = 3
_RANK_SECONDS = 1.0
# Names the rank of the instances.
_RANK_KEY = 'software-versions'
_RETRY_SECONDS = 0.5


class Store(typing.Protocol):
    """Writes records; `platform.softwareversions` has an implementation."""

    def write(self, service: str, versions: typing.Iterable[str]) -> None:
        """Write the versions of a service, unless its entry has changed."""


class SoftwareRecorder:
    """Writes the record of each service whose streams can be resumed.

    Parameters
    ----------
    holder : Holder
        The configuration in force.
    history : SoftwareHistory
        The versions of each service, and what the store records of them.
    roster : Roster
        The live instances, of which a few write.
    store : Store
        Writes the record.
    clock : callable
        Monotonic time in seconds.
    """

    __slots__ = (
        '_holder',
        '_history',
        '_roster',
        '_store',
        '_clock',
        '_outdated_since',
        '_document',
        '_services',
    )

    def __init__(
        self,
        holder: typing.Any,
        history: software.SoftwareHistory,
        roster: roster_module.Roster,
        store: Store,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._holder = holder
        self._history = history
        self._roster = roster
        self._store = store
        self._clock = clock
        # By service: since when its record has been outdated.
        self._outdated_since: dict[str, float] = {}
        # The document that the services were read from.
        self._document: document.Document | None = None
        self._services: list[str] = []

    def run(self) -> None:
        """Update the records until killed."""
        gevent.sleep(_START_SECONDS)
        while True:
            wait = _CHECK_SECONDS
            try:
                self.update()
            except errors.PlatformError as error:
                _LOG.info('software_unrecorded', extra={'error': error})
                wait = _RETRY_SECONDS
            gevent.sleep(wait)

    def update(self) -> None:
        """Write the outdated records that are this instance's to write.

        Raises
        ------
        PlatformError
            The store did not confirm a write.
        """
        for service in self._list_services():
            versions = self._history.find_outdated(service)
            if versions is None:
                self._outdated_since.pop(service, None)
                continue
            since = self._outdated_since.setdefault(service, self._clock())
            if self._clock() - since >= self._choose_delay():
                self._store.write(service, versions)
                _LOG.info(
                    'software_recorded',
                    extra={'service': service, 'versions': sorted(versions)},
                )

    def _list_services(self) -> list[str]:
        configuration = self._holder.document
        if configuration is not self._document:
            self._document = configuration
            self._services = _list_resumable_services(configuration)
        return self._services

    def _choose_delay(self) -> float:
        """Return for how long others may write first, in seconds."""
        own_name = self._roster.member.name
        names = [own_name, *(e.name for e in self._roster.list_others())]
        writers = rendezvous.pick(_RANK_KEY, names, _WRITERS)
        if own_name not in writers:
            return _WRITERS * _RANK_SECONDS
        return writers.index(own_name) * _RANK_SECONDS


def _list_resumable_services(configuration: document.Document) -> list[str]:
    return sorted(
        {
            destination.service
            for route in configuration.routes
            if route.streams and route.resumable
            for destination in route.destinations
        }
    )
