"""Comparison of two documents by section, item and field."""

import typing

from amaranthslip.configuration import document
from amaranthslip.configuration import pacing

# Fields that hold hashes of secrets: a change is shown without the values.
_SECRET_FIELDS = frozenset({'keys', 'password'})
_REDACTED_TEXT = '(not shown)'

ADDED = 'added'
REMOVED = 'removed'
CHANGED = 'changed'


class FieldChange:
    """The values of one field of an item before and after a change."""

    __slots__ = ('name', 'before', 'after')

    def __init__(self, *, name: str, before: object, after: object) -> None:
        self.name = name
        self.before = before
        self.after = after


class Change:
    """One item that was added, removed or changed."""

    __slots__ = ('section', 'name', 'kind', 'fields')

    def __init__(
        self,
        *,
        section: str,
        name: str,
        kind: str,
        fields: typing.Sequence[FieldChange] = (),
    ) -> None:
        self.section = section
        self.name = name
        self.kind = kind
        self.fields = tuple(fields)

    def __str__(self) -> str:
        text = f'{self.section} {self.name}: {self.kind}'
        if not self.fields:
            return text
        field_texts = ', '.join(
            f'{field.name} {field.before} -> {field.after}'
            for field in self.fields
        )
        return f'{text} ({field_texts})'


class Difference:
    """All changes from one document to another, ordered by section."""

    __slots__ = ('changes',)

    def __init__(self, changes: typing.Iterable[Change]) -> None:
        self.changes = tuple(changes)

    def __bool__(self) -> bool:
        return bool(self.changes)

    def __str__(self) -> str:
        return '\n'.join(str(change) for change in self.changes)


def compare(before: document.Document, after: document.Document) -> Difference:
    """Return the changes from `before` to `after`.

    The order of request kinds matters, because a request belongs to the
    first kind that matches it. A kind whose position changed is reported as
    a change of `place`.
    """
    pacer = pacing.Pacer()
    changes: list[Change] = []
    for section in document.SECTION_CLASSES:
        old, new = getattr(before, section), getattr(after, section)
        changes += _compare_items(section, old, new, pacer)
    changes += _compare_order(before.request_kinds, after.request_kinds)
    return Difference(changes)


def _compare_items(
    section: str,
    old: dict[str, typing.Any],
    new: dict[str, typing.Any],
    pacer: pacing.Pacer,
) -> typing.Iterator[Change]:
    for name, item in old.items():
        pacer.pause()
        if name not in new:
            yield Change(section=section, name=name, kind=REMOVED)
        elif new[name] is not item:
            fields = list(_compare_fields(item, new[name]))
            if fields:
                yield Change(
                    section=section, name=name, kind=CHANGED, fields=fields
                )
    for name in new:
        if name not in old:
            yield Change(section=section, name=name, kind=ADDED)


def _compare_fields(
    old: typing.Any, new: typing.Any
) -> typing.Iterator[FieldChange]:
    for name in type(old).__slots__:
        before, after = getattr(old, name), getattr(new, name)
        if before == after:
            continue
        if name in _SECRET_FIELDS:
            before = after = _REDACTED_TEXT
        yield FieldChange(name=name, before=before, after=after)


def _compare_order(
    old: dict[str, typing.Any], new: dict[str, typing.Any]
) -> typing.Iterator[Change]:
    kept_before = [name for name in old if name in new]
    kept_after = [name for name in new if name in old]
    for position, name in enumerate(kept_after):
        if kept_before[position] != name:
            position_change = FieldChange(
                name='place',
                before=kept_before.index(name) + 1,
                after=position + 1,
            )
            yield Change(
                section='request_kinds',
                name=name,
                kind=CHANGED,
                fields=[position_change],
            )
