"""Validation rules that span several items or sections of a document."""

import typing

from amaranthslip.configuration import pacing
from amaranthslip import errors
from amaranthslip import identity

Item = dict[str, typing.Any]
Mistakes = typing.Iterator[errors.SettingError]


class DocumentIndex:
    """The sections of one document, indexed for the rules below.

    Malformed items are skipped here, because the schema validation reports
    their mistakes.
    """

    __slots__ = ('source', 'pacer', '_items', '_names')

    def __init__(
        self,
        values: dict[str, list[Item]],
        *,
        source: str,
        pacer: pacing.Pacer,
    ) -> None:
        self.source = source
        self.pacer = pacer
        self._items = values
        self._names = {
            section: {item['name'] for _, item in self.list_items(section)}
            for section in values
        }

    def list_items(self, section: str) -> typing.Iterator[tuple[int, Item]]:
        """Yield index and item of every table with a valid name."""
        for index, item in enumerate(self._items.get(section, ())):
            self.pacer.pause()
            if not isinstance(item, dict):
                continue
            name = item.get('name')
            # Strings from JSON may contain lone surrogates, which can't be
            # encoded for hashing.
            if isinstance(name, str) and name.isascii():
                yield index, item

    def has_item(self, section: str, name: object) -> bool:
        """Return whether a section has an item with this name."""
        return isinstance(name, str) and name in self._names.get(section, ())

    def make_error(
        self, section: str, index: int, field: str, found: object, allowed: str
    ) -> errors.SettingError:
        """Return the error for one field of one item."""
        path = f'{section}[{index}].{field}'
        return errors.SettingError(self.source, path, found, allowed)


def find_mistakes(
    values: dict[str, list[Item]], *, source: str, pacer: pacing.Pacer
) -> Mistakes:
    """Yield every mistake that involves several items or sections."""
    document_index = DocumentIndex(values, source=source, pacer=pacer)
    for section in values:
        yield from _check_names(document_index, section)
    yield from _check_services(document_index)
    yield from _check_backend_servers(document_index)
    yield from _check_request_kinds(document_index)
    yield from _check_accounts(document_index)
    yield from _check_keys(document_index)


def _check_names(document_index: DocumentIndex, section: str) -> Mistakes:
    """Check that names, and their numbers in messages, are unique.

    Two accounts with the same number would be treated as one account, and
    one of them would be charged for both.
    """
    first: dict[str, int] = {}
    numbers: dict[int, str] = {}
    for index, item in document_index.list_items(section):
        name = item['name']
        if name in first:
            allowed = f'a unique name ({section}[{first[name]}] has this one)'
            yield document_index.make_error(
                section, index, 'name', name, allowed
            )
            continue
        first[name] = index
        other = numbers.setdefault(identity.hash_name(name), name)
        if other != name:
            allowed = (
                f'any other name (this one and {other!r} have the same '
                'number in messages between instances)'
            )
            yield document_index.make_error(
                section, index, 'name', name, allowed
            )


def _check_services(document_index: DocumentIndex) -> Mistakes:
    """Check that each service has a lasting server and a request kind.

    If all backend servers of a service are leaving, requests that are queued
    for the service would never be served.
    """
    services_with_servers = set()
    for _, item in document_index.list_items('backend_servers'):
        if item.get('leaving') is not True:
            services_with_servers.add(str(item.get('service')))
    services_with_kinds = {
        str(item.get('service'))
        for _, item in document_index.list_items('request_kinds')
    }
    for index, item in document_index.list_items('services'):
        name = item['name']
        if name not in services_with_servers:
            allowed = (
                'a service with a backend server that is not leaving, because '
                'its queued requests would never be served; add one, or '
                'remove the service, its request kinds and its uses in '
                'accounts'
            )
            yield document_index.make_error(
                'services', index, 'name', name, allowed
            )
        if name not in services_with_kinds:
            allowed = 'a service with at least one request kind'
            yield document_index.make_error(
                'services', index, 'name', name, allowed
            )


