"""
JSON forms of rows, edits, deltas and snapshots.

Rows of several kinds share a list, so each row has the field *kind*.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import fields
from functools import singledispatch
from types import MappingProxyType
from typing import Any

import msgspec

from hawthornpier.table._columns import check_cell, required_columns
from hawthornpier.table._errors import RowError, RowErrorGroup, TableError
from hawthornpier.table._rows import (
    Change,
    DeleteRow,
    Delta,
    Edit,
    MemberRow,
    ProposalRow,
    PutRow,
    Snapshot,
    TableRow,
    WorkloadRow,
    row_key,
)

ROW_TYPES: Mapping[str, type[TableRow]] = MappingProxyType(
    {
        'member': MemberRow,
        'workload': WorkloadRow,
        'proposal': ProposalRow,
    }
)
# Raised when the fields of decoded JSON are missing or of another type.
_DECODING_ERRORS = (KeyError, TypeError, ValueError, RowErrorGroup)
_KIND_BY_TYPE: Mapping[type, str] = MappingProxyType(
    {row_type: kind for kind, row_type in ROW_TYPES.items()},
)


class DocumentError(TableError):
    """
    A JSON document is not a valid delta or snapshot.
    """


def row_to_document(row: TableRow) -> dict[str, Any]:
    """
    Return the JSON form of *row*.
    """
    cells = {field.name: getattr(row, field.name) for field in fields(row)}
    return {'kind': _KIND_BY_TYPE[type(row)], **cells}


def row_from_document(
    document: Any,
    *,
    location: str = 'row',
    is_lenient: bool = False,
) -> TableRow:
    """
    Return the row of a JSON form.

    Args:
        document: The decoded JSON.
        location: How error messages refer to the row.
        is_lenient: Whether to ignore unknown columns.  During a rolling
            upgrade, rows from the store and from peers may come from a newer
            version of the program; rows from operators are checked
            completely.

    Raises:
        RowErrorGroup: With one `RowError` for each mistake in the row.
    """
    if not isinstance(document, dict):
        raise _error_group('not a JSON object', location)
    cells = {str(column): cell for column, cell in document.items()}
    kind = cells.pop('kind', None)
    if not isinstance(kind, str) or kind not in ROW_TYPES:
        known = ', '.join(ROW_TYPES)
        raise _error_group(f'{kind!r} is not one of {known}', location, 'kind')
    row_type = ROW_TYPES[kind]
    if is_lenient:
        columns = {field.name for field in fields(row_type)}
        cells = {column: cells[column] for column in cells if column in columns}
    return build_row(row_type, cells, convert=check_cell, location=location)


def build_row(
    row_type: type[TableRow],
    cells: Mapping[str, Any],
    *,
    convert: Callable[[str, Any], Any],
    location: str,
) -> TableRow:
    """
    Return a row of *row_type* after converting its cells.

    Args:
        row_type: The class of the row.
        cells: The unconverted cells by column; absent ones get their default.
        convert: Returns the typed value of a cell or raises ValueError.
        location: How error messages refer to the row.

    Raises:
        RowErrorGroup: With one `RowError` for each mistake in the row.
    """
    known = {field.name for field in fields(row_type)}
    errors = [
        RowError(
            f'a {_KIND_BY_TYPE[row_type]} has no such column',
            row=location,
            column=column,
        )
        for column in sorted(cells.keys() - known)
    ]
    errors.extend(
        RowError('required, but not set', row=location, column=column)
        for column in sorted(required_columns(row_type) - cells.keys())
    )
    typed: dict[str, Any] = {}
    for column in sorted(cells.keys() & known):
        try:
            typed[column] = convert(column, cells[column])
        except ValueError as error:
            errors.append(RowError(str(error), row=location, column=column))
    if errors:
        raise RowErrorGroup('invalid row', errors)
    return row_type(**typed)


def rows_from_documents(
    documents: Any,
    *,
    is_lenient: bool = False,
) -> tuple[TableRow, ...]:
    """
    Return the rows of a JSON list.

    Args:
        documents: The decoded JSON.
        is_lenient: Whether to ignore unknown columns, as in
            `row_from_document`.

    Raises:
        RowErrorGroup: With one `RowError` for each mistake in any row.
    """
    if not isinstance(documents, list):
        raise _error_group('not a JSON list of rows', 'rows')
    rows: list[TableRow] = []
    errors: list[RowError] = []
    for number, document in enumerate(documents, start=1):
        location = f'row {number}'
        try:
            rows.append(
                row_from_document(
                    document, location=location, is_lenient=is_lenient
                ),
            )
        except RowErrorGroup as group:
            errors.extend(group.exceptions)  # type: ignore[arg-type]
    if errors:
        raise RowErrorGroup('invalid rows', errors)
    return tuple(rows)


def rows_to_json(rows: Iterable[TableRow]) -> str:
    """
    Return *rows* as an indented JSON list.
    """
    encoded = msgspec.json.encode([row_to_document(row) for row in rows])
    return msgspec.json.format(encoded, indent=2).decode()


def rows_from_json(text: str) -> tuple[TableRow, ...]:
    """
    Return the rows of a JSON list given as text.

    Raises:
        RowErrorGroup: With one `RowError` for each mistake in any row.
    """
    try:
        documents = msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError, UnicodeError) as error:
        raise _error_group(f'not valid JSON: {error}', 'rows') from error
    return rows_from_documents(documents)


@singledispatch
def edit_to_document(edit: object) -> dict[str, Any]:
    """
    Return the JSON form of an edit.
    """
    raise TypeError(f'{type(edit).__name__} is not an edit')


@edit_to_document.register
def _put_to_document(edit: PutRow) -> dict[str, Any]:
    return {'put': row_to_document(edit.row)}


@edit_to_document.register
def _delete_to_document(edit: DeleteRow) -> dict[str, Any]:
    return {'delete': edit.key}


def edits_from_documents(documents: Any) -> tuple[Edit, ...]:
    """
    Return the edits of a JSON list.

    Raises:
        RowErrorGroup: With one `RowError` for each mistake in any edit.
    """
    if not isinstance(documents, list):
        raise _error_group('not a JSON list of edits', 'edits')
    edits: list[Edit] = []
    errors: list[RowError] = []
    for number, document in enumerate(documents, start=1):
        try:
            edits.append(_edit_from_document(document, f'edit {number}'))
        except RowErrorGroup as group:
            errors.extend(group.exceptions)  # type: ignore[arg-type]
    if errors:
        raise RowErrorGroup('invalid edits', errors)
    return tuple(edits)


def delta_to_document(delta: Delta) -> dict[str, Any]:
    """
    Return the JSON form of *delta*.
    """
    return {
        'version': delta.version,
        'edit_id': delta.edit_id,
        'member': delta.member,
        'at_ms': delta.at_ms,
        'changes': [
            {
                'key': change.key,
                'before': _optional_document(change.before),
                'after': _optional_document(change.after),
            }
            for change in delta.changes
        ],
    }


def delta_from_document(document: Any) -> Delta:
    """
    Return the delta of a JSON form.

    Raises:
        DocumentError: If the document is not a valid delta.
    """
    try:
        return Delta(
            version=int(document['version']),
            edit_id=str(document['edit_id']),
            member=str(document['member']),
            at_ms=int(document['at_ms']),
            changes=tuple(
                _change_from_document(change) for change in document['changes']
            ),
        )
    except _DECODING_ERRORS as error:
        raise DocumentError(f'not a valid table delta: {error}') from error


def snapshot_to_document(snapshot: Snapshot) -> dict[str, Any]:
    """
    Return the JSON form of *snapshot*.
    """
    return {
        'version': snapshot.version,
        'rows': [row_to_document(row) for row in snapshot.rows],
    }


def snapshot_from_document(document: Any) -> Snapshot:
    """
    Return the snapshot of a JSON form.

    Raises:
        DocumentError: If the document is not a valid snapshot.
    """
    try:
        return Snapshot(
            version=int(document['version']),
            rows=rows_from_documents(document['rows'], is_lenient=True),
        )
    except _DECODING_ERRORS as error:
        raise DocumentError(f'not a valid table snapshot: {error}') from error


def _error_group(reason: str, location: str, column: str = '') -> RowErrorGroup:
    return RowErrorGroup(
        'invalid row',
        [RowError(reason, row=location, column=column)],
    )


def _edit_from_document(document: Any, location: str) -> Edit:
    if not isinstance(document, dict) or len(document) != 1:
        raise _error_group(
            'not of the form {"put": ROW} or {"delete": KEY}', location
        )
    if isinstance(document.get('delete'), str):
        return DeleteRow(key=document['delete'])
    if 'put' not in document:
        raise _error_group(
            'neither "put" with a row nor "delete" with a key', location
        )
    row = row_from_document(document['put'], location=location)
    if isinstance(row, ProposalRow):
        raise _error_group(
            'proposals cannot be put; put the member row, which creates one',
            location,
        )
    return PutRow(row=row)


def _optional_document(row: TableRow | None) -> dict[str, Any] | None:
    return None if row is None else row_to_document(row)


def _change_from_document(document: Any) -> Change:
    before, after = (
        None
        if document[side] is None
        else row_from_document(document[side], is_lenient=True)
        for side in ('before', 'after')
    )
    key = str(document['key'])
    if any(row_key(row) != key for row in (before, after) if row is not None):
        raise ValueError(f'a row of the change does not have its key, {key}')
    return Change(key=key, before=before, after=after)
