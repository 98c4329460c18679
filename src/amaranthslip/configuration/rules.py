"""What only shows across the sections of a document."""

import typing

from amaranthslip.configuration import pacing
from amaranthslip import errors
from amaranthslip import identity

Item = dict[str, typing.Any]
Mistakes = typing.Iterator[errors.SettingError]


class Review:
    """The sections of one document, indexed for the rules below.

    Items that are malformed by themselves are passed over here; their own
    mistakes are reported by the schema.
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
        """Yield index and item of those that are tables with a name."""
        for index, item in enumerate(self._items.get(section, ())):
            self.pacer.pause()
            if not isinstance(item, dict):
                continue
            name = item.get('name')
            # Text from JSON may hold lone surrogates, which can't be hashed.
            if isinstance(name, str) and name.isascii():
                yield index, item

    def knows(self, section: str, name: object) -> bool:
        """Tell whether a section has an item of that name."""
        return isinstance(name, str) and name in self._names.get(section, ())

    def report(
        self, section: str, index: int, field: str, found: object, allowed: str
    ) -> errors.SettingError:
        """Return the mistake at one field of one item."""
        path = f'{section}[{index}].{field}'
        return errors.SettingError(self.source, path, found, allowed)


def find_mistakes(
    values: dict[str, list[Item]], *, source: str, pacer: pacing.Pacer
) -> Mistakes:
    """Yield every mistake that shows between items or sections."""
    review = Review(values, source=source, pacer=pacer)
    for section in values:
        yield from _check_names(review, section)
    yield from _check_services(review)
    yield from _check_backend_servers(review)
    yield from _check_request_kinds(review)
    yield from _check_accounts(review)
    yield from _check_keys(review)


def _check_names(review: Review, section: str) -> Mistakes:
    """Names are unique, and so are their numbers in messages.

    Two accounts with one number would be served as one: one of them would
    silently pay for both.
    """
    first: dict[str, int] = {}
    numbers: dict[int, str] = {}
    for index, item in review.list_items(section):
        name = item['name']
        if name in first:
            allowed = f'a name of its own ({section}[{first[name]}] has it)'
            yield review.report(section, index, 'name', name, allowed)
            continue
        first[name] = index
        other = numbers.setdefault(identity.identify(name), name)
        if other != name:
            allowed = (
                f'any other name (this one and {other!r} have the same '
                'number in messages between instances)'
            )
            yield review.report(section, index, 'name', name, allowed)


def _check_services(review: Review) -> Mistakes:
    """Each service can be served, so that no queued request is stranded."""
    staying = set()
    for _, item in review.list_items('backend_servers'):
        if item.get('leaving') is not True:
            staying.add(str(item.get('service')))
    described = {
        str(item.get('service'))
        for _, item in review.list_items('request_kinds')
    }
    for index, item in review.list_items('services'):
        name = item['name']
        if name not in staying:
            allowed = (
                'a service with a backend server that is not leaving: its '
                'queued requests would be stranded; add one, or remove the '
                'service from here, its accounts and its request kinds'
            )
            yield review.report('services', index, 'name', name, allowed)
        if name not in described:
            allowed = 'a service with at least one request kind'
            yield review.report('services', index, 'name', name, allowed)


def _check_backend_servers(review: Review) -> Mistakes:
    first: dict[str, str] = {}
    section = 'backend_servers'
    for index, item in review.list_items(section):
        for field, target in (
            ('service', 'services'),
            ('failure_domain', 'failure_domains'),
        ):
            yield from _check_name(review, section, index, field, item, target)
        address = item.get('address')
        if not isinstance(address, str):
            continue
        other = first.setdefault(address, item['name'])
        if other != item['name']:
            allowed = (
                f'an address of its own ({other} has it): its slots would '
                'be counted twice'
            )
            yield review.report(section, index, 'address', address, allowed)


def _check_name(
    review: Review,
    section: str,
    index: int,
    field: str,
    item: Item,
    target: str,
) -> Mistakes:
    found = item.get(field)
    if isinstance(found, str) and not review.knows(target, found):
        allowed = f'the name of an item of {target}; add it there first'
        yield review.report(section, index, field, found, allowed)


def _check_request_kinds(review: Review) -> Mistakes:
    """No kind of a plain service hides behind an earlier, broader one.

    A booking that is taken for an earlier kind, which may be repeated,
    would be booked twice after a lost answer.
    """
    section = 'request_kinds'
    plain = {
        item['name']
        for _, item in review.list_items('services')
        if item.get('kind') == 'plain'
    }
    earlier: dict[str, list[Item]] = {}
    for index, item in review.list_items(section):
        service = item.get('service')
        yield from _check_name(
            review, section, index, 'service', item, 'services'
        )
        if not isinstance(service, str) or service not in plain:
            continue
        before = earlier.setdefault(service, [])
        for other in before:
            if _covers(other, item):
                allowed = (
                    f'a place before {other["name"]!r}, which matches all '
                    'of its requests'
                )
                yield review.report(
                    section, index, 'path_prefix', item['name'], allowed
                )
                break
        before.append(item)


def _covers(earlier: Item, later: Item) -> bool:
    method = earlier.get('method', '*')
    prefix = str(earlier.get('path_prefix', '/'))
    if method not in ('*', later.get('method', '*')):
        return False
    return str(later.get('path_prefix', '/')).startswith(prefix)


def _check_accounts(review: Review) -> Mistakes:
    section = 'client_accounts'
    for index, item in review.list_items(section):
        services = item.get('services')
        if not isinstance(services, list):
            continue
        if not services:
            allowed = 'at least one service that the account may reach'
            yield review.report(section, index, 'services', [], allowed)
        seen: set[str] = set()
        for place, name in enumerate(services):
            field = f'services[{place}]'
            if not isinstance(name, str):
                continue
            if not review.knows('services', name):
                allowed = 'the name of an item of services'
                yield review.report(section, index, field, name, allowed)
            if name in seen:
                allowed = 'each service once'
                yield review.report(section, index, field, name, allowed)
            seen.add(name)


def _check_keys(review: Review) -> Mistakes:
    """One bearer key belongs to one account, or requests go astray."""
    section = 'client_accounts'
    owners: dict[str, str] = {}
    for index, item in review.list_items(section):
        keys = item.get('keys', [])
        if not isinstance(keys, list):
            continue
        for place, key in enumerate(keys):
            if not isinstance(key, str):
                continue
            if key in owners:
                allowed = f'a key of its own ({owners[key]} has this one)'
                field = f'keys[{place}]'
                yield review.report(section, index, field, key, allowed)
            owners.setdefault(key, item['name'])
