"""Messages between instances about the software versions of streams."""

import typing


class StreamBegun:
    """The first event of a stream was sent to the caller of an attempt."""

    __slots__ = ('attempt', 'service', 'software_version')

    def __init__(
        self, *, attempt: str, service: str, software_version: str
    ) -> None:
        self.attempt = attempt
        self.service = service
        self.software_version = software_version


class StreamQuery:
    """The question at which software version a stream began.

    `number` identifies the query at its sender, `attempt` is the attempt that
    brought the first event, empty if it is unknown, and `service` is the
    service that the stream is to go on at.
    """

    __slots__ = ('number', 'attempt', 'service')

    def __init__(self, *, number: int, attempt: str, service: str) -> None:
        self.number = number
        self.attempt = attempt
        self.service = service


class RecentVersion:
    """A software version that a service has had lately.

    `age_ms` is the time since its last server was dropped, in milliseconds; 0
    while one is listed.
    """

    __slots__ = ('software_version', 'age_ms')

    def __init__(self, *, software_version: str, age_ms: int) -> None:
        self.software_version = software_version
        self.age_ms = age_ms


class StreamAnswer:
    """The answer to a `StreamQuery`.

    `known` tells whether the sender has a record of `attempt`, and `service`
    and `software_version` are those of the record. `versions` are all versions
    of the queried service in the last `covered_ms` milliseconds.
    """

    __slots__ = (
        'number',
        'attempt',
        'known',
        'service',
        'software_version',
        'versions',
        'covered_ms',
    )

    def __init__(
        self,
        *,
        number: int,
        attempt: str,
        known: bool,
        service: str,
        software_version: str,
        versions: typing.Sequence[RecentVersion],
        covered_ms: int,
    ) -> None:
        self.number = number
        self.attempt = attempt
        self.known = known
        self.service = service
        self.software_version = software_version
        self.versions = versions
        self.covered_ms = covered_ms


class SoftwareVersions:
    """The versions that a service has had, told on a new connection.

    `versions` are all versions in the last `covered_ms` milliseconds.
    """

    __slots__ = ('service', 'versions', 'covered_ms')

    def __init__(
        self,
        *,
        service: str,
        versions: typing.Sequence[RecentVersion],
        covered_ms: int,
    ) -> None:
        self.service = service
        self.versions = versions
        self.covered_ms = covered_ms
