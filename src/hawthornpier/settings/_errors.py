"""
Errors of the settings file.
"""

from hawthornpier.errors import HawthornpierError


class SettingsError(HawthornpierError):
    """
    One mistake in a settings file.

    Args:
        reason: What is wrong and what is allowed, written for operators.
        path: The settings file.
        section: The section, or an empty string.
        key: The key within the section, or an empty string.
        line: The line, counted from 1; 0 if the mistake has no line.
    """

    def __init__(
        self,
        reason: str,
        *,
        path: str,
        section: str = '',
        key: str = '',
        line: int = 0,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.path = path
        self.section = section
        self.key = key
        self.line = line

    def __str__(self) -> str:
        """
        Return one line that starts with the file, line, section and key.
        """
        location = f'{self.path}:{self.line}' if self.line else self.path
        section = f' [{self.section}]' if self.section else ''
        key = f' {self.key}' if self.key else ''
        within = f'{section}{key}:' if section else ''
        return f'{location}:{within} {self.reason}'


class UnreadableFileError(SettingsError):
    """
    The settings file or a key or certificate file cannot be read as text.
    """


class SettingsSyntaxError(SettingsError):
    """
    A line is neither a section header, a key with a value, nor a comment.
    """


class UnknownSectionError(SettingsError):
    """
    The settings have no such section.
    """


class UnknownKeyError(SettingsError):
    """
    The section has no such key.
    """


class DuplicateKeyError(SettingsError):
    """
    The key occurs more than once in its section.
    """


class MissingKeyError(SettingsError):
    """
    A key without a default is missing or has an empty value.
    """


class InvalidValueError(SettingsError):
    """
    The value has the wrong form or is out of range.
    """


class ConflictingValuesError(SettingsError):
    """
    Values that are valid alone contradict each other.
    """


class SettingsErrorGroup(ExceptionGroup[SettingsError], HawthornpierError):
    """
    All mistakes of one settings file, ordered by line.
    """
