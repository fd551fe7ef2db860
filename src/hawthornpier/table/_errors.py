"""
Errors of the table.
"""

from hawthornpier.errors import HawthornpierError
from hawthornpier.table._rows import Delta


class TableError(HawthornpierError):
    """
    Base class of the table's errors.
    """


class RowError(TableError):
    """
    A row of an edit or of a file is invalid.

    Args:
        reason: What is wrong.
        row: The row's key, or its line in a file.
        column: The column, or an empty string.
    """

    def __init__(self, reason: str, *, row: str, column: str = '') -> None:
        super().__init__(reason)
        self.reason = reason
        self.row = row
        self.column = column

    def __str__(self) -> str:
        """
        Return one line that starts with the row and the column.
        """
        column = f', column {self.column}' if self.column else ''
        return f'{self.row}{column}: {self.reason}'


class RowErrorGroup(ExceptionGroup[RowError], TableError):
    """
    All mistakes of one edit or file.
    """


class NotPermittedError(TableError):
    """
    The operator's member may not make this change.
    """


class EmptyEditError(TableError):
    """
    The edit changes nothing.
    """


class EditConflictError(TableError):
    """
    Another edit was accepted since the version that the operator saw.

    Args:
        base_version: The version that the operator saw.
        version: The version of the table now.
        deltas: The other edits, as far as they are kept.
    """

    def __init__(
        self,
        *,
        base_version: int,
        version: int,
        deltas: tuple[Delta, ...],
    ) -> None:
        super().__init__(
            f'the table is at version {version}, not {base_version}',
        )
        self.base_version = base_version
        self.version = version
        self.deltas = deltas


class TableUnavailableError(TableError):
    """
    The table cannot be read or edited now; the edit is not applied.
    """


class EditOutcomeUnknownError(TableError):
    """
    The store's answers were lost: the edit may or may not be applied.

    Args:
        edit_id: The id that the history shows if the edit is applied.
        version: The version that the edit has if it is applied.
    """

    def __init__(self, *, edit_id: str, version: int) -> None:
        super().__init__(
            f'no answer from the store; see whether version {version} is '
            f'edit {edit_id}',
        )
        self.edit_id = edit_id
        self.version = version
