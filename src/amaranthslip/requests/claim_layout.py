"""Agreement of all instances on how claims are laid out."""

import contextlib
import typing

from gevent import event

from amaranthslip import errors
from amaranthslip import settings


class Layout:
    """The number of shards and the window, checked once against the fleet.

    An instance with another number of shards would look for a key in
    another value, find no claim, and run the request a second time; one with
    a shorter window would drop claims that others rely on. The first
    instance writes its layout; one that differs makes no claims.
    """

    __slots__ = ('_settings', '_key_value', '_agreed', '_checking')

    def __init__(
        self, settings_: settings.Settings, key_value: typing.Any
    ) -> None:
        self._settings = settings_
        self._key_value = key_value
        self._agreed = False
        self._checking: event.AsyncResult | None = None

    def check(self) -> None:
        """Return when the layouts agree; one read for each process.

        Raises
        ------
        PlatformError
            They differ, or the service can't be asked.
        """
        if self._agreed:
            return
        if self._checking is not None:
            # Callers that come together share one call and its outcome.
            self._checking.get()
            return
        checking = self._checking = event.AsyncResult()
        try:
            self._compare()
        except BaseException as error:
            if isinstance(error, errors.PlatformError):
                checking.set_exception(error)
            else:
                checking.set_exception(
                    errors.PlatformUnavailable('the check was left, retry')
                )
            raise
        finally:
            self._checking = None
        self._agreed = True
        checking.set()

    def _compare(self) -> None:
        key = f'{self._settings.platform.prefix}claims/layout'
        mine = self._write()
        entry = self._key_value.get(key)
        if entry is None:
            with contextlib.suppress(errors.AnswerLost):
                self._key_value.swap(key, mine, expected=0)
            # Another first instance may have won, or the answer was lost:
            # what stands now decides.
            entry = self._key_value.get(key)
        if entry is None:
            raise errors.PlatformUnavailable(f'{key} was not written, retry')
        if entry.value != mine:
            raise errors.PlatformRefused(
                f'settings claims.* give {mine!r}, the fleet uses '
                f'{entry.value!r}: use the same on all instances; to change '
                f'it, stop all of them and delete {key} and the claims'
            )

    def _write(self) -> bytes:
        claims = self._settings.claims
        return (
            f'shards={claims.shards} window_seconds={claims.window_seconds:g}'
        ).encode()
