"""
The shared table of members and workloads, which operators edit.
"""

from hawthornpier.table._cells import change_row, describe_change
from hawthornpier.table._csv import rows_from_csv, rows_to_csv
from hawthornpier.table._documents import (
    DocumentError,
    delta_from_document,
    delta_to_document,
    edit_to_document,
    edits_from_documents,
    row_from_document,
    row_to_document,
    rows_from_documents,
    rows_from_json,
    rows_to_json,
    snapshot_from_document,
    snapshot_to_document,
)
from hawthornpier.table._errors import (
    EditConflictError,
    EditOutcomeUnknownError,
    EmptyEditError,
    NotPermittedError,
    RowError,
    RowErrorGroup,
    TableError,
    TableUnavailableError,
)
from hawthornpier.table._keys import (
    hash_operator_key,
    new_operator_key,
    verify_operator_key,
)
from hawthornpier.table._plan import (
    apply_changes,
    diff_rows,
    plan_approval,
    plan_edit,
)
from hawthornpier.table._responses import ErrorResponse, error_response
from hawthornpier.table._rows import (
    Change,
    DeleteRow,
    Delta,
    Edit,
    MemberRow,
    Priority,
    ProposalRow,
    PutRow,
    Snapshot,
    TableRow,
    WorkloadClass,
    WorkloadRow,
    row_key,
)
from hawthornpier.table._validate import validate_rows
from hawthornpier.table._versioned import VersionedTable

__all__ = [
    'Change',
    'DeleteRow',
    'Delta',
    'DocumentError',
    'Edit',
    'EditConflictError',
    'EditOutcomeUnknownError',
    'EmptyEditError',
    'ErrorResponse',
    'MemberRow',
    'NotPermittedError',
    'Priority',
    'ProposalRow',
    'PutRow',
    'RowError',
    'RowErrorGroup',
    'Snapshot',
    'TableError',
    'TableRow',
    'TableUnavailableError',
    'VersionedTable',
    'WorkloadClass',
    'WorkloadRow',
    'apply_changes',
    'change_row',
    'delta_from_document',
    'delta_to_document',
    'describe_change',
    'diff_rows',
    'edit_to_document',
    'edits_from_documents',
    'error_response',
    'hash_operator_key',
    'new_operator_key',
    'plan_approval',
    'plan_edit',
    'row_from_document',
    'row_key',
    'row_to_document',
    'rows_from_csv',
    'rows_from_documents',
    'rows_from_json',
    'rows_to_csv',
    'rows_to_json',
    'snapshot_from_document',
    'snapshot_to_document',
    'validate_rows',
    'verify_operator_key',
]
