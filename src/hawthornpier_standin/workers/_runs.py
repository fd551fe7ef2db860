"""
Executes runs of batch tasks, which end when their lease expires.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Iterable

from hawthornpier.messages import (
    LeaseRenewal,
    StartVerdict,
    TaskAction,
    TaskControl,
    TaskControlReply,
    TaskOutcome,
    TaskResult,
    TaskStart,
)
from hawthornpier_standin.history import WORKER_DEAD
from hawthornpier_standin.workers._state import Run, WorkerState

# Bounds the memory for run ids that must not start again.
_MAX_KEPT_RUN_IDS = 100_000

_CHECKPOINT_PREFIX = 'checkpoints'


def checkpoint_name(run: Run) -> str:
    """
    Return the name of a checkpoint of *run*, which contains its progress.

    With the progress in the name, a run can resume on any worker without a
    service that stores checkpoints.
    """
    return '/'.join(
        (
            _CHECKPOINT_PREFIX,
            run.start.task_id,
            run.start.run_id,
            str(int(run.progress_ms)),
        ),
    )


def progress_of(checkpoint: str) -> int:
    """
    Return the progress in ms that the name of a checkpoint contains.

    Raises:
        ValueError: *checkpoint* is not the name of a checkpoint.
    """
    if not checkpoint:
        return 0
    if not checkpoint.startswith(_CHECKPOINT_PREFIX):
        raise ValueError(f'{checkpoint} is not the name of a checkpoint')
    return int(checkpoint.rpartition('/')[-1])


class RunTable:
    """
    Starts, executes and ends the runs of one worker.

    Every run checks its lease before it counts any progress.  A worker that
    was paused until after the end of the lease thus does no more work.
    """

    def __init__(self, state: WorkerState) -> None:
        self._state = state
        self._started_run_ids: OrderedDict[str, None] = OrderedDict()
        self._outcomes: dict[str, TaskOutcome] = {}

    def outcomes(self) -> tuple[TaskOutcome, ...]:
        """
        Return the outcomes that the owner has not acknowledged.
        """
        return tuple(self._outcomes.values())

    def acknowledge(self, run_ids: Iterable[str]) -> None:
        """
        Drop the acknowledged outcomes of *run_ids*.
        """
        for run_id in run_ids:
            self._outcomes.pop(run_id, None)

    def is_known(self, run_id: str) -> bool:
        """
        Return whether the run was started on this worker before.
        """
        return run_id in self._started_run_ids

    def start(self, start: TaskStart) -> StartVerdict:
        """
        Start a run unless it was started before, and return the verdict.

        The run is rejected if the worker is leaving or has too few free
        resources.
        """
        if self.is_known(start.run_id):
            return StartVerdict.STARTED
        if self._state.faults.is_leaving:
            return StartVerdict.REFUSED_LEAVING
        if not self._state.admits(start.demand):
            return StartVerdict.REFUSED_CAPACITY
        self._started_run_ids[start.run_id] = None
        while len(self._started_run_ids) > _MAX_KEPT_RUN_IDS:
            self._started_run_ids.popitem(last=False)
        self._launch(start)
        return StartVerdict.STARTED

    def renew(self, renewal: LeaseRenewal) -> tuple[str, ...]:
        """
        Extend the leases of the runs that have not ended; return their ids.
        """
        held = tuple(
            run_id for run_id in renewal.run_ids if run_id in self._state.runs
        )
        lease_end_ms = self._now_ms() + renewal.lease_ms
        for run_id in held:
            self._state.runs[run_id].lease_end_ms = lease_end_ms
        return held

    def end_expired(self) -> None:
        """
        End the runs whose lease has expired.
        """
        for run in tuple(self._state.runs.values()):
            self._end_if_expired(run)

    async def control(self, control: TaskControl) -> TaskControlReply:
        """
        Apply an action to a run.

        If the action takes a checkpoint, its name is the detail of the reply.
        """
        run = self._state.runs.get(control.run_id)
        if run is None:
            return TaskControlReply(
                is_accepted=False,
                detail=f'run {control.run_id} is not running on this worker',
            )
        if control.action in _CHECKPOINT_ACTIONS:
            return await self._checkpoint(run, control.action)
        if control.action == TaskAction.STOP:
            self._end(run, TaskResult.STOPPED)
        else:
            run.is_throttled = control.action == TaskAction.THROTTLE
        return TaskControlReply(is_accepted=True)

    def lose_all(self) -> None:
        """
        Discard every run and outcome because the worker died.
        """
        for run in tuple(self._state.runs.values()):
            self._release(run)
            self._state.journal.run_ended(run.start, WORKER_DEAD)
        self._outcomes.clear()

    def _now_ms(self) -> int:
        return self._state.clock.monotonic_ms()

    def _launch(self, start: TaskStart) -> None:
        run = Run(
            start=start,
            lease_end_ms=self._now_ms() + start.lease_ms,
            progress_ms=0,
            checkpoint=start.checkpoint,
            is_failing=(
                self._state.faults.fails_all
                or start.workload in self._state.model.failing_workloads
            ),
        )
        self._state.runs[start.run_id] = run
        self._state.journal.run_started(start)
        run.task = asyncio.ensure_future(self._execute(run))

    async def _execute(self, run: Run) -> None:
        if run.is_failing:
            await self._state.pass_time(self._state.model.fail_after_ms)
            self._fail(run, 'the task exited with status 1')
            return
        try:
            run.progress_ms = progress_of(run.checkpoint)
        except ValueError as error:
            self._fail(run, str(error))
            return
        while not run.is_complete:
            await self._step(run)
        self._end(run, TaskResult.DONE)

    async def _step(self, run: Run) -> None:
        speed = self._state.run_speed(run)
        step_ms = min(
            self._state.model.step_ms,
            run.remaining_ms / speed,
            max(run.lease_end_ms - self._now_ms(), 1),
        )
        await self._state.pass_time(step_ms)
        if self._end_if_expired(run):
            # Ending the run has cancelled this task; the cancellation takes
            # effect at this point.
            await asyncio.sleep(0)
        run.progress_ms += step_ms * speed

    def _fail(self, run: Run, detail: str) -> None:
        if not self._end_if_expired(run):
            self._end(run, TaskResult.FAILED, detail=detail)

    def _end_if_expired(self, run: Run) -> bool:
        late_ms = self._now_ms() - run.lease_end_ms
        if late_ms < 0:
            return False
        self._end(run, TaskResult.LEASE_LAPSED, age_ms=late_ms)
        return True

    async def _checkpoint(
        self,
        run: Run,
        action: TaskAction,
    ) -> TaskControlReply:
        name = checkpoint_name(run)
        await self._state.pass_time(self._state.model.checkpoint_ms)
        self.end_expired()
        if self._state.runs.get(run.start.run_id) is not run:
            return TaskControlReply(
                is_accepted=False,
                detail='the run ended before its checkpoint was taken',
            )
        run.checkpoint = name
        self._state.journal.run_checkpointed(run.start, name)
        if action == TaskAction.EVICT:
            self._end(run, TaskResult.EVICTED)
        return TaskControlReply(is_accepted=True, detail=name)

    def _end(
        self,
        run: Run,
        outcome: TaskResult,
        *,
        detail: str = '',
        age_ms: float = 0,
    ) -> None:
        self._release(run)
        self._outcomes[run.start.run_id] = TaskOutcome(
            run_id=run.start.run_id,
            task_id=run.start.task_id,
            result=outcome,
            checkpoint=run.checkpoint,
            progress_ms=int(run.progress_ms),
            detail=detail,
        )
        self._state.journal.run_ended(
            run.start,
            outcome,
            checkpoint=run.checkpoint,
            age_ms=age_ms,
        )

    def _release(self, run: Run) -> None:
        self._state.runs.pop(run.start.run_id, None)
        if run.task is not None:
            run.task.cancel()


_CHECKPOINT_ACTIONS = frozenset((TaskAction.CHECKPOINT, TaskAction.EVICT))
