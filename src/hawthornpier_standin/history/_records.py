"""
Records of a run's history, from which the guarantees are checked.

Stand-ins and callers write the records; the code under test does not.
"""

import enum
from dataclasses import dataclass

from hawthornpier.messages import Resources


class RecordKind(enum.StrEnum):
    """
    What happened.
    """

    # Callers.
    REQUEST_INVOKED = 'request_invoked'
    REQUEST_ANSWERED = 'request_answered'
    REQUEST_NOT_RUN = 'request_not_run'
    REQUEST_UNKNOWN = 'request_unknown'
    CONNECTION_CUT = 'connection_cut'
    # Workers.
    CAPACITY_DECLARED = 'capacity_declared'
    EXECUTION_STARTED = 'execution_started'
    EXECUTION_ENDED = 'execution_ended'
    RUN_STARTED = 'run_started'
    RUN_ENDED = 'run_ended'
    RUN_CHECKPOINTED = 'run_checkpointed'
    ENDPOINT_LEAVING = 'endpoint_leaving'
    # Operators and processes.
    JOB_ACCEPTED = 'job_accepted'
    JOB_CANCELLED = 'job_cancelled'
    TABLE_EDIT_INVOKED = 'table_edit_invoked'
    TABLE_EDIT_ACCEPTED = 'table_edit_accepted'
    TABLE_EDIT_CONFLICT = 'table_edit_conflict'
    TABLE_VERSION_SEEN = 'table_version_seen'
    STOP_REQUESTED = 'stop_requested'
    PROCESS_EXITED = 'process_exited'


@dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """
    One event of a history.

    *at_ms* is the machine's monotonic clock, which all recorders share.
    *operation* is the caller's own id of a request, which the body repeats;
    *content* is what was sent or received; *detail* is the end of a run
    (a `TaskResult`) or a reason.
    """

    at_ms: float
    kind: RecordKind
    source: str
    operation: str = ''
    worker_id: str = ''
    task_id: str = ''
    run_id: str = ''
    idempotency_key: str = ''
    is_idempotent: bool = True
    demand: Resources = Resources()
    version: int = 0
    checkpoint: str = ''
    content: str = ''
    detail: str = ''
