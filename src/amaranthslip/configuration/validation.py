"""Validation of parsed values, which reports all mistakes together."""

import typing

from amaranthslip.configuration import document
from amaranthslip.configuration import pacing
from amaranthslip.configuration import rules
from amaranthslip.configuration import schemas
from amaranthslip import errors

Values = dict[str, list[dict[str, typing.Any]]]

_MAX_MISTAKES = 1000


def validate(
    values: object, *, version: int = 0, source: str = 'document'
) -> document.Document:
    """Check parsed values and build the document from them.

    The function yields to other greenlets regularly, so that a large document
    does not block them.

    Parameters
    ----------
    values : object
        The result of a JSON or TOML parser: a table of sections, each of
        which is a list of items.
    version : int
        The version number of the document.
    source : str
        The file or request that error messages name.

    Raises
    ------
    SettingsInvalid
        The values have mistakes. It contains one SettingError for each of the
        first 1,000.
    """
    pacer = pacing.Pacer()
    mistakes = []
    for mistake in find_mistakes(values, source=source, pacer=pacer):
        mistakes.append(mistake)
        if len(mistakes) == _MAX_MISTAKES:
            break
    if mistakes:
        raise errors.SettingsInvalid('configuration invalid', mistakes)
    return _build(typing.cast(Values, values), version, pacer)


def find_mistakes(
    values: object, *, source: str, pacer: pacing.Pacer
) -> typing.Iterator[errors.SettingError]:
    """Yield the mistakes of single items, then those across sections."""
    if not isinstance(values, dict):
        yield errors.SettingError(source, '(all)', values, 'a table')
        return
    names = ', '.join(document.SECTION_CLASSES)
    for name in values.keys() - document.SECTION_CLASSES.keys():
        found = values[name]
        yield errors.SettingError(source, str(name), found, names)
    section_lists: Values = {}
    for section in document.SECTION_CLASSES:
        items = values.get(section, [])
        if not isinstance(items, list):
            yield errors.SettingError(source, section, items, 'a list')
            continue
        section_lists[section] = items
        for index, item in enumerate(items):
            pacer.pause()
            path = f'{section}[{index}]'
            yield from _find_item_mistakes(section, item, path, source)
    yield from rules.find_mistakes(section_lists, source=source, pacer=pacer)


def _find_item_mistakes(
    section: str, item: object, path: str, source: str
) -> typing.Iterator[errors.SettingError]:
    if schemas.ITEM_VALIDATORS[section].is_valid(item):
        return
    if not isinstance(item, dict):
        yield errors.SettingError(source, path, item, 'a table')
        return
    fields = schemas.FIELDS[section]
    for name in item.keys() - fields.keys():
        allowed = 'fields ' + ', '.join(fields)
        yield errors.SettingError(
            source, f'{path}.{name}', item[name], allowed
        )
    for name, validator in schemas.FIELD_VALIDATORS[section].items():
        missing = name not in item
        if missing and name not in schemas.REQUIRED[section]:
            continue
        if missing or not validator.is_valid(item[name]):
            allowed = fields[name]['description']
            yield errors.SettingError(
                source, f'{path}.{name}', item.get(name), allowed
            )


def _build(
    values: Values, version: int, pacer: pacing.Pacer
) -> document.Document:
    sections: dict[str, list[typing.Any]] = {}
    for section, section_class in document.SECTION_CLASSES.items():
        built = sections[section] = []
        for item in values.get(section, []):
            pacer.pause()
            built.append(section_class(**item))
    return document.Document(version=version, **sections)
