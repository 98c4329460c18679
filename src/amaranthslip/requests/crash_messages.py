"""Messages between instances about requests that crash backend servers."""

import typing


class CrashReport:
    """A backend server crashed while it ran a request.

    `last_event` is the id of the last stream event that the caller has, and
    `age_ms` is the age of the crash in milliseconds.
    """

    __slots__ = (
        'fingerprint',
        'server',
        'incarnation',
        'last_event',
        'age_ms',
    )

    def __init__(
        self,
        *,
        fingerprint: bytes,
        server: str,
        incarnation: int,
        last_event: int,
        age_ms: int,
    ) -> None:
        self.fingerprint = fingerprint
        self.server = server
        self.incarnation = incarnation
        self.last_event = last_event
        self.age_ms = age_ms


class CrashReports:
    """New crashes, or the sender's latest crashes on a new connection."""

    __slots__ = ('reports',)

    def __init__(self, *, reports: typing.Sequence[CrashReport]) -> None:
        self.reports = reports


class RequestCompleted:
    """A request for which crashes were reported has completed."""

    __slots__ = ('fingerprint',)

    def __init__(self, *, fingerprint: bytes) -> None:
        self.fingerprint = fingerprint
