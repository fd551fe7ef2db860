"""
The in-memory state of one shard at its owner: jobs, runs and workers.
"""

import asyncio
from collections.abc import Callable, Sequence

from hawthornpier.events import DecisionLog
from hawthornpier.fleet._fencing import FencingTokens
from hawthornpier.fleet._interference import InterferenceModel
from hawthornpier.fleet._owner_load import OwnerLoad
from hawthornpier.fleet._permits import OwnerPermits, PausePermit
from hawthornpier.fleet._ports import StoredRow
from hawthornpier.fleet._run_orders import RunOrders
from hawthornpier.fleet._timings import OwnershipTimings, PlatformBounds
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.ports import Clock
from hawthornpier.steps import (
    Job,
    JobPhase,
    JobPlan,
    RecordError,
    Run,
    RunEnd,
    RunOutcome,
    RunPhase,
    Task,
    apply_outcome,
    release_followers,
    remove_run,
    restore_progress,
    update_end_phase,
)

# Attempt numbers available to a task in one epoch; those of the next epoch are
# higher.
ATTEMPTS_PER_EPOCH = 1_000
# A deposed owner that does not know yet that it was replaced may still start
# jobs that are accepted up to this long after the change of the owner.
_STALE_OWNER_MS = 3_000.0
# A start that is confirmed this long after its placement is logged.
_LATE_START_MS = 1_000.0
_DEFAULT_BOUNDS = PlatformBounds()
_DEFAULT_LEASE_MS = OwnershipTimings().lease_ms


