"""
A history file with one JSON document on each line.
"""

from pathlib import Path
from types import TracebackType

import msgspec

from hawthornpier_standin.history import Record


class HistoryFile:
    """
    Appends records to a file.

    Every record is handed to the operating system at once, so that the
    history is complete up to the moment at which a process is killed.

    Args:
        path: The file; it is created, or continued if it exists.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open('ab', buffering=0)

    def __enter__(self) -> 'HistoryFile':
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def record(self, record: Record) -> None:
        """
        Append *record*.
        """
        self._file.write(b'%s\n' % msgspec.json.encode(record))

    def close(self) -> None:
        """
        Close the file.
        """
        self._file.close()
