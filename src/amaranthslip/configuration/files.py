"""Document files: TOML for people, JSON for automation."""

import json
import pathlib
import tomllib

from amaranthslip.configuration import document
from amaranthslip.configuration import validation
from amaranthslip import errors


def read_values(path: pathlib.Path) -> object:
    """Parse a document file; its ending `.json` or `.toml` decides how.

    Raises
    ------
    SettingsInvalid
        The file can't be read or is neither.
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
