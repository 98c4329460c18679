"""Drafts: an operator's changes that are not submitted yet.

A draft is stored in a signed cookie, not in the instance: another router may
serve the next page, and this instance may be replaced at any time.
"""

import copy
import hashlib
import typing

import itsdangerous

from amaranthslip.configuration import document
from amaranthslip.configuration import parts
from amaranthslip.console import authentication

COOKIE = 'amaranthslip_draft'
# Browsers store cookies of up to 4 KB.
MAX_COOKIE_BYTES = 3800
# Placeholder for a stored password hash, which is never sent to a client.
UNCHANGED = '(unchanged)'

Values = dict[str, list[dict[str, typing.Any]]]


class Edit:
    """One item that a draft changes, adds or removes.

    `name` is the item's name before the edit, empty for an added item;
    `values` are its fields after the edit, None for a removed item.
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
        """The item's name after the edit, empty for a removed item."""
        return str(self.values['name']) if self.values else ''


class Draft:
    """Edits of one version of the document."""

    __slots__ = ('base', 'edits')

    def __init__(
        self, *, base: int, edits: typing.Iterable[Edit] = ()
    ) -> None:
        self.base = base
        self.edits = list(edits)

    def add_edit(self, edit: Edit) -> None:
        """Add an edit, replacing an earlier edit of the same item."""
        for index, earlier in enumerate(self.edits):
            if earlier.section != edit.section or not edit.name:
                continue
            if earlier.new_name != edit.name:
                continue
            self.edits[index] = Edit(
                section=edit.section, name=earlier.name, values=edit.values
            )
            if not earlier.name and edit.values is None:
                del self.edits[index]
            return
        self.edits.append(edit)

    def apply(self, configuration: document.Document) -> Values:
        """Return a document's values with the edits applied."""
        values = export_document(configuration)
        for edit in self.edits:
            _apply_edit(values.setdefault(edit.section, []), edit)
        return values


def _apply_edit(items: list[dict[str, typing.Any]], edit: Edit) -> None:
    indices = [
        index for index, each in enumerate(items) if each['name'] == edit.name
    ]
    if edit.values is None:
        for index in indices:
            del items[index]
    elif indices:
        items[indices[0]] = copy.deepcopy(edit.values)
    else:
        items.append(copy.deepcopy(edit.values))


def export_document(configuration: document.Document) -> Values:
    """Return a document's values without the operators' password hashes."""
    values: Values = {}
    for section in document.SECTION_CLASSES:
        items = getattr(configuration, section).values()
        values[section] = [parts.export_item(item) for item in items]
    for operator in values['operators']:
        operator['password'] = UNCHANGED
    return values


def restore_passwords(
    values: typing.Any, configuration: document.Document
) -> None:
    """Replace each password `UNCHANGED` by the stored password hash."""
    operators = values.get('operators') if isinstance(values, dict) else None
    for item in operators if isinstance(operators, list) else ():
        if isinstance(item, dict) and item.get('password') == UNCHANGED:
            stored = configuration.operators.get(str(item.get('name')))
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
    """Return the cookie value that stores a draft."""
    edits = [parts.export_item(edit) for edit in draft.edits]
    return str(
        _make_serializer(operator).dumps({'base': draft.base, 'edits': edits})
    )


def read_draft(text: str, operator: document.Operator, base: int) -> Draft:
    """Return the draft in a cookie value, an empty one if it is invalid."""
    try:
        content = _make_serializer(operator).loads(text)
        edits = [Edit(**each) for each in content['edits']]
        return Draft(base=content['base'], edits=edits)
    except (itsdangerous.BadData, KeyError, TypeError):
        return Draft(base=base)
