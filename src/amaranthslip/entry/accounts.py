"""Lookup of client accounts, services and request kinds per request."""

import hashlib
import typing

from amaranthslip.configuration import document as document_
from amaranthslip import errors


class AccountIndex:
    """Lookup tables for requests, built from one configuration version."""

    __slots__ = ('document', '_accounts_by_key', '_kinds_by_service')

    def __init__(self, document: document_.Document) -> None:
        self.document = document
        self._accounts_by_key = {
            key: account
            for account in document.client_accounts.values()
            for key in account.keys
        }
        self._kinds_by_service: dict[str, list[document_.RequestKind]] = {}
        for kind in document.request_kinds.values():
            self._kinds_by_service.setdefault(kind.service, []).append(kind)

    def authorise(self, header: str) -> document_.ClientAccount:
        """Return the client account of an `Authorization` header.

        Raises
        ------
        RequestRefused
            The header holds no bearer key, or a key that is not valid.
        """
        scheme, _, key = header.partition(' ')
        if scheme.lower() != 'bearer' or not key.strip():
            raise errors.RequestRefused(
                'unauthorised',
                'no bearer key; send "Authorization: Bearer <key>"',
                status=401,
            )
        digest = hashlib.sha256(key.strip().encode('latin-1')).hexdigest()
        account = self._accounts_by_key.get(f'sha256:{digest}')
        if account is None:
            raise errors.RequestRefused(
                'unauthorised',
                'unknown bearer key; ask an operator for a key in force',
                status=401,
            )
        return account

    def find_service(
        self, account: document_.ClientAccount, name: str, kind: str
    ) -> document_.Service:
        """Return a service that the account may use.

        Raises
        ------
        RequestRefused
            The service does not exist, or the account may not use it. The
            error is the same for both, so that it does not reveal services of
            other accounts.
        """
        service = self.document.services.get(name)
        if (
            service is None
            or service.kind != kind
            or name not in account.services
        ):
            raise errors.RequestRefused(
                'service_unknown',
                f'no {kind} service {name!r} for this client account; see'
                ' GET /v1/models, or ask an operator for access',
                status=404,
            )
        return service

    def find_named_kind(
        self, service: document_.Service, name: str
    ) -> document_.RequestKind:
        """Return a model service's request kind by name.

        An empty name selects the first kind of the service.

        Raises
        ------
        RequestRefused
            The service has no such kind.
        """
        for kind in self._kinds_by_service.get(service.name, ()):
            if not name or kind.name == name:
                return kind
        raise _build_kind_refusal(
            f'named {name!r}' if name else 'at all', service
        )

    def find_matching_kind(
        self, service: document_.Service, method: str, path: str
    ) -> document_.RequestKind:
        """Return the first request kind of a plain service that matches.

        Raises
        ------
        RequestRefused
            No kind matches. The request is not sent, because it is not known
            whether it may run twice.
        """
        for kind in self._kinds_by_service.get(service.name, ()):
            if kind.method not in ('*', method):
                continue
            if path.startswith(kind.path_prefix):
                return kind
        raise _build_kind_refusal(f'for {method} {path}', service)

    def list_models(
        self, account: document_.ClientAccount
    ) -> typing.Iterator[str]:
        """Yield the names of the model services that the account may use."""
        for name in account.services:
            service = self.document.services.get(name)
            if service and service.kind == document_.ServiceKind.MODEL:
                yield name


def _build_kind_refusal(
    criteria: str, service: document_.Service
) -> errors.RequestRefused:
    return errors.RequestRefused(
        'kind_unknown',
        f'service {service.name!r} has no kind of request {criteria}; ask an'
        ' operator to add one',
        status=404,
    )


class AccountIndexCache:
    """Caches the index of the document in force; rebuilds it on change."""

    __slots__ = ('_holder', '_index')

    def __init__(self, holder: typing.Any) -> None:
        self._holder = holder
        self._index = AccountIndex(holder.document)

    def read(self) -> AccountIndex:
        """Return the index of the document in force."""
        if self._index.document is not self._holder.document:
            self._index = AccountIndex(self._holder.document)
        return self._index
