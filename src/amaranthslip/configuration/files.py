"""Reading of document files in TOML or JSON."""

import json
import pathlib
import tomllib

from amaranthslip.configuration import document
from amaranthslip.configuration import validation
from amaranthslip import errors


def read_values(path: pathlib.Path) -> object:
    """Parse a document file: as JSON if it ends in `.json`, else as TOML.

    Raises
    ------
    SettingsInvalid
        The file can't be read, or is not valid JSON or TOML.
    """
    try:
        text = path.read_text(encoding='utf-8')
        if path.suffix == '.json':
            return json.loads(text)
        return tomllib.loads(text)
    except (OSError, ValueError, RecursionError) as error:
        mistake = errors.SettingError(
            str(path), '(file)', str(error), 'a readable TOML or JSON file'
        )
        raise errors.SettingsInvalid(
            'configuration invalid', [mistake]
        ) from None


def read_document(path: pathlib.Path) -> document.Document:
    """Parse and validate a document file; see `validation.validate`."""
    return validation.validate(read_values(path), source=str(path))