class Shard(RunOrders):
    """
    The state that the concurrent activities of a shard's owner share.

    Args:
        name: The name of the shard.
        epoch: The owner's epoch.
        clock: The clock of this process.
        log: The log of scheduling decisions.
        bounds: Limits that the platform specifies.
        claim: The permission by the claim of the shard, if there was one.
        claim_lease_ms: How long a claim of the shard lasts.
    """

    def __init__(
        self,
        name: str,
        *,
        epoch: int,
        clock: Clock,
        log: DecisionLog,
        bounds: PlatformBounds = _DEFAULT_BOUNDS,
        claim: PausePermit | None = None,
        claim_lease_ms: float = _DEFAULT_LEASE_MS,
    ) -> None:
        super().__init__(
            clock,
            log,
            row_bytes=bounds.row_content_bytes,
            load=OwnerLoad(claim_lease_ms),
        )
        self.name = name
        self.epoch = epoch
        self.tokens = FencingTokens(epoch)
        self.permits = OwnerPermits(clock, bounds.contact_ms, claim)
        # By worker that was removed without having returned: the tasks that
        # may have crashed it.
        self.missing_suspects: dict[str, list[Task]] = {}
        self.interference = InterferenceModel(log, clock)
        # Progress from the handover that the previous owner could not store,
        # by job, for jobs that are not known yet.
        self.handover_progress: dict[str, bytes] = {}
        # Called with the id of each job that is added.
        self.on_job_added: Callable[[str], None] | None = None
        # Set to request a scheduling pass before the next regular one.
        self.wake = asyncio.Event()
        # Set when this process no longer owns the shard.
        self.deposed = asyncio.Event()
        # Set before the shard is released; no runs are started from then on.
        self.is_draining = False
        # For each worker of the previous owner that has not listed its runs
        # yet: the tasks that may be running there, or None if it may be any.
        self.unlisted_tasks: dict[str, frozenset[str] | None] = {}
        # When the first worker accepted this epoch.  From then on that worker
        # rejects the previous owner, which thus learns that it was replaced.
        self.first_listed_ms: float | None = None

    def add_job(
        self,
        plan: JobPlan,
        *,
        progress: Sequence[StoredRow] = (),
        is_from_earlier_epoch: bool = False,
    ) -> Job:
        """
        Add an accepted job; has no effect if the job is known.

        Args:
            plan: The job as submitted.
            progress: The rows of its progress in the store.
            is_from_earlier_epoch: Whether an earlier owner may have started
                tasks of the job.

        Raises:
            RecordError: The progress cannot be decoded.
        """
        job = self.jobs.get(plan.job_id)
        if job is not None:
            return job
        job = Job(plan, self.now_ms)
        job.is_from_earlier_epoch = is_from_earlier_epoch or (
            self.epoch > 1 and self.is_recent_owner(_STALE_OWNER_MS)
        )
        if plan.submitted_ms:
            waited_ms = self.clock.wall_ms() - plan.submitted_ms
            # The wall clocks of two hosts may differ by seconds, so the
            # difference is bounded.
            job.accepted_ms -= min(max(waited_ms, 0), 60_000)
        for progress_row in progress:
            restore_progress(job, progress_row.content)
            # The end time is not stored.  Using the current time keeps an
            # ended job for at least the retention period.
            job.ended_ms = self.now_ms
        self.index_job(job)
        self.progress_rows(plan.job_id).restore(row.key for row in progress)
        self.durations.register_job(job)
        handover_progress = self.handover_progress.pop(plan.job_id, None)
        if handover_progress is not None:
            self._restore_handover_progress(job, handover_progress)
        if self.on_job_added is not None:
            self.on_job_added(plan.job_id)
        self.wake.set()
        self.log.record(
            'job_added',
            job=plan.job_id,
            queue=plan.queue.name,
            tasks=sum(step.task_count for step in plan.steps),
            may_miss=[step.unavailable_limit for step in plan.steps],
            phase=job.phase,
        )
        if self.early_cancellations.pop(plan.job_id, None) is not None:
            self.cancel_job(plan.job_id)
        return job

    def apply_handover_progress(self, job_id: str, progress: bytes) -> None:
        """
        Apply progress that the previous owner could not store.

        It is kept for later if the job is not known yet.
        """
        job = self.jobs.get(job_id)
        if job is None:
            self.handover_progress[job_id] = progress
        else:
            self._restore_handover_progress(job, progress)

    def is_recent_owner(self, span_ms: float) -> bool:
        """
        Return whether this process became the owner less than *span_ms* ago.

        The time counts from the first listing of runs by a worker.  Until then,
        the result is true.
        """
        if self.first_listed_ms is None:
            return True
        return self.now_ms - self.first_listed_ms < span_ms

    def forget_lapsed_workers(self) -> None:
        """
        Forget what ran on workers that have not listed their runs in time.

        The leases of the previous owner have expired there.  Those that reply
        hold a lease of this owner; they have ends left to list.
        """
        for worker_id in list(self.unlisted_tasks):
            worker = self.workers.get(worker_id)
            if worker is None or not worker.is_reached:
                self.unlisted_tasks.pop(worker_id)

    def cancel_job(self, job_id: str) -> None:
        """
        Cancel a job and stop all its runs.

        If the job is not known, it is cancelled when it is added.
        """
        job = self.jobs.get(job_id)
        if job is None:
            self.early_cancellations.setdefault(job_id, self.now_ms)
            return
        if job.is_terminal:
            return
        job.is_cancelled = True
        job.ended_ms = self.now_ms
        self.log.record('job_cancelled', job=job_id)
        self._stop_all(job, 'job cancelled')
        self.wake.set()

    def fail_job(self, job_id: str) -> None:
        """
        End a job as failed, whatever the results of its tasks.
        """
        job = self.jobs[job_id]
        if not job.is_terminal:
            job.end_phase = JobPhase.FAILED
            job.ended_ms = self.now_ms
            self._stop_all(job, 'job has ended')
        self.dirty.add(job_id)

    def next_attempt(self, task: Task) -> int:
        """
        Return an attempt number above those of all runs of the task.

        That includes runs under earlier epochs.
        """
        floor = (self.epoch - 1) * ATTEMPTS_PER_EPOCH
        return max(task.attempt, floor) + 1

    def start_run(
        self,
        task: Task,
        worker: WorkerState,
        *,
        reason: str,
    ) -> Run:
        """
        Allocate a run on a worker and order its start.

        Args:
            task: The task to run.
            worker: The worker to run it on.
            reason: Why the worker was chosen, for the log.
        """
        attempt = self.next_attempt(task)
        run = Run(task, attempt, worker.worker_id, self.now_ms)
        worker.charge(run)
        worker.changed_ms = self.now_ms
        self.order_start(run, reason)
        return run

    def confirm_run(self, run: Run) -> None:
        """
        Record that a worker is executing a run.
        """
        run.order_acknowledged_ms = self.now_ms
        run.is_delivered = True
        if run.phase in {RunPhase.STARTING, RunPhase.UNCERTAIN}:
            run.phase = RunPhase.RUNNING
            self._log_late_start(run)
            self.waits.add_confirmation(run, self.now_ms)
            run.confirmed_ms = self.now_ms
            run.percent_changed_ms = self.now_ms
        job = run.task.step.job
        if not job.has_started:
            job.has_started = True
            self.dirty.add(job.plan.job_id)
        if job.is_terminal:
            self.stop_run(run, 'job has ended or was cancelled')

    def end_run(
        self,
        run: Run,
        outcome: RunOutcome,
        checkpoint: str = '',
    ) -> None:
        """
        Record that a run has ended and free its resources.
        """
        worker = self.workers[run.worker_id]
        if (run.task.key, run.attempt) not in worker.runs:
            return
        worker.release(run)
        now_ms = self.now_ms
        worker.changed_ms = now_ms
        task = run.task
        remove_run(task, run)
        task.last_end = RunEnd(
            attempt=run.attempt, worker_id=run.worker_id, outcome=outcome
        )
        self.log.record(
            'run_ended',
            task=task.key,
            attempt=run.attempt,
            worker=run.worker_id,
            outcome=outcome,
            duration_ms=int(now_ms - run.started_ms),
        )
        if outcome is RunOutcome.DONE and run.has_representative_duration:
            self.durations.learn(task.step, now_ms - run.started_ms)
        if outcome is RunOutcome.FAILED:
            task.avoid_worker(run.worker_id)
        self.record_outcome(
            task,
            run.attempt,
            outcome,
            checkpoint or run.checkpoint,
        )
        if worker.health.add_outcome(run, outcome, now_ms):
            self.log.record(
                'worker_quarantined',
                worker=worker.worker_id,
                runs=len(worker.runs),
            )

    def record_outcome(
        self,
        task: Task,
        attempt: int,
        outcome: RunOutcome,
        checkpoint: str,
    ) -> None:
        """
        Apply the outcome of a run, which the owner may have no record of.
        """
        apply_outcome(task, attempt, outcome, checkpoint)
        job = task.step.job
        self.dirty.add(job.plan.job_id)
        if task.is_done:
            self._stop_copies(task)
            release_followers(task.step, self.now_ms)
        self._end_job_if_due(job)
        self.wake.set()

    def _log_late_start(self, run: Run) -> None:
        delay_ms = self.now_ms - run.started_ms
        if delay_ms < _LATE_START_MS:
            return
        self.log.record(
            'start_late',
            task=run.task.key,
            attempt=run.attempt,
            worker=run.worker_id,
            delay_ms=int(delay_ms),
            # Of that, until the start was first sent.
            queued_ms=int(run.sent_ms - run.started_ms),
            orders=self.workers[run.worker_id].orders.qsize(),
        )

    def _restore_handover_progress(self, job: Job, progress: bytes) -> None:
        try:
            restore_progress(job, progress, is_stored=False)
        except RecordError as error:
            self.log.record(
                'handover_progress_unreadable',
                key=job.plan.job_id,
                why=str(error),
            )
            return
        job.ended_ms = self.now_ms
        self.dirty.add(job.plan.job_id)
        for task in job.tasks():
            if task.is_done:
                self._stop_copies(task)
        # Workers may have listed further ends to this owner before.
        self._end_job_if_due(job)

    def _end_job_if_due(self, job: Job) -> None:
        if update_end_phase(job, self.now_ms):
            self.log.record(
                'job_ended',
                job=job.plan.job_id,
                phase=job.end_phase,
                duration_ms=int(self.now_ms - job.accepted_ms),
                objective_ms=int(self.durations.outlook(job).objective_ms),
                queue=job.plan.queue.name,
            )
            self._stop_all(job, 'job has ended')

    def _stop_copies(self, task: Task) -> None:
        # The members of a gang end together without an order.
        if not task.step.plan.is_gang:
            for run in list(task.runs):
                self.stop_run(run, 'task is complete')

    def _stop_all(self, job: Job, reason: str) -> None:
        for task in job.tasks():
            for run in list(task.runs):
                self.stop_run(run, reason)
