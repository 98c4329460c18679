"""Messages between instances about parts of prompts that crash servers."""

import typing


class SuspectReport:
    """A backend server crashed during a request with a part.

    `part` and `account` are digests. `age_ms` is the age of the crash in
    milliseconds, `sent_age_ms` that of the try.
    """

    __slots__ = (
        'part',
        'account',
        'server',
        'incarnation',
        'age_ms',
        'sent_age_ms',
    )

    def __init__(
        self,
        *,
        part: bytes,
        account: bytes,
        server: str,
        incarnation: int,
        age_ms: int,
        sent_age_ms: int,
    ) -> None:
        self.part = part
        self.account = account
        self.server = server
        self.incarnation = incarnation
        self.age_ms = age_ms
        self.sent_age_ms = sent_age_ms


class SuspectReports:
    """New crashes, or those that the sender knows on a new connection."""

    __slots__ = ('reports',)

    def __init__(self, *, reports: typing.Sequence[SuspectReport]) -> None:
        self.reports = reports


class PartCompleted:
    """An answer was completed on a part for which crashes were reported.

    `age_ms` is the age of the completion in milliseconds. With `is_reply`, it
    goes to the sender of a report only, which passes it on.
    """

    __slots__ = ('part', 'age_ms', 'is_reply')

    def __init__(self, *, part: bytes, age_ms: int, is_reply: bool) -> None:
        self.part = part
        self.age_ms = age_ms
        self.is_reply = is_reply
