"""
The layout of the table in the store, and the transaction of an edit.

``table/head`` holds the table version, ``table/delta/<version>`` the edit
that produced a version, and ``table/row/<key>`` the rows.  An edit is
committed in one transaction, which fails if the head has changed.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from hawthornpier.decoding import decode_json
from hawthornpier.messages import (
    ABSENT_VERSION,
    Row,
    RowCheck,
    RowPut,
    Transaction,
)
from hawthornpier.ports import (
    StoreError,
    StoreUnavailableError,
    TableStore,
)
from hawthornpier.table import _documents, _rows
from hawthornpier.table._errors import (
    EditOutcomeUnknownError,
    RowErrorGroup,
    TableUnavailableError,
)

HEAD_KEY = 'table/head'
ROW_PREFIX = 'table/row/'
_DELTA_PREFIX = 'table/delta/'
# The history in the store: one day at the design scale of 45,000 edits per
# day.
_MAX_STORED_DELTA_COUNT = 45000
# One lost reply is common; after three in a row, the store is treated as
# unavailable.
_MAX_ATTEMPTS = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """
    The table version, and the store's own version of the head row.
    """

    version: int
    row_version: int


async def read_head(store: TableStore) -> Head:
    """
    Read the head; an empty store gives version 0.

    Raises:
        StoreError: If the store cannot be read.
        TableUnavailableError: If the content of the head row is invalid.
    """
    row = await store.read(HEAD_KEY)
    if row is None:
        return Head(version=0, row_version=ABSENT_VERSION)
    document = _decode(row)
    try:
        version = int(document['version'])
    except (KeyError, TypeError, ValueError) as error:
        raise TableUnavailableError(
            f'{HEAD_KEY} in the store has no valid version'
        ) from error
    return Head(version=version, row_version=row.version)


async def read_delta(store: TableStore, version: int) -> _rows.Delta | None:
    """
    Read the edit that produced *version*; None if the store lacks it.

    Raises:
        StoreError: If the store cannot be read.
        TableUnavailableError: If the content of the row is invalid.
    """
    row = await store.read(delta_key(version))
    if row is None:
        return None
    try:
        return _documents.delta_from_document(_decode(row))
    except _documents.DocumentError as error:
        raise TableUnavailableError(f'{row.key}: {error}') from error


def decode_rows(rows: Iterable[Row], head: Head) -> _rows.Snapshot:
    """
    Return the snapshot that *rows*, scanned at the version of *head*, form.

    Raises:
        TableUnavailableError: If a row is invalid.
    """
    decoded: list[_rows.TableRow] = []
    for row in rows:
        try:
            decoded.append(
                _documents.row_from_document(
                    _decode(row),
                    location=row.key,
                    is_lenient=True,
                ),
            )
        except RowErrorGroup as group:
            reasons = '; '.join(str(error) for error in group.exceptions)
            raise TableUnavailableError(reasons) from group
    return _rows.Snapshot(version=head.version, rows=tuple(decoded))


async def commit_delta(
    store: TableStore,
    head: Head,
    delta: _rows.Delta,
) -> bool:
    """
    Commit *delta* if the table is still at the version of *head*.

    A transaction whose reply was lost is sent again with the same id.  If the
    first attempt was applied and the store does not recognise the id, it
    reports a conflict.  After a conflict, the stored delta of that version
    therefore determines whether the edit was applied.

    Returns:
        Whether the edit was accepted; False if another edit was accepted
        first.

    Raises:
        TableUnavailableError: If the edit was certainly not applied.
        EditOutcomeUnknownError: If the edit may have been applied.
    """
    transaction = _transaction(head, delta)
    unknown_outcome = EditOutcomeUnknownError(
        edit_id=delta.edit_id,
        version=delta.version,
    )
    failures: list[StoreError] = []
    while len(failures) < _MAX_ATTEMPTS:
        try:
            result = await store.transact(transaction)
        except StoreError as error:
            failures.append(error)
            _raise_if_not_applied(failures)
        else:
            return result.is_committed or await _is_applied(
                store, delta, unknown_outcome
            )
    raise unknown_outcome


def _raise_if_not_applied(failures: list[StoreError]) -> None:
    """
    Raise without another attempt if the first one was not applied.
    """
    if isinstance(failures[0], StoreUnavailableError):
        raise TableUnavailableError(f'the edit was not applied: {failures[0]}')


async def _is_applied(
    store: TableStore,
    delta: _rows.Delta,
    unknown_outcome: EditOutcomeUnknownError,
) -> bool:
    """
    Return whether *delta* is the accepted edit of its version.
    """
    for _ in range(_MAX_ATTEMPTS):
        try:
            accepted = await read_delta(store, delta.version)
        except StoreError:
            continue
        return accepted is not None and accepted.edit_id == delta.edit_id
    raise unknown_outcome


def delta_key(version: int) -> str:
    """
    Return the store key of the edit that produced *version*.
    """
    return f'{_DELTA_PREFIX}{version}'


def _transaction(head: Head, delta: _rows.Delta) -> Transaction:
    puts = [
        _put(HEAD_KEY, {'version': delta.version}),
        _put(delta_key(delta.version), _documents.delta_to_document(delta)),
    ]
    deletes = []
    for change in delta.changes:
        if change.after is None:
            deletes.append(f'{ROW_PREFIX}{change.key}')
        else:
            document = _documents.row_to_document(change.after)
            puts.append(_put(f'{ROW_PREFIX}{change.key}', document))
    if delta.version > _MAX_STORED_DELTA_COUNT:
        deletes.append(delta_key(delta.version - _MAX_STORED_DELTA_COUNT))
    return Transaction(
        transaction_id=f'table-{delta.edit_id}',
        checks=(RowCheck(key=HEAD_KEY, version=head.row_version),),
        puts=tuple(puts),
        deletes=tuple(deletes),
    )


def _put(key: str, document: dict[str, Any]) -> RowPut:
    return RowPut(key=key, text=msgspec.json.encode(document).decode())


def _decode(row: Row) -> Any:
    return decode_json(
        row.text,
        object,
        TableUnavailableError,
        subject=f'row {row.key}',
    )
