"""
Reads and writes histories as files of JSON lines.
"""

import pathlib
import types
from collections.abc import Iterable, Iterator
from typing import Self

import msgspec

from hawthornpier.errors import HawthornpierError
from hawthornpier_standin.history._records import Record


class HistoryError(HawthornpierError):
    """
    A history file is corrupt.
    """


class HistoryWriter:
    """
    Appends records to a file that only one process writes.

    Each record is passed to the operating system at once, so that killing the
    process loses at most the record that is being written.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('ab', buffering=0)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self.close()

    def write(self, record: Record) -> None:
        """
        Append one record.
        """
        # A single write call, so that a kill between two calls cannot split the
        # line.
        self._file.write(b'%b\n' % msgspec.json.encode(record))

    def close(self) -> None:
        """
        Close the file.
        """
        self._file.close()


def load_history(paths: Iterable[pathlib.Path]) -> list[Record]:
    """
    Load and merge history files, ordered by time.

    An incomplete last line, as a killed process leaves it, is skipped.

    Raises:
        HistoryError: Another line is not a valid record.
    """
    records = [record for path in paths for record in _records(path)]
    return sorted(records, key=lambda record: record.at_ms)


def _records(path: pathlib.Path) -> Iterator[Record]:
    *lines, _rest = path.read_bytes().split(b'\n')
    for number, line in enumerate(lines, start=1):
        try:
            yield msgspec.json.decode(line, type=Record)
        except msgspec.MsgspecError as error:
            raise HistoryError(
                f'{path.name}, line {number}: invalid record: {error}',
            ) from error
