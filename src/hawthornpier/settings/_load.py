"""
Loading of the settings; all mistakes of a file are reported together.
"""

import pathlib
from collections.abc import Mapping
from dataclasses import MISSING, fields
from types import MappingProxyType
from typing import Any, get_type_hints

from hawthornpier.settings import _convert
from hawthornpier.settings._errors import (
    InvalidValueError,
    MissingKeyError,
    SettingsErrorGroup,
    UnknownKeyError,
    UnknownSectionError,
    UnreadableFileError,
)
from hawthornpier.settings._model import Settings
from hawthornpier.settings._rules import check_sections, check_value
from hawthornpier.settings._source import Source, read_source


def load_settings(path: str | pathlib.Path) -> Settings:
    """
    Read the settings of one process.

    Relative names of key and certificate files are resolved against the
    directory of the settings file.

    Args:
        path: The INI file.

    Returns:
        The settings, with defaults filled in and key files read.

    Raises:
        SettingsErrorGroup: With one `SettingsError` for each mistake.
    """
    file = pathlib.Path(path)
    try:
        text = file.read_text(encoding='utf-8-sig')
    except (OSError, UnicodeDecodeError, ValueError) as error:
        reason = getattr(error, 'strerror', None) or 'not valid UTF-8 text'
        unreadable = UnreadableFileError(f'{reason}', path=str(path))
        raise SettingsErrorGroup('invalid settings', [unreadable]) from error
    return parse_settings(text, path=str(path), directory=file.parent)


def parse_settings(
    text: str,
    *,
    path: str = '<settings>',
    directory: str | pathlib.Path = '',
) -> Settings:
    """
    Parse the text of a settings file.

    Args:
        text: The content of the file.
        path: The name of the file in error messages.
        directory: The directory of relative file names.

    Returns:
        The settings, with defaults filled in and key files read.

    Raises:
        SettingsErrorGroup: With one `SettingsError` for each mistake.
    """
    source = read_source(text, path)
    hints = get_type_hints(Settings)
    for header in source.entries:
        if header not in hints:
            source.add_error(
                UnknownSectionError,
                f'unknown section; the allowed ones are {", ".join(hints)}',
                section=header,
            )
    sections = {
        section: _load_section(source, section, model)
        for section, model in hints.items()
    }
    check_sections(sections, source, pathlib.Path(directory))
    if source.errors:
        raise SettingsErrorGroup(
            'invalid settings',
            sorted(
                source.errors,
                key=lambda error: (error.line, error.section, error.key),
            ),
        )
    return Settings(**sections)


_PLACEHOLDER_VALUES: Mapping[type, Any] = MappingProxyType({str: '', int: 1})


def _load_section(source: Source, section: str, model: type) -> Any:
    """
    Return an instance of *model*, or None if a required value is missing.

    The mistakes of the section are recorded in *source*.
    """
    entries = source.entries.get(section, {})
    hints = get_type_hints(model)
    required = {
        field.name for field in fields(model) if field.default is MISSING
    }
    # A key with an empty value is treated as not set.
    present = {key for key, text in entries.items() if text.strip()}
    for unknown in entries.keys() - hints.keys():
        source.add_error(
            UnknownKeyError,
            f'unknown key; the allowed ones are {", ".join(hints)}',
            section=section,
            key=unknown,
        )
    for missing in required - present:
        source.add_error(
            MissingKeyError,
            'required, but not set',
            section=section,
            key=missing,
        )
    loaded_values = _load_values(source, section, hints, present & hints.keys())
    # Placeholders allow the rules between values to run, so that one invalid
    # value does not hide another mistake.  The rules report no mistake at a key
    # that already has one.
    loaded_values.update(
        (key, _PLACEHOLDER_VALUES[hints[key]])
        for key in required - loaded_values.keys()
        if hints[key] in _PLACEHOLDER_VALUES
    )
    return model(**loaded_values) if required <= loaded_values.keys() else None


def _load_values(
    source: Source,
    section: str,
    hints: dict[str, Any],
    keys: set[str],
) -> dict[str, Any]:
    """
    Return the values of *keys* without the invalid ones.
    """
    loaded_values = {
        key: _load_value(source, section, key, hints[key]) for key in keys
    }
    return {
        key: entry for key, entry in loaded_values.items() if entry is not None
    }


def _load_value(source: Source, section: str, key: str, hint: Any) -> Any:
    try:
        return check_value(
            section,
            key,
            _convert.convert(hint, source.entries[section][key].strip()),
        )
    except ValueError as error:
        source.add_error(
            InvalidValueError, str(error), section=section, key=key
        )
        return None
