"""
Exit codes and errors of the command line.
"""

import enum
from collections.abc import Iterator, Mapping
from functools import singledispatch
from types import MappingProxyType

from hawthornpier.errors import HawthornpierError


class ExitCode(enum.IntEnum):
    """
    The exit codes of the commands; ``--help`` lists their meanings.
    """

    OK = 0
    FAILURE = 1
    USAGE = 2
    SETTINGS = 3
    INPUT = 4
    CONFLICT = 5
    NOT_PERMITTED = 6
    NOT_FOUND = 7
    UNAVAILABLE = 8
    UNKNOWN = 9
    DIFFERENT = 10
    INTERRUPTED = 130

    @property
    def meaning(self) -> str:
        """
        Return the meaning of the code, as shown by ``--help``.
        """
        return _MEANINGS[self]


_MEANINGS: Mapping[ExitCode, str] = MappingProxyType(
    {
        ExitCode.OK: 'done',
        ExitCode.FAILURE: 'internal error of the command or the entry process',
        ExitCode.USAGE: 'the command line is invalid',
        ExitCode.SETTINGS: 'the settings file is invalid',
        ExitCode.INPUT: 'a row, a key file or a job is invalid',
        ExitCode.CONFLICT: 'another edit came first; nothing was changed',
        ExitCode.NOT_PERMITTED: 'wrong key, or a row of another member',
        ExitCode.NOT_FOUND: 'there is no such job, row or proposal',
        ExitCode.UNAVAILABLE: 'entry process or store unavailable; no change',
        ExitCode.UNKNOWN: 'reply lost; the change may have been applied',
        ExitCode.DIFFERENT: 'the file and the table differ (table diff)',
        ExitCode.INTERRUPTED: 'interrupted from the keyboard',
    }
)


class CommandError(HawthornpierError):
    """
    A command failed for a reason that the operator can act on.

    Args:
        lines: The lines to write to standard error.
        code: The exit code of the command.
    """

    def __init__(self, *lines: str, code: ExitCode) -> None:
        super().__init__('; '.join(lines))
        self.lines = lines
        self.code = code


@singledispatch
def error_lines(error: BaseException) -> Iterator[str]:
    """
    Yield the lines that describe *error* on standard error.
    """
    yield f'{type(error).__name__}: {error}'


@error_lines.register
def _plain_lines(error: HawthornpierError) -> Iterator[str]:
    yield str(error)


@error_lines.register
def _command_lines(error: CommandError) -> Iterator[str]:
    yield from error.lines


@error_lines.register
def _group_lines(error: BaseExceptionGroup) -> Iterator[str]:
    for inner in error.exceptions:
        yield from error_lines(inner)
