"""Agreement of all instances on how claims are laid out."""

import typing

from amaranthslip import errors
from amaranthslip import settings


class Layout:
    """The number of shards and the window, checked once against the fleet.

    An instance with another number of shards would look for a key in
    another value, find no claim, and run the request a second time; one with
    a shorter window would drop claims that others rely on. The first
    instance writes its layout; one that differs makes no claims.
    """

    __slots__ = ('_settings', '_key_value', '_agreed')

    def __init__(
        self, settings_: settings.Settings, key_value: typing.Any
    ) -> None:
        self._settings = settings_
        self._key_value = key_value
        self._agreed = False

    def check(self) -> None:
        """Return when the layouts agree; one read for each process.

        Raises
        ------
        PlatformError
            They differ, or the service can't be asked.
        """
        if self._agreed:
            return
        key = f'{self._settings.platform.prefix}claims/layout'
        mine = self._write()
        entry = self._key_value.get(key)
        if entry is None:
            # Lost against another first instance, or without an answer: the
            # next claim reads what stands.
            if self._key_value.swap(key, mine, expected=0) is None:
                entry = self._key_value.get(key)
        if entry is not None and entry.value != mine:
            raise errors.PlatformRefused(
                f'settings claims.* give {mine!r}, the fleet uses '
                f'{entry.value!r}: use the same on all instances; to change '
                f'it, stop all of them and delete {key} and the claims'
            )
        self._agreed = True

    def _write(self) -> bytes:
        claims = self._settings.claims
        return (
            f'shards={claims.shards} window_seconds={claims.window_seconds:g}'
        ).encode()
