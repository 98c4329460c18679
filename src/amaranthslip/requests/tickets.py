"""Tickets: what the dispatch decision needs to know of a request."""

import time
import typing


class Ticket:
    """One request that waits for a slot at a backend server.

    Parameters
    ----------
    request_id : str
        The id that logs and answers carry.
    service, client_account, kind : str
        Names out of the configuration document.
    estimate : float
        Expected cost in tokens; corrected while the request runs.
    deadline : float
        `time.monotonic()` seconds after which the caller has no use for it.
    prefix_hashes : sequence of int
        Hashes of the prompt's growing prefixes, shortest first.
    excluded : set of str
        Backend servers that failed this request before.
    """

    __slots__ = (
        'request_id',
        'service',
        'client_account',
        'kind',
        'estimate',
        'deadline',
        'prefix_hashes',
        'excluded',
        'enqueued',
    )

    def __init__(
        self,
        *,
        request_id: str,
        service: str,
        client_account: str,
        kind: str,
        estimate: float,
        deadline: float,
        prefix_hashes: typing.Sequence[int] = (),
        excluded: typing.Iterable[str] = (),
    ) -> None:
        self.request_id = request_id
        self.service = service
        self.client_account = client_account
        self.kind = kind
        self.estimate = estimate
        self.deadline = deadline
        self.prefix_hashes = tuple(prefix_hashes)
        self.excluded = set(excluded)
        self.enqueued = time.monotonic()
