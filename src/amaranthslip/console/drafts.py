"""Drafts: an operator's changes that are not submitted yet.

A draft is kept in a signed cookie, not in the instance: the next page may
come from another router, and this one may be replaced at any time.
"""

import copy
import hashlib
import typing

import itsdangerous

from amaranthslip.configuration import document
from amaranthslip.configuration import parts
from amaranthslip.console import authentication

COOKIE = 'amaranthslip_draft'
# Browsers keep cookies of four kilobytes.
MOST_BYTES = 3800
# Stands for a stored password hash, which is never shown to anyone.
UNCHANGED = '(unchanged)'

Values = dict[str, list[dict[str, typing.Any]]]


class Edit:
    """One item that a draft puts in place of another, adds or removes.

    `name` is the item's name before, empty for a new one; `values` are its
    fields after, None for a removed one.
    """

    __slots__ = ('section', 'name', 'values')

    def __init__(
        self,
        *,
        section: str,
        name: str,
        values: dict[str, typing.Any] | None,
    ) -> None:
        self.section = section
        self.name = name
        self.values = values

    @property
    def new_name(self) -> str:
        """The item's name after the edit, empty for a removed one."""
        return str(self.values['name']) if self.values else ''


class Draft:
    """The edits on top of one version."""

    __slots__ = ('base', 'edits')

    def __init__(
        self, *, base: int, edits: typing.Iterable[Edit] = ()
    ) -> None:
        self.base = base
        self.edits = list(edits)

    def put(self, edit: Edit) -> None:
        """Add an edit; one of the same item takes the earlier one's place."""
        for place, earlier in enumerate(self.edits):
            if earlier.section != edit.section or not edit.name:
                continue
            if earlier.new_name != edit.name:
                continue
            self.edits[place] = Edit(
                section=edit.section, name=earlier.name, values=edit.values
            )
            if not earlier.name and edit.values is None:
                del self.edits[place]
            return
        self.edits.append(edit)

    def apply(self, whole: document.Document) -> Values:
        """Return a document's values with the edits made in them."""
        values = export_document(whole)
        for edit in self.edits:
            _apply_edit(values.setdefault(edit.section, []), edit)
        return values


def _apply_edit(items: list[dict[str, typing.Any]], edit: Edit) -> None:
    places = [
        place for place, each in enumerate(items) if each['name'] == edit.name
    ]
    if edit.values is None:
        for place in places:
            del items[place]
    elif places:
        items[places[0]] = copy.deepcopy(edit.values)
    else:
        items.append(copy.deepcopy(edit.values))


def export_document(whole: document.Document) -> Values:
    """Return a document as values, without the operators' passwords."""
    values: Values = {}
    for section in document.SECTION_CLASSES:
        items = getattr(whole, section).values()
        values[section] = [parts.export_item(item) for item in items]
    for operator in values['operators']:
        operator['password'] = UNCHANGED
    return values


def restore_passwords(values: typing.Any, whole: document.Document) -> None:
    """Put stored password hashes where `UNCHANGED` stands for them."""
    operators = values.get('operators') if isinstance(values, dict) else None
    for item in operators if isinstance(operators, list) else ():
        if isinstance(item, dict) and item.get('password') == UNCHANGED:
            stored = whole.operators.get(str(item.get('name')))
            if stored is not None:
                item['password'] = stored.password


def _make_serializer(
    operator: document.Operator,
) -> itsdangerous.URLSafeSerializer:
    return itsdangerous.URLSafeSerializer(
        authentication.derive_key(operator),
        salt='amaranthslip console draft',
        signer_kwargs={'digest_method': hashlib.sha256},
    )


def write_draft(draft: Draft, operator: document.Operator) -> str:
    """Return a draft as its cookie's value."""
    edits = [parts.export_item(edit) for edit in draft.edits]
    return str(
        _make_serializer(operator).dumps({'base': draft.base, 'edits': edits})
    )


def read_draft(text: str, operator: document.Operator, base: int) -> Draft:
    """Read a cookie's value; one that can't be read is an empty draft."""
    try:
        content = _make_serializer(operator).loads(text)
        edits = [Edit(**each) for each in content['edits']]
        return Draft(base=content['base'], edits=edits)
    except (itsdangerous.BadData, KeyError, TypeError):
        return Draft(base=base)
