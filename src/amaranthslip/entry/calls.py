"""A caller's request, parsed and matched to the configuration."""

import typing

from amaranthslip.backends import outgoing
from amaranthslip.configuration import document
from amaranthslip.requests import fingerprints
from amaranthslip.requests import part_crashes


class Call:
    """One caller's request and the state of its execution.

    Parameters
    ----------
    request_id : str
        Identifies the request in answers and logs.
    account, service, kind
        From the configuration in force when the request arrived.
    method, target, headers, body
        As sent to the backend server.
    values : dict or None
        The parsed JSON body of a request to a model service; None for a
        plain service.
    idempotency_key : str
        The key that the caller sent, or an empty string.
    arrived, deadline : float
        Seconds of `time.monotonic()`.
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
        'is_trial',
        'sent_parts',
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
        # Backend servers on which earlier tries of this request failed.
        self.excluded: set[str] = set()
        self.claim: typing.Any = None
        # Whether any try may have sent a byte of the request.
        self.sent = False
        # Identical for all attempts at the same request, so that repeated
        # crashes can be attributed to that request.
        self.fingerprint = fingerprints.compute_fingerprint(
            client_account=account.name,
            method=method,
            host='',
            target=target,
            body=body,
        )
        # Whether a reused keep-alive connection broke in the current try.
        self.kept_connection_broke = False
        # Whether it is run although it is quarantined.
        self.is_trial = False
        # The parts of its prompt are not known.
        self.sent_parts = part_crashes.SentParts(b'', ())

    @property
    def streamed(self) -> bool:
        """Whether the caller requested a stream of server-sent events."""
        return self.values is not None and self.values.get('stream') is True
