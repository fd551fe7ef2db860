"""
Reading of an INI file with configparser, with the line of each key.
"""

import configparser
import re
import sys
from dataclasses import dataclass, field

from hawthornpier.settings._errors import (
    DuplicateKeyError,
    SettingsError,
    SettingsErrorGroup,
    SettingsSyntaxError,
)

_HEADER_PATTERN = re.compile(r'\[(?P<section>.+)\]')
# configparser copies the keys of its default section into all others, which
# would hide misplaced keys.  With this name, only the header "[]]" would give a
# file a default section.
_NO_DEFAULT_SECTION = ']'


@dataclass(frozen=True, slots=True, kw_only=True)
class Source:
    """
    The values of a settings file as text, their lines and all mistakes found.

    *entries* maps sections to keys and texts.  *lines* maps (section, key) to
    the line of a key, and (section, '') to that of a section header.
    """

    path: str
    entries: dict[str, dict[str, str]]
    lines: dict[tuple[str, str], int]
    errors: list[SettingsError] = field(default_factory=list)

    def add_error(
        self,
        error_type: type[SettingsError],
        reason: str,
        *,
        section: str = '',
        key: str = '',
    ) -> None:
        """
        Record a mistake at the line of the key, or else at that of its section.
        """
        line = self.lines.get((section, key), self.lines.get((section, ''), 0))
        self.errors.append(
            error_type(
                reason,
                path=self.path,
                section=section,
                key=key,
                line=line,
            ),
        )


def read_source(text: str, path: str) -> Source:
    """
    Split *text* into sections and keys; syntax errors are in the result.

    Raises:
        SettingsErrorGroup: If there is text before the first section.
    """
    parser = configparser.RawConfigParser(
        delimiters=('=',),
        comment_prefixes=('#', ';'),
        strict=False,
        # Otherwise a comment line would end a value of several lines.
        empty_lines_in_values=True,
        default_section=_NO_DEFAULT_SECTION,
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    errors: list[SettingsError] = []
    try:
        parser.read_string(text, path)
    except configparser.MissingSectionHeaderError as error:
        # configparser has read no key, so any other report would be misleading.
        syntax_error = _syntax_error(
            'no section header before this line', path, error.lineno
        )
        raise SettingsErrorGroup('invalid settings', [syntax_error]) from error
    except configparser.ParsingError as error:
        errors.extend(
            _syntax_error('expected "key = value"', path, line)
            for line, _ in error.errors
        )
    source = Source(
        path=path,
        entries={
            section: {
                key: value or ''
                for key, value in parser.items(section, raw=True)
            }
            for section in parser.sections()
        },
        lines={},
        errors=errors,
    )
    _find_lines(text, source)
    return source


def _syntax_error(reason: str, path: str, line: int) -> SettingsError:
    return SettingsSyntaxError(reason, path=path, line=line)


def _find_lines(text: str, source: Source) -> None:
    """
    Record the line of each section and key, and report duplicate keys.

    The line of a duplicate is that of its first occurrence.
    """
    section = ''
    key_indent = sys.maxsize
    for number, line in enumerate(text.split('\n'), start=1):
        stripped = line.strip()
        indent = len(line) - len(line.lstrip())
        if not stripped or stripped[0] in '#;' or indent > key_indent:
            continue  # Empty, a comment, or a continuation line of a value.
        header = _HEADER_PATTERN.match(stripped)
        if header:
            section, key_indent = header['section'], sys.maxsize
            source.lines.setdefault((section, ''), number)
        else:
            key_indent = indent
            key = stripped.partition('=')[0].rstrip()
            _record_key_line(source, section, key, number)


def _record_key_line(source: Source, section: str, key: str, line: int) -> None:
    first_line = source.lines.setdefault((section, key), line)
    if first_line != line:
        source.errors.append(
            DuplicateKeyError(
                f'already set on line {first_line}',
                path=source.path,
                section=section,
                key=key,
                line=line,
            ),
        )