def _check_backend_servers(document_index: DocumentIndex) -> Mistakes:
    first: dict[str, str] = {}
    section = 'backend_servers'
    for index, item in document_index.list_items(section):
        for field, target in (
            ('service', 'services'),
            ('failure_domain', 'failure_domains'),
        ):
            yield from _check_name(
                document_index, section, index, field, item, target
            )
        address = item.get('address')
        if not isinstance(address, str):
            continue
        other = first.setdefault(address, item['name'])
        if other != item['name']:
            allowed = (
                f'a unique address ({other} has this one), because its slots '
                'would be counted twice'
            )
            yield document_index.make_error(
                section, index, 'address', address, allowed
            )


def _check_name(
    document_index: DocumentIndex,
    section: str,
    index: int,
    field: str,
    item: Item,
    target: str,
) -> Mistakes:
    found = item.get(field)
    if isinstance(found, str) and not document_index.has_item(target, found):
        allowed = f'the name of an item of {target}; add it there first'
        yield document_index.make_error(section, index, field, found, allowed)


def _check_request_kinds(document_index: DocumentIndex) -> Mistakes:
    """Check that no kind of a plain service is shadowed by an earlier one.

    If a booking matched an earlier kind that is marked idempotent, the
    booking would be repeated after a lost answer and made twice.
    """
    section = 'request_kinds'
    plain = {
        item['name']
        for _, item in document_index.list_items('services')
        if item.get('kind') == 'plain'
    }
    earlier: dict[str, list[Item]] = {}
    for index, item in document_index.list_items(section):
        service = item.get('service')
        yield from _check_name(
            document_index, section, index, 'service', item, 'services'
        )
        if not isinstance(service, str) or service not in plain:
            continue
        before = earlier.setdefault(service, [])
        for other in before:
            if _shadows(other, item):
                allowed = (
                    f'a position before {other["name"]!r}, which matches all '
                    'requests of this kind'
                )
                yield document_index.make_error(
                    section, index, 'path_prefix', item['name'], allowed
                )
                break
        before.append(item)


def _shadows(earlier: Item, later: Item) -> bool:
    method = earlier.get('method', '*')
    prefix = str(earlier.get('path_prefix', '/'))
    if method not in ('*', later.get('method', '*')):
        return False
    return str(later.get('path_prefix', '/')).startswith(prefix)


def _check_accounts(document_index: DocumentIndex) -> Mistakes:
    section = 'client_accounts'
    for index, item in document_index.list_items(section):
        services = item.get('services')
        if not isinstance(services, list):
            continue
        if not services:
            allowed = 'at least one service that the account may use'
            yield document_index.make_error(
                section, index, 'services', [], allowed
            )
        seen: set[str] = set()
        for place, name in enumerate(services):
            field = f'services[{place}]'
            if not isinstance(name, str):
                continue
            if not document_index.has_item('services', name):
                allowed = 'the name of an item of services'
                yield document_index.make_error(
                    section, index, field, name, allowed
                )
            if name in seen:
                allowed = 'each service at most once'
                yield document_index.make_error(
                    section, index, field, name, allowed
                )
            seen.add(name)


def _check_keys(document_index: DocumentIndex) -> Mistakes:
    """Check that no bearer key belongs to two accounts.

    The requests of one of them would be attributed to the other.
    """
    section = 'client_accounts'
    owners: dict[str, str] = {}
    for index, item in document_index.list_items(section):
        keys = item.get('keys', [])
        if not isinstance(keys, list):
            continue
        for place, key in enumerate(keys):
            if not isinstance(key, str):
                continue
            if key in owners:
                allowed = f'a unique key ({owners[key]} has this one)'
                field = f'keys[{place}]'
                yield document_index.make_error(
                    section, index, field, key, allowed
                )
            owners.setdefault(key, item['name'])
