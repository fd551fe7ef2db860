"""
Records the events of a worker in the history of a test run.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from hawthornpier.messages import (
    EndpointRequest,
    Resources,
    TaskResult,
    TaskStart,
)
from hawthornpier.ports import Clock
from hawthornpier_standin.history import WORKER_DEAD, Record, RecordKind

Recorder = Callable[[Record], None]


def ignore_record(record: Record) -> None:
    """
    Do nothing, for tests and commands that write no history.
    """


class _Operation(msgspec.Struct):
    operation: str = ''


class Journal:
    """
    Emits the history records of one worker.

    Args:
        worker_id: Id of the worker.
        clock: Time source of the records.
        recorder: Called with each record.
    """

    def __init__(
        self,
        *,
        worker_id: str,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        self._worker_id = worker_id
        self._clock = clock
        self._recorder = recorder

    def capacity_declared(self, capacity: Resources) -> None:
        """
        Record the capacity of the worker.
        """
        self._emit(RecordKind.CAPACITY_DECLARED, demand=capacity)

    def leaving(self) -> None:
        """
        Record that the worker rejects new runs and requests from now on.
        """
        self._emit(RecordKind.ENDPOINT_LEAVING)

    def died(self) -> None:
        """
        Record that the worker died, with all of its runs and requests.
        """
        self._emit(RecordKind.PROCESS_EXITED, detail=WORKER_DEAD)

    def run_started(self, start: TaskStart) -> None:
        """
        Record the start of a run.
        """
        self._emit(
            RecordKind.RUN_STARTED,
            task_id=start.task_id,
            run_id=start.run_id,
            demand=start.demand,
            checkpoint=start.checkpoint,
        )

    def run_checkpointed(self, start: TaskStart, checkpoint: str) -> None:
        """
        Record a checkpoint of a run.
        """
        self._emit(
            RecordKind.RUN_CHECKPOINTED,
            task_id=start.task_id,
            run_id=start.run_id,
            checkpoint=checkpoint,
        )

    def run_ended(
        self,
        start: TaskStart,
        detail: TaskResult | str,
        checkpoint: str = '',
        age_ms: float = 0,
    ) -> None:
        """
        Record that a run ended *age_ms* ago.
        """
        self._emit(
            RecordKind.RUN_ENDED,
            age_ms=age_ms,
            task_id=start.task_id,
            run_id=start.run_id,
            demand=start.demand,
            checkpoint=checkpoint,
            detail=str(detail),
        )

    def execution_started(self, request: EndpointRequest) -> None:
        """
        Record that the worker began to serve a request.
        """
        self._emit_execution(RecordKind.EXECUTION_STARTED, request, '')

    def execution_ended(self, request: EndpointRequest, detail: str) -> None:
        """
        Record that a request ended, with its status as *detail*.
        """
        self._emit_execution(RecordKind.EXECUTION_ENDED, request, detail)

    def _emit_execution(
        self,
        kind: RecordKind,
        request: EndpointRequest,
        detail: str,
    ) -> None:
        self._emit(
            kind,
            operation=operation_id_of(request.body),
            run_id=request.request_id,
            idempotency_key=request.idempotency_key,
            is_idempotent=not request.idempotency_key,
            demand=request.demand,
            content=request.body,
            detail=detail,
        )

    def _emit(
        self,
        kind: RecordKind,
        *,
        age_ms: float = 0,
        **fields: Any,
    ) -> None:
        self._recorder(
            Record(
                at_ms=self._clock.monotonic_ms() - age_ms,
                kind=kind,
                source=self._worker_id,
                worker_id=self._worker_id,
                **fields,
            ),
        )


def operation_id_of(body: str) -> str:
    """
    Return the operation id that the caller put into a request body.

    Returns an empty string if there is none.
    """
    try:
        return msgspec.json.decode(body, type=_Operation).operation
    except msgspec.DecodeError:
        return ''
