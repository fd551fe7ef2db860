"""
Handles the messages that a simulated worker receives.
"""

import asyncio
import dataclasses

from hawthornpier.messages import (
    EndpointReply,
    EndpointRequest,
    EndpointStatus,
    Fence,
    FenceReply,
    LeaseRenewal,
    LeaseReply,
    StartBatch,
    StartBatchReply,
    StartVerdict,
    TaskControl,
    TaskControlReply,
    WorkerReport,
)
from hawthornpier_standin.workers._executions import ExecutionTable, make_reply
from hawthornpier_standin.workers._reports import ReportLog
from hawthornpier_standin.workers._runs import RunTable
from hawthornpier_standin.workers._state import WorkerState


class WorkerEngine:
    """
    Applies messages to the state of one worker, with fencing by epoch.

    Args:
        state: State of the worker.
        seed: Seed of the random service times.
    """

    def __init__(self, state: WorkerState, *, seed: int) -> None:
        self._state = state
        self._epochs: dict[str, int] = {}
        self._runs = RunTable(state)
        self._executions = ExecutionTable(state, seed=seed)
        self._reports = ReportLog(state, self._executions)

    def end_expired_runs(self) -> None:
        """
        End the runs whose lease has expired.

        Timers may be late, so this is called before each message.
        """
        self._runs.end_expired()

    def record_state(self) -> None:
        """
        Record the current state for later usage reports.
        """
        self._reports.record_state()

    def lose_all(self) -> None:
        """
        Discard all runs and requests because the worker died.
        """
        self._runs.lose_all()
        self._executions.lose_all()
        self._state.journal.died()

    async def fence(self, fence: Fence) -> FenceReply:
        """
        Raise the epoch of a shard and list the runs, outcomes and requests.
        """
        is_accepted = self._accepts_epoch(fence.shard, fence.epoch)
        return FenceReply(
            is_accepted=is_accepted,
            highest_epoch=self._epochs[fence.shard],
            running=tuple(
                run.to_message() for run in self._state.runs.values()
            ),
            outcomes=self._runs.outcomes(),
            open_requests=tuple(
                execution.to_message()
                for execution in self._state.executions.values()
            ),
        )

    async def start(self, batch: StartBatch) -> StartBatchReply:
        """
        Start the runs of a batch and return a verdict for each.
        """
        is_admitted = self._accepts_epoch(batch.shard, batch.epoch)
        refusal = StartVerdict.REFUSED_EPOCH
        if self._is_expired(batch.expires_wall_ms):
            is_admitted = False
            refusal = StartVerdict.REFUSED_EXPIRED
        verdicts: list[StartVerdict] = []
        for start in batch.starts:
            # A repeated start gets the verdict of the first one at any epoch.
            if is_admitted or self._runs.is_known(start.run_id):
                verdicts.append(self._runs.start(start))
            else:
                verdicts.append(refusal)
        return StartBatchReply(verdicts=tuple(verdicts))

    async def renew(self, renewal: LeaseRenewal) -> LeaseReply:
        """
        Extend leases, drop acknowledged outcomes and return the others.
        """
        is_admitted = self._accepts_epoch(renewal.shard, renewal.epoch)
        if not is_admitted or self._is_expired(renewal.expires_wall_ms):
            return LeaseReply(
                is_accepted=False,
                highest_epoch=self._epochs[renewal.shard],
            )
        self._runs.acknowledge(renewal.acknowledged_run_ids)
        return LeaseReply(
            is_accepted=True,
            highest_epoch=self._epochs[renewal.shard],
            renewed_run_ids=self._runs.renew(renewal),
            outcomes=self._runs.outcomes(),
        )

    def _is_expired(self, expires_wall_ms: int) -> bool:
        if not expires_wall_ms:
            return False
        return self._state.clock.wall_ms() > expires_wall_ms

    async def control(self, control: TaskControl) -> TaskControlReply:
        """
        Apply one action to one run.
        """
        if not self._accepts_epoch(control.shard, control.epoch):
            return TaskControlReply(
                is_accepted=False,
                detail=(
                    f'the epoch {control.epoch} is lower than the highest'
                    ' one of the shard'
                ),
            )
        return await self._runs.control(control)

    async def request(self, request: EndpointRequest) -> EndpointReply:
        """
        Serve a request and return its reply when it has ended.

        A repeated request id or idempotency key gets the first reply.
        """
        execution = self._executions.find(request)
        if execution is None:
            refusal = self._refusal(request)
            if refusal is not None:
                return make_reply(request.request_id, refusal)
            execution = self._executions.start(request)
            self._reports.record_state()
        reply = await asyncio.shield(execution.reply)
        return dataclasses.replace(reply, request_id=request.request_id)

    async def get_request_status(self, request_id: str) -> EndpointReply:
        """
        Return the reply of a request, or its status if it has none.
        """
        return self._executions.status_of(request_id)

    async def report(self, _: None) -> WorkerReport:
        """
        Return a usage report, which shows an earlier state.
        """
        return self._reports.report()

    def _accepts_epoch(self, shard: str, epoch: int) -> bool:
        highest = max(self._epochs.get(shard, epoch), epoch)
        self._epochs[shard] = highest
        return epoch == highest or not self._state.has_guards

    def _refusal(self, request: EndpointRequest) -> EndpointStatus | None:
        if not self._accepts_epoch(request.shard, request.epoch):
            return EndpointStatus.REFUSED_EPOCH
        if self._state.faults.is_leaving:
            return EndpointStatus.LEAVING
        if not self._state.admits(request.demand):
            return EndpointStatus.REFUSED_CAPACITY
        return None
