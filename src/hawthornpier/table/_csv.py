"""
The table as CSV for spreadsheets, with one line for each row.
"""

import csv
import io
from collections.abc import Iterable, Sequence

from hawthornpier.table._columns import COLUMNS, format_cell, parse_cell
from hawthornpier.table._documents import ROW_TYPES, build_row, row_to_document
from hawthornpier.table._errors import RowError, RowErrorGroup
from hawthornpier.table._rows import TableRow

_KIND = 'kind'


def rows_to_csv(rows: Iterable[TableRow]) -> str:
    """
    Return *rows* as CSV with a header line.

    A cell is empty if the kind of row does not have the column or if the
    value is None, such as a quota that is not set.
    """
    text = io.StringIO()
    writer = csv.DictWriter(
        text,
        fieldnames=[_KIND, *COLUMNS],
        restval='',
        lineterminator='\n',
    )
    writer.writeheader()
    for row in rows:
        writer.writerow(
            {
                column: format_cell(cell)
                for column, cell in row_to_document(row).items()
            },
        )
    return text.getvalue()


def rows_from_csv(text: str) -> tuple[TableRow, ...]:
    """
    Return the rows of a CSV file.

    Columns may be in any order and may be left out; an empty cell gets the
    default of its column.

    Raises:
        RowErrorGroup: With one `RowError` for each mistake, which names the
            line and the column.
    """
    reader = csv.reader(io.StringIO(text), strict=True)
    rows: list[TableRow] = []
    errors: list[RowError] = []
    try:
        lines = [(reader.line_num, cells) for cells in reader if any(cells)]
    except csv.Error as error:
        location = f'line {reader.line_num}'
        raise RowErrorGroup(
            'invalid CSV',
            [RowError(f'not valid CSV: {error}', row=location)],
        ) from error
    header = _read_header(lines)
    for number, cells in lines[1:]:
        try:
            rows.append(_read_row(header, cells, f'line {number}'))
        except RowErrorGroup as group:
            errors.extend(group.exceptions)  # type: ignore[arg-type]
    if errors:
        raise RowErrorGroup('invalid rows', errors)
    return tuple(rows)


def _read_header(lines: Sequence[tuple[int, list[str]]]) -> list[str]:
    header = [name.strip() for name in lines[0][1]] if lines else []
    errors = [
        RowError(
            'unknown column; "table show" prints all columns',
            row='header',
            column=name,
        )
        for name in header
        if name not in COLUMNS and name != _KIND
    ]
    errors.extend(
        RowError('occurs more than once', row='header', column=name)
        for name in sorted(set(header))
        if header.count(name) > 1
    )
    if _KIND not in header:
        errors.append(
            RowError('the column is missing', row='header', column=_KIND)
        )
    if errors:
        raise RowErrorGroup('invalid header', errors)
    return header


def _read_row(header: list[str], cells: list[str], location: str) -> TableRow:
    if len(cells) > len(header):
        raise RowErrorGroup(
            'invalid row',
            [
                RowError(
                    f'{len(cells)} cells, but the header has {len(header)} '
                    'columns',
                    row=location,
                )
            ],
        )
    stripped = (cell.strip() for cell in cells)
    present = {
        column: cell
        for column, cell in zip(header, stripped, strict=False)
        if cell
    }
    kind = present.pop(_KIND, '')
    if kind not in ROW_TYPES:
        known = ', '.join(ROW_TYPES)
        raise RowErrorGroup(
            'invalid row',
            [
                RowError(
                    f'{kind!r} is not one of {known}',
                    row=location,
                    column=_KIND,
                ),
            ],
        )
    return build_row(
        ROW_TYPES[kind], present, convert=parse_cell, location=location
    )
