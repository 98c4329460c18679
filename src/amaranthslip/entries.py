"""Entries: puts what the platform's store holds in force on this instance."""

import logging
import typing

from amaranthslip.capacity import directory as directory_module
from amaranthslip.configuration import document
from amaranthslip.configuration import holder as holder_module
from amaranthslip import errors
from amaranthslip import metrics as metrics_module
from amaranthslip.platform import backends
from amaranthslip.platform import configurations
from amaranthslip.platform import instances
from amaranthslip.platform import keyvalue
from amaranthslip.platform import quarantined as quarantined_module

_LOG = logging.getLogger(__name__)


class Entries:
    """Hands each entry to the part that it is for.

    Parameters
    ----------
    holder : Holder
        Where configuration versions come into force.
    directory : Directory
        Gets the backend servers' entries.
    instance_list : StoredInstances
        Gets the entries of this fleet's instances.
    quarantined : StoredQuarantine
        Gets the entries of quarantined requests.
    metrics : Metrics
        Counts `configuration` events.
    """

    __slots__ = (
        '_holder',
        '_directory',
        '_instances',
        '_quarantined',
        '_metrics',
    )

    def __init__(
        self,
        holder: holder_module.Holder,
        directory: directory_module.Directory,
        instance_list: instances.StoredInstances,
        quarantined: quarantined_module.StoredQuarantine,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._holder = holder
        self._directory = directory
        self._instances = instance_list
        self._quarantined = quarantined
        self._metrics = metrics

    @property
    def ready(self) -> bool:
        """Whether any configuration is in force."""
        return self._holder.ready

    @property
    def lapse_seconds(self) -> float:
        """Seconds for which backend servers without an entry stay in use."""
        return self._directory.lapse_seconds

    def note_return(
        self, seconds: float = directory_module.MISSING_SECONDS
    ) -> None:
        """Take it that the store is back, and some entries are not yet."""
        self._directory.note_return(seconds)

    def replace(self, entries: typing.Iterable[keyvalue.Entry]) -> None:
        """Take all entries at once."""
        servers, listed, quarantined = [], [], []
        for entry in entries:
            if entry.key == configurations.KEY:
                self._take_configuration(entry)
            elif entry.key.startswith(self._instances.prefix):
                listed.append(entry)
            elif entry.key.startswith(self._quarantined.prefix):
                quarantined.append(entry)
            elif entry.key.startswith(backends.PREFIX):
                server = self._read_server(entry)
                if server is not None:
                    servers.append(server)
        self._directory.replace(servers)
        self._instances.replace(listed)
        self._quarantined.replace(quarantined)

    def take(self, entry: keyvalue.Entry) -> None:
        """Take one entry that changed, or was deleted."""
        if entry.key == configurations.KEY:
            self._take_configuration(entry)
        elif entry.key.startswith(backends.PREFIX):
            self._take_server(entry)
        elif entry.key.startswith(self._instances.prefix):
            self._instances.take(entry)
        elif entry.key.startswith(self._quarantined.prefix):
            self._quarantined.take(entry)

    def _take_configuration(self, entry: keyvalue.Entry) -> None:
        if entry.value is None:
            return
        try:
            read = configurations.read_document(entry.value)
        except errors.ConfigurationDamaged as error:
            self._metrics.count('configuration', 'damaged')
            _LOG.error('configuration_unreadable', extra={'error': error})
            return
        if self._holder.apply(read):
            self._metrics.count('configuration', 'applied')
            self._metrics.set_gauge(
                'configuration_version', 'in_force', read.version
            )
            _LOG.info(
                'configuration_in_force',
                extra={
                    'version': read.version,
                    'revision': entry.revision,
                    'routes': len(read.routes),
                    'client_accounts': len(read.client_accounts),
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
