"""
Edits of single cells, and text descriptions of row changes.
"""

from collections.abc import Iterator, Mapping

from hawthornpier.table._columns import format_cell, parse_cell
from hawthornpier.table._documents import ROW_TYPES, build_row, row_to_document
from hawthornpier.table._errors import RowError, RowErrorGroup
from hawthornpier.table._rows import Change, TableRow, row_key

# The columns whose values follow the kind in a row key, in this order.
_KEY_COLUMNS = ('member', 'name')


def change_row(
    key: str,
    current: TableRow | None,
    texts: Mapping[str, str],
) -> TableRow:
    """
    Return *current* with some cells changed, or a new row.

    Args:
        key: The row's key, for example ``workload/yayasan/desk``.
        current: The existing row, or None for a new row.
        texts: The new cells as text, by column; an empty text resets the
            cell to its default.

    Raises:
        RowErrorGroup: If the key or a cell is invalid.
    """
    kind, *names = key.split('/')
    if kind not in ROW_TYPES or len(names) > len(_KEY_COLUMNS):
        reason = 'not of the form member/NAME or workload/MEMBER/NAME'
        raise RowErrorGroup('invalid key', [RowError(reason, row=key)])
    cells = dict(zip(_KEY_COLUMNS, names, strict=False))
    if current is not None:
        document = row_to_document(current)
        document.pop('kind')
        cells = {column: format_cell(cell) for column, cell in document.items()}
    cells.update(texts)
    row = build_row(
        ROW_TYPES[kind],
        {column: text for column, text in cells.items() if text},
        convert=parse_cell,
        location=key,
    )
    if row_key(row) == key:
        return row
    reason = f'the cells member and name give another key, {row_key(row)}'
    raise RowErrorGroup('invalid row', [RowError(reason, row=key)])


def describe_change(change: Change) -> Iterator[str]:
    """
    Yield a line for each changed cell, or one for an added or deleted row.
    """
    if change.after is None:
        yield f'{change.key}: deleted'
    elif change.before is None:
        cells = _non_key_cells(change.after).items()
        shown = ' '.join(f'{column}={text!r}' for column, text in cells if text)
        yield f'{change.key}: added {shown}'
    else:
        before, after = (
            _non_key_cells(change.before),
            _non_key_cells(change.after),
        )
        for column in _changed_columns(before, after):
            old, new = before[column] or '-', after[column] or '-'
            yield f'{change.key} {column}: {old} -> {new}'


def _changed_columns(
    before: Mapping[str, str],
    after: Mapping[str, str],
) -> Iterator[str]:
    return (column for column in after if before[column] != after[column])


def _non_key_cells(row: TableRow) -> dict[str, str]:
    """
    Return the cells that are not part of the row key, as text by column.
    """
    return {
        column: format_cell(cell)
        for column, cell in row_to_document(row).items()
        if column not in {'kind', *_KEY_COLUMNS}
    }
