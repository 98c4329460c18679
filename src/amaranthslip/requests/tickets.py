"""Tickets: the properties of a request that dispatching depends on."""

import time
import typing


class Ticket:
    """A request that waits for a slot at a backend server.

    Parameters
    ----------
    request_id : str
        The id of the request in logs and answers.
    service, client_account, kind : str
        Names in the configuration document.
    estimate : float
        Expected cost in tokens, which is corrected while the request runs.
    deadline : float
        Time after which the answer is of no use to the caller, in seconds of
        `time.monotonic()`.
    prefix_hashes : sequence of int
        Hashes of the prefixes of the prompt, shortest first.
    excluded : set of str
        Backend servers at which earlier tries of this request failed.
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
        'enqueued_at',
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
        self.enqueued_at = time.monotonic()
