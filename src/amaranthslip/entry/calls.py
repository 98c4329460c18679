"""Calls: one caller's request, read and understood."""

import typing

from amaranthslip.backends import outgoing
from amaranthslip.configuration import document
from amaranthslip.requests import fingerprints


class Call:
    """One caller's request, and what is known of its run.

    Parameters
    ----------
    request_id : str
        The id that answers and logs carry.
    account, service, kind
        Out of the document that was in force when it came.
    method, target, headers, body
        As they go to a backend server.
    values : dict or None
        The parsed JSON body of a model's request.
    idempotency_key : str
        The caller's, or empty.
    arrived, deadline : float
        `time.monotonic()` seconds.
    """

    __slots__ = (
        'request_id',
        'account',
        'service',
        'kind',
        'method',
        'target',
        'headers',
        'body',
        'values',
        'idempotency_key',
        'arrived',
        'deadline',
        'excluded',
        'claim',
        'sent',
        'fingerprint',
        'kept_connection_broke',
    )

    def __init__(
        self,
        *,
        request_id: str,
        account: document.ClientAccount,
        service: document.Service,
        kind: document.RequestKind,
        method: str,
        target: str,
        headers: outgoing.Headers,
        body: bytes,
        values: dict[str, typing.Any] | None,
        idempotency_key: str,
        arrived: float,
    ) -> None:
        self.request_id = request_id
        self.account = account
        self.service = service
        self.kind = kind
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.values = values
        self.idempotency_key = idempotency_key
        self.arrived = arrived
        self.deadline = arrived + kind.deadline_seconds
        # Backend servers that failed it.
        self.excluded: set[str] = set()
        self.claim: typing.Any = None
        # Whether a byte of it may have left, in any try.
        self.sent = False
        # Identical for all attempts at the same request.
        self.fingerprint = fingerprints.compute_fingerprint(
            client_account=account.name,
            method=method,
            host='',
            target=target,
            body=body,
        )
        # Whether a kept connection broke during the current try.
        self.kept_connection_broke = False

    @property
    def streamed(self) -> bool:
        """Whether the caller asked for server-sent events."""
        return self.values is not None and self.values.get('stream') is True
