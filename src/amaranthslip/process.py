"""Runs one instance as a process: signals and settings reload."""

import contextlib
import hashlib
import importlib
import logging
import pathlib
import signal
import typing

import gevent
from gevent import event

from amaranthslip import errors
from amaranthslip import settings as settings_module

_LOG = logging.getLogger(__name__)

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Seconds between checks of the settings file, which may change without SIGHUP.
_POLL_SECONDS = 2.0


def run(settings: settings_module.Settings, path: pathlib.Path) -> bool:
    """Run one instance until SIGTERM or SIGINT, then stop it gracefully.

    Parameters
    ----------
    settings : Settings
        The settings read from `path`.
    path : Path
        The settings file. Its content is checked for changes on SIGHUP and
        periodically; only an instance with an operator's configuration
        reloads it.

    Returns
    -------
    bool
        Whether all requests in progress ended in time.
    """
    # Only the router in use is imported, which shortens the restart of a
    # killed instance and reduces its memory.
    if settings.platform.configuration == 'own':
        router = importlib.import_module('amaranthslip.router')
        return _run_until_stopped(router.Router(settings))
    operated = importlib.import_module('amaranthslip.operated')
    instance = operated.OperatedRouter(settings)
    with contextlib.ExitStack() as stack:
        watcher = SettingsWatcher(path, instance.reload)
        handler = gevent.signal_handler(
            signal.SIGHUP, watcher.reload_if_changed
        )
        stack.callback(handler.cancel)
        stack.callback(gevent.spawn(watcher.poll).kill)
        return _run_until_stopped(instance)


class Instance(typing.Protocol):
    """The interface of `router.Router` and `operated.OperatedRouter`."""

    def start(self) -> None:
        """Start all components."""

    def stop(self) -> bool:
        """Stop gracefully; return whether all requests ended."""


def _run_until_stopped(instance: Instance) -> bool:
    stopped = event.Event()
    with contextlib.ExitStack() as stack:
        # Called last. From here on a signal has no effect: its default action
        # would make the exit of an instance that lost nothing a failure.
        for number in _STOP_SIGNALS:
            stack.callback(signal.signal, number, signal.SIG_IGN)
        for number in _STOP_SIGNALS:
            handler = gevent.signal_handler(number, stopped.set)
            stack.callback(handler.cancel)
        instance.start()
        stopped.wait()
        # The handlers stay installed during the stop. The platform may
        # repeat the signal, whose default action would end the process and
        # the requests in progress.
        return instance.stop()


class SettingsWatcher:
    """Reloads the settings file when its content has changed."""

    __slots__ = ('_path', '_reload', '_digest')

    def __init__(
        self,
        path: pathlib.Path,
        reload: typing.Callable[[settings_module.Settings], None],
    ) -> None:
        self._path = path
        self._reload = reload
        self._digest = self._read_digest()

    def poll(self) -> None:
        """Check the file periodically until killed.

        The file may change without a signal.
        """
        while True:
            gevent.sleep(_POLL_SECONDS)
            self.reload_if_changed()

    def reload_if_changed(self) -> None:
        """Reload the file if its content changed; ignore an invalid file."""
        digest = self._read_digest()
        if digest in (b'', self._digest):
            return
        self._digest = digest
        try:
            self._reload(settings_module.read_settings(self._path))
        except errors.SettingsInvalid as invalid:
            for mistake in invalid.exceptions:
                _LOG.error('settings_invalid', extra={'error': mistake})

    def _read_digest(self) -> bytes:
        try:
            return hashlib.sha256(self._path.read_bytes()).digest()
        except OSError as error:
            _LOG.warning('settings_unreadable', extra={'error': error})
            return b''
