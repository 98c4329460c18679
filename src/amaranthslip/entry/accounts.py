"""Accounts: who may send which request, out of the document in force."""

import hashlib
import typing

from amaranthslip.configuration import document as document_
from amaranthslip import errors


class Index:
    """What a request needs to find in one version of the document."""

    __slots__ = ('document', '_by_key', '_kinds')

    def __init__(self, document: document_.Document) -> None:
        self.document = document
        self._by_key = {
            key: account
            for account in document.client_accounts.values()
            for key in account.keys
        }
        self._kinds: dict[str, list[document_.RequestKind]] = {}
        for kind in document.request_kinds.values():
            self._kinds.setdefault(kind.service, []).append(kind)

    def authorise(self, header: str) -> document_.ClientAccount:
        """Return the client account of an `Authorization` header.

        Raises
        ------
        RequestRefused
            It names no key in force.
        """
        scheme, _, key = header.partition(' ')
        if scheme.lower() != 'bearer' or not key.strip():
            raise errors.RequestRefused(
                'unauthorised',
                'no bearer key; send "Authorization: Bearer <key>"',
                status=401,
            )
        digest = hashlib.sha256(key.strip().encode('latin-1')).hexdigest()
        account = self._by_key.get(f'sha256:{digest}')
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
        """Return a service that the account may reach.

        Raises
        ------
        RequestRefused
            There is none; an account is not told of services that it may
            not reach.
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
        """Return a model service's kind by name, or its first one.

        Raises
        ------
        RequestRefused
            There is no such kind.
        """
        for kind in self._kinds.get(service.name, ()):
            if not name or kind.name == name:
                return kind
        raise _refuse_kind(f'named {name!r}' if name else 'at all', service)

    def find_matching_kind(
        self, service: document_.Service, method: str, path: str
    ) -> document_.RequestKind:
        """Return a plain service's first kind that a request matches.

        Raises
        ------
        RequestRefused
            None matches: whether the request may run twice is not known,
            so it is not sent at all.
        """
        for kind in self._kinds.get(service.name, ()):
            if kind.method not in ('*', method):
                continue
            if path.startswith(kind.path_prefix):
                return kind
        raise _refuse_kind(f'for {method} {path}', service)

    def list_models(
        self, account: document_.ClientAccount
    ) -> typing.Iterator[str]:
        """Yield the model services that the account may reach."""
        for name in account.services:
            service = self.document.services.get(name)
            if service and service.kind == document_.ServiceKind.MODEL:
                yield name


def _refuse_kind(
    what: str, service: document_.Service
) -> errors.RequestRefused:
    return errors.RequestRefused(
        'kind_unknown',
        f'service {service.name!r} has no kind of request {what}; ask an'
        ' operator to add one',
        status=404,
    )


class Accounts:
    """The index of the document in force, built again when it changes."""

    __slots__ = ('_holder', '_index')

    def __init__(self, holder: typing.Any) -> None:
        self._holder = holder
        self._index = Index(holder.document)

    def read(self) -> Index:
        """Return the index of the document in force."""
        if self._index.document is not self._holder.document:
            self._index = Index(self._holder.document)
        return self._index
