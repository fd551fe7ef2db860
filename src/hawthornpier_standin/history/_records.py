"""
Records of the history of a test run, from which the guarantees are checked.

Stand-ins and callers write the records; the code under test does not.
"""

import enum
from dataclasses import dataclass

from hawthornpier.messages import Resources

# The `detail` of `PROCESS_EXITED` if the recorder killed the process.
EXIT_KILLED = 'killed'

# The `detail` of `RUN_ENDED` or `EXECUTION_ENDED` if the worker died.
WORKER_DEAD = 'worker_dead'

# The `detail` of `TABLE_VERSION_SEEN` if the process also reported that its
# version is unconfirmed, so that it admits nothing.
TABLE_UNCONFIRMED = 'unconfirmed'


class RecordKind(enum.StrEnum):
    """
    The kinds of events.

    The comment before a kind lists the fields that the checkers read.
    """

    # Callers: operation, idempotency_key, is_idempotent, content (the body as
    # sent).  Each attempt of an operation is one `REQUEST_INVOKED`.
    REQUEST_INVOKED = 'request_invoked'
    # operation, process_id, content (the body as received: a JSON document
    # whose field `echo` is the body of the request).
    REQUEST_ANSWERED = 'request_answered'
    REQUEST_NOT_RUN = 'request_not_run'
    REQUEST_UNKNOWN = 'request_unknown'
    # operation, process_id: the connection was cut before the reply arrived.
    CONNECTION_CUT = 'connection_cut'

    # Workers: worker_id, demand (the capacity), once in each incarnation.
    CAPACITY_DECLARED = 'capacity_declared'
    # worker_id, operation, run_id (the request id), idempotency_key, demand.
    EXECUTION_STARTED = 'execution_started'
    # worker_id, operation, run_id, detail (`WORKER_DEAD` or a status).
    EXECUTION_ENDED = 'execution_ended'
    # worker_id, task_id, run_id, demand, checkpoint (which the run resumes).
    RUN_STARTED = 'run_started'
    # worker_id, task_id, run_id, detail (a `TaskResult` or `WORKER_DEAD`),
    # checkpoint (the latest one of the task that is known to the worker).
    RUN_ENDED = 'run_ended'
    # worker_id, task_id, run_id, checkpoint.
    RUN_CHECKPOINTED = 'run_checkpointed'
    # worker_id.
    ENDPOINT_LEAVING = 'endpoint_leaving'

    # Operators: operation (the job id), task_ids, is_idempotent.
    JOB_ACCEPTED = 'job_accepted'
    # operation (the job id).
    JOB_CANCELLED = 'job_cancelled'
    # task_id, detail (a final `TaskState`, which an operator was shown).
    TASK_SETTLED = 'task_settled'
    # An edit or approval: operation, version (that the operator saw).
    TABLE_EDIT_INVOKED = 'table_edit_invoked'
    # operation, version (the new version).
    TABLE_EDIT_ACCEPTED = 'table_edit_accepted'
    # operation.
    TABLE_EDIT_CONFLICT = 'table_edit_conflict'

    # Processes: process_id, version, detail (`TABLE_UNCONFIRMED` or empty).
    TABLE_VERSION_SEEN = 'table_version_seen'
    # process_id.
    STOP_REQUESTED = 'stop_requested'
    # process_id, or worker_id if a worker exited; detail (`EXIT_KILLED`).
    PROCESS_EXITED = 'process_exited'


@dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """
    One event of a history.

    *at_ms* is a time of the machine's monotonic clock, which all recorders
    share.  *source* is the name of the recorder and is used as the process id
    where *process_id* is empty.  *operation* is the caller's id of a request,
    which the body contains.  *content* is the body that was sent or received.
    *detail* is a result or a reason, depending on the kind.
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
    process_id: str = ''
    task_ids: tuple[str, ...] = ()

    @property
    def process(self) -> str:
        """
        The id of the process that the record concerns.
        """
        return self.process_id or self.source
