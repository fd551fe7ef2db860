"""
Loads the settings and reports all mistakes together.
"""

import pathlib
from dataclasses import MISSING, fields, replace
from typing import Any, get_type_hints

from hawthornpier.settings import _convert
from hawthornpier.settings._errors import (
    BadValueError,
    MissingKeyError,
    SettingsErrorGroup,
    UnknownKeyError,
    UnknownSectionError,
    UnreadableFileError,
)
from hawthornpier.settings._model import Settings
from hawthornpier.settings._rules import check_settings, check_value
from hawthornpier.settings._source import Source, read_source


def load_settings(path: str | pathlib.Path) -> Settings:
    """
    Read the settings of one process.

    Relative names of key and certificate files start from the directory of
    the settings file.

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
        reason = getattr(error, 'strerror', None) or 'not text in UTF-8'
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
        path: The name that errors show.
        directory: Where relative file names start from.

    Returns:
        The settings, with defaults filled in and key files read.

    Raises:
        SettingsErrorGroup: With one `SettingsError` for each mistake.
    """
    source = read_source(text, path)
    hints = get_type_hints(Settings)
    for found in source.entries:
        if found not in hints:
            source.add(
                UnknownSectionError,
                f'unknown section; known are {", ".join(hints)}',
                section=found,
            )
    sections = {
        section: _load_section(source, section, model)
        for section, model in hints.items()
    }
    # Rules between sections need all of them, so they are checked only when
    # each is complete.
    settings = None
    if all(section is not None for section in sections.values()):
        settings = check_settings(
            Settings(**sections),
            source,
            pathlib.Path(directory),
        )
    if source.errors or settings is None:
        raise SettingsErrorGroup(
            'invalid settings',
            sorted(
                source.errors,
                key=lambda error: (error.line, error.section, error.key),
            ),
        )
    if settings.process.advertised_address:
        return settings
    return replace(settings, process=_with_own_address(settings))


def _with_own_address(settings: Settings) -> Any:
    process = settings.process
    host = process.listen_address
    shown = f'[{host}]' if ':' in host else host
    return replace(
        process,
        advertised_address=f'{shown}:{process.listen_port}',
    )


def _load_section(source: Source, section: str, model: type) -> Any:
    """
    Return an instance of *model*, or None if a required key is bad.
    """
    hints = get_type_hints(model)
    texts = source.entries.get(section, {})
    for unknown in texts.keys() - hints.keys():
        source.add(
            UnknownKeyError,
            f'unknown key; known are {", ".join(hints)}',
            section=section,
            key=unknown,
        )
    required = {
        field.name for field in fields(model) if field.default is MISSING
    }
    for missing in sorted(required - texts.keys()):
        source.add(MissingKeyError, 'not set', section=section, key=missing)
    found = {
        key: _load_value(source, section, key, hint)
        for key, hint in hints.items()
        if key in texts
    }
    good = {key: entry for key, entry in found.items() if entry is not None}
    return model(**good) if required <= good.keys() else None


def _load_value(source: Source, section: str, key: str, hint: Any) -> Any:
    try:
        return check_value(
            section,
            key,
            _convert.convert(hint, source.entries[section][key].strip()),
        )
    except ValueError as error:
        source.add(BadValueError, str(error), section=section, key=key)
        return None
