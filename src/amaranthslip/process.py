"""One instance as a process: its signals, and a settings file that changes."""

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

# Seconds between looks at the settings file, which may change unannounced.
_LOOK_SECONDS = 2.0


def run(settings: settings_module.Settings, path: pathlib.Path) -> bool:
    """Run one instance until SIGTERM or SIGINT, then stop it gracefully.

    Parameters
    ----------
    settings : Settings
        As read from `path`.
    path : Path
        Read again on SIGHUP, and when its content changes.

    Returns
    -------
    bool
        Whether every request in progress ended in time.
    """
    # Only what runs is imported: an instance that was killed is back the
    # sooner, and smaller.
    if settings.platform.configuration == 'own':
        router = importlib.import_module('amaranthslip.router')
        return _run_until_stopped(router.Router(settings))
    operated = importlib.import_module('amaranthslip.operated')
    instance = operated.OperatedRouter(settings)
    with contextlib.ExitStack() as stack:
        watching = SettingsWatch(path, instance.reload)
        handler = gevent.signal_handler(signal.SIGHUP, watching.look)
        stack.callback(handler.cancel)
        stack.callback(gevent.spawn(watching.keep_looking).kill)
        return _run_until_stopped(instance)


class Instance(typing.Protocol):
    """What runs: `router.Router` or `operated.OperatedRouter`."""

    def start(self) -> None:
        """Start every part."""

    def stop(self) -> bool:
        """Stop gracefully; return whether every request ended."""


def _run_until_stopped(instance: Instance) -> bool:
    stopped = event.Event()
    with contextlib.ExitStack() as stack:
        for number in (signal.SIGTERM, signal.SIGINT):
            handler = gevent.signal_handler(number, stopped.set)
            stack.callback(handler.cancel)
        instance.start()
        stopped.wait()
        # Still within the handlers: the platform may ask again, and without
        # them the signal would end the process, and what is under way.
        return instance.stop()


class SettingsWatch:
    """Reads the settings file again when its content has changed."""

    __slots__ = ('_path', '_reload', '_digest')

    def __init__(
        self,
        path: pathlib.Path,
        reload: typing.Callable[[settings_module.Settings], None],
    ) -> None:
        self._path = path
        self._reload = reload
        self._digest = self._read_digest()

    def keep_looking(self) -> None:
        """Look for ever: changes may come without a signal."""
        while True:
            gevent.sleep(_LOOK_SECONDS)
            self.look()

    def look(self) -> None:
        """Take the file if it changed; a wrong one changes nothing."""
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
