"""Check that all instances use the same storage layout for claims."""

import contextlib
import typing

from gevent import event

from amaranthslip import errors
from amaranthslip import settings


class Layout:
    """The number of shards and the window, verified against the stored layout.

    An instance with a different number of shards would look for a key in a
    different shard, find no claim, and run the request a second time. An
    instance with a shorter window would remove claims that other instances
    rely on. The first instance stores its layout, and an instance with a
    different layout makes no claims.
    """

    __slots__ = ('_settings', '_key_value', '_verified', '_check_result')

    def __init__(
        self, settings_: settings.Settings, key_value: typing.Any
    ) -> None:
        self._settings = settings_
        self._key_value = key_value
        self._verified = False
        self._check_result: event.AsyncResult | None = None

    def check(self) -> None:
        """Verify the layout; once it matches, later calls return immediately.

        Raises
        ------
        PlatformError
            The layouts differ, or the key-value service is unavailable.
        """
        if self._verified:
            return
        if self._check_result is not None:
            # Concurrent callers share one check and its outcome.
            self._check_result.get()
            return
        result = self._check_result = event.AsyncResult()
        try:
            self._verify()
        except BaseException as error:
            if isinstance(error, errors.PlatformError):
                result.set_exception(error)
            else:
                result.set_exception(
                    errors.PlatformUnavailable(
                        'the layout check was interrupted; retry'
                    )
                )
            raise
        finally:
            self._check_result = None
        self._verified = True
        result.set()

    def _verify(self) -> None:
        key = f'{self._settings.platform.prefix}claims/layout'
        own_layout = self._encode_layout()
        entry = self._key_value.get(key)
        if entry is None:
            with contextlib.suppress(errors.AnswerLost):
                self._key_value.swap(key, own_layout, expected=0)
            # Another instance may have stored its layout first, or the answer
            # may have been lost. The stored value is authoritative.
            entry = self._key_value.get(key)
        if entry is None:
            raise errors.PlatformUnavailable(f'{key} was not written; retry')
        if entry.value != own_layout:
            raise errors.PlatformRefused(
                f'settings claims.* give {own_layout!r}, but the fleet uses '
                f'{entry.value!r}: use the same values on all instances; to '
                f'change them, stop all instances and delete {key} and all '
                'claims'
            )

    def _encode_layout(self) -> bytes:
        claims = self._settings.claims
        return (
            f'shards={claims.shards} window_seconds={claims.window_seconds:g}'
        ).encode()
