"""Entries: applies the entries of the platform's store on this instance."""

import logging
import typing

from amaranthslip.capacity import directory as directory_module
from amaranthslip.configuration import document
from amaranthslip.configuration import holder as holder_module
from amaranthslip import errors
from amaranthslip import metrics as metrics_module
from amaranthslip.platform import backends
from amaranthslip.platform import coldquotas
from amaranthslip.platform import configurations
from amaranthslip.platform import evacuations
from amaranthslip.platform import instances
from amaranthslip.platform import keyvalue
from amaranthslip.platform import quarantined as quarantined_module
from amaranthslip.platform import softwareversions
from amaranthslip.platform import storedstreams

_LOG = logging.getLogger(__name__)


class Entries:
    """Dispatches each entry by its key to the component that applies it.

    Parameters
    ----------
    holder : Holder
        Applies configuration versions.
    directory : Directory
        Receives the entries of backend servers, and evacuations.
    instance_list : StoredInstances
        Receives the entries of this fleet's instances.
    quarantined : sequence of StoredQuarantine
        Receive the entries of quarantined requests and parts of prompts.
    cold_quotas : StoredQuotas
        Receives the entries of the quotas of cold servers.
    software_versions : StoredVersions
        Receives the entries of the software versions of services.
    streams : StoredStreams
        Receives the entries of unfinished streams.
    metrics : Metrics
        Counts `configuration` events.
    """

    __slots__ = (
        '_holder',
        '_directory',
        '_instances',
        '_quarantined',
        '_cold_quotas',
        '_software_versions',
        '_streams',
        '_metrics',
    )

    def __init__(
        self,
        holder: holder_module.Holder,
        directory: directory_module.Directory,
        instance_list: instances.StoredInstances,
        quarantined: typing.Sequence[quarantined_module.StoredQuarantine],
        cold_quotas: coldquotas.StoredQuotas,
        software_versions: softwareversions.StoredVersions,
        streams: storedstreams.StoredStreams,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._holder = holder
        self._directory = directory
        self._instances = instance_list
        self._quarantined = quarantined
        self._cold_quotas = cold_quotas
        self._software_versions = software_versions
        self._streams = streams
        self._metrics = metrics

    @property
    def ready(self) -> bool:
        """Whether a configuration version is in force."""
        return self._holder.ready

    @property
    def grace_seconds(self) -> float:
        """Seconds for which servers whose entry is missing stay in use."""
        return self._directory.grace_seconds

    def start_grace_period(
        self, seconds: float = directory_module.MISSING_ENTRY_GRACE_SECONDS
    ) -> None:
        """Record that the store answers again and may still lack some entries.

        Parameters
        ----------
        seconds : float
            Seconds for which backend servers whose entry is missing stay in
            use.
        """
        self._directory.start_grace_period(seconds)

    def replace_entries(
        self,
        entries: typing.Iterable[keyvalue.Entry],
        *,
        restored: bool = False,
    ) -> None:
        """Replace all known entries by those of a full read.

        Parameters
        ----------
        restored : bool
            Whether the store was restored from an older copy since the last
            full read. What is known of the time that the copy lacks then stays
            in force, where it forbids something, until it is written again.
        """
        servers, instance_entries = [], []
        evacuated, quota_entries = [], []
        version_entries, stream_entries = [], []
        quarantined_entries = {each: [] for each in self._quarantined}
        for entry in entries:
            if entry.key == configurations.KEY:
                self._apply_configuration(entry)
            elif self._instances.holds(entry.key):
                instance_entries.append(entry)
            elif (stored := self._find_quarantined(entry)) is not None:
                quarantined_entries[stored].append(entry)
            elif entry.key.startswith(self._cold_quotas.prefix):
                quota_entries.append(entry)
            elif entry.key.startswith(self._software_versions.prefix):
                version_entries.append(entry)
            elif entry.key.startswith(self._streams.prefix):
                stream_entries.append(entry)
            elif entry.key.startswith(backends.PREFIX):
                server = self._read_server(entry)
                if server is not None:
                    servers.append(server)
            elif entry.key.startswith(evacuations.PREFIX):
                evacuated.append(evacuations.read_failure_domain(entry.key))
        if restored:
            self._directory.start_restore_period()
        self._directory.replace(servers, restored=restored)
        self._directory.replace_evacuations(evacuated, restored=restored)
        self._instances.replace_entries(instance_entries, restored=restored)
        self._software_versions.replace_entries(version_entries)
        self._streams.replace_entries(stream_entries)
        self._directory.software.begin(
            first_of_fleet=not self._instances.found_any_at_start
        )
        for stored, stored_entries in quarantined_entries.items():
            stored.replace_entries(stored_entries, restored=restored)
        self._cold_quotas.replace_entries(quota_entries)

    def is_read_at_start_only(self, key: str) -> bool:
        """Return whether changes of an entry concern no running process."""
        return key.startswith(self._streams.prefix)

    def apply_entry(self, entry: keyvalue.Entry) -> None:
        """Apply one entry that changed or was deleted."""
        try:
            self._apply_entry(entry)
        except Exception:
            # The entries after it still have to be applied: what follows the
            # store by polls or relays would fail at this one again.
            self._metrics.count('configuration', 'entry_failed')
            _LOG.exception('entry_failed', extra={'key': entry.key})

    def _apply_entry(self, entry: keyvalue.Entry) -> None:
        if entry.key == configurations.KEY:
            self._apply_configuration(entry)
        elif entry.key.startswith(backends.PREFIX):
            self._apply_server(entry)
        elif entry.key.startswith(evacuations.PREFIX):
            self._apply_evacuation(entry)
        elif self._instances.holds(entry.key):
            self._instances.apply_entry(entry)
        elif (stored := self._find_quarantined(entry)) is not None:
            stored.apply_entry(entry)
        elif entry.key.startswith(self._cold_quotas.prefix):
            self._cold_quotas.apply_entry(entry)
        elif entry.key.startswith(self._software_versions.prefix):
            self._software_versions.apply_entry(entry)

    def _find_quarantined(
        self, entry: keyvalue.Entry
    ) -> quarantined_module.StoredQuarantine | None:
        return next(
            (
                each
                for each in self._quarantined
                if entry.key.startswith(each.prefix)
            ),
            None,
        )

    def _apply_configuration(self, entry: keyvalue.Entry) -> None:
        if entry.value is None:
            return
        try:
            configuration = configurations.read_document(entry.value)
        except errors.ConfigurationDamaged as error:
            self._metrics.count('configuration', 'damaged')
            _LOG.error('configuration_unreadable', extra={'error': error})
            return
        if self._holder.apply(configuration):
            self._metrics.count('configuration', 'applied')
            self._metrics.set_gauge(
                'configuration_version', 'in_force', configuration.version
            )
            _LOG.info(
                'configuration_in_force',
                extra={
                    'version': configuration.version,
                    'revision': entry.revision,
                    'routes': len(configuration.routes),
                    'client_accounts': len(configuration.client_accounts),
                },
            )

    def _apply_server(self, entry: keyvalue.Entry) -> None:
        name = entry.key.removeprefix(backends.PREFIX)
        if entry.value is None:
            self._directory.remove(name)
            return
        server = self._read_server(entry)
        if server is None:
            self._directory.remove(name)
        else:
            self._directory.put(server)

    def _apply_evacuation(self, entry: keyvalue.Entry) -> None:
        failure_domain = evacuations.read_failure_domain(entry.key)
        if entry.value is None:
            self._directory.end_evacuation(failure_domain)
        else:
            self._directory.evacuate(failure_domain)

    def _read_server(
        self, entry: keyvalue.Entry
    ) -> document.ListedServer | None:
        """Return an entry's backend server, or None if it is malformed."""
        server = backends.read_backend_server(entry.key, entry.value)
        if server is None:
            self._metrics.count('configuration', 'server_unreadable')
            _LOG.warning(
                'backend_server_unreadable',
                extra={'key': entry.key, 'revision': entry.revision},
            )
        return server
