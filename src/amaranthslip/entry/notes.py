"""Notes: what the last line of a routed request tells of it."""

import typing

from amaranthslip.shares import places


class Note:
    """What a request asked for, and when its answer began.

    With these, its line says whether it was in time and whose it was, so that
    logs alone tell which callers are served badly.

    Parameters
    ----------
    need : Need
        What placement decides by.
    """

    __slots__ = ('_need', '_began')

    def __init__(self, need: places.Need) -> None:
        self._need = need
        self._began: float | None = None

    def begin(self, now: float) -> None:
        """Take it that its answer began, on the monotonic clock."""
        if self._began is None:
            self._began = now

    def list_fields(self) -> dict[str, typing.Any]:
        """Return the fields of its line."""
        need = self._need
        fields: dict[str, typing.Any] = {
            'service': need.service,
            'client_account': need.account,
            'tokens': int(need.tokens),
            'objective_ms': int(need.route.objective_seconds * 1000),
        }
        if self._began is not None:
            fields['first_ms'] = int((self._began - need.arrived) * 1000)
        return fields
