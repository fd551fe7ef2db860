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
        reason: What is wrong, written for operators.
        row: The row's key, or its position in a file or request.
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
    All mistakes in one edit or file.
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
    Another edit was accepted after the version that this edit is based on.

    Args:
        base_version: The version that the operator saw and edited.
        version: The current version of the table.
        deltas: The edits since *base_version* that are still stored.
    """

    def __init__(
        self,
        *,
        base_version: int,
        version: int,
        deltas: tuple[Delta, ...],
    ) -> None:
        super().__init__(
            f'the table is at version {version}, but the edit is based on '
            f'version {base_version}',
        )
        self.base_version = base_version
        self.version = version
        self.deltas = deltas


class TableUnavailableError(TableError):
    """
    The table cannot be read or edited at present; no edit was applied.
    """


class EditOutcomeUnknownError(TableError):
    """
    The store's replies were lost: the edit may or may not have been applied.

    Args:
        edit_id: The id of the edit, which the history shows if it was applied.
        version: The table version that the edit produced if it was applied.
    """

    def __init__(self, *, edit_id: str, version: int) -> None:
        super().__init__(
            'the store did not reply, so the edit may or may not be applied; '
            f'check in the history whether version {version} is edit '
            f'{edit_id}',
        )
        self.edit_id = edit_id
        self.version = version
