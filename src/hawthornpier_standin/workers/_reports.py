"""
Usage reports, which show an earlier state of the worker.
"""

from collections import deque

from hawthornpier.messages import Resources, WorkerReport
from hawthornpier_standin.workers._executions import ExecutionTable
from hawthornpier_standin.workers._state import WorkerState

# At most one state is recorded per period of this length, which bounds the
# memory.
_RESOLUTION_MS = 50


class ReportLog:
    """
    Records the recent states of a worker and reports an earlier one.
    """

    def __init__(
        self,
        state: WorkerState,
        executions: ExecutionTable,
    ) -> None:
        self._state = state
        self._executions = executions
        self._states: deque[WorkerReport] = deque()

    def record_state(self) -> None:
        """
        Record the current state.
        """
        now_ms = self._state.clock.wall_ms()
        if (
            self._states
            and now_ms - self._states[-1].measured_ms < _RESOLUTION_MS
        ):
            return
        self._states.append(
            WorkerReport(
                worker_id=self._state.worker_id,
                measured_ms=now_ms,
                usage=self._state.usage(),
                run_ids=tuple(self._state.runs),
            ),
        )
        oldest_ms = (
            now_ms - 2 * self._state.model.report_lag_ms - _RESOLUTION_MS
        )
        while len(self._states) > 1 and self._states[1].measured_ms < oldest_ms:
            self._states.popleft()

    def report(self) -> WorkerReport:
        """
        Return the state as of `WorkerModel.report_lag_ms` ago.
        """
        model = self._state.model
        limit_ms = self._state.clock.wall_ms() - model.report_lag_ms
        shown = WorkerReport(
            worker_id=self._state.worker_id,
            measured_ms=limit_ms,
            usage=Resources(),
        )
        for state in self._states:
            if state.measured_ms > limit_ms:
                break
            shown = state
        return WorkerReport(
            worker_id=shown.worker_id,
            measured_ms=limit_ms,
            usage=shown.usage,
            run_ids=shown.run_ids,
            samples=tuple(
                self._executions.samples(
                    limit_ms - model.sample_window_ms,
                    limit_ms,
                ),
            ),
            is_leaving=self._state.faults.is_leaving,
        )
