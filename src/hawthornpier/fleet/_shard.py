"""
The jobs, runs and workers of one shard, as its owner sees them.
"""

import asyncio
from collections.abc import Callable

from hawthornpier.events import DecisionLog
from hawthornpier.fleet._disturbance import Disturbance
from hawthornpier.fleet._job_book import JobIndex
from hawthornpier.fleet._worker_state import (
    Order,
    OrderKind,
    WorkerState,
)
from hawthornpier.ports import Clock
from hawthornpier.steps import (
    Job,
    JobPlan,
    RecordError,
    Run,
    RunOutcome,
    RunPhase,
    Task,
    apply_outcome,
    restore_progress,
    update_end_phase,
)

# Attempts of one task under one epoch; the next epoch's attempts are higher.
ATTEMPTS_PER_EPOCH = 1_000
# A deposed owner that has not noticed may start jobs that are accepted this
# long after the change.
_OLD_NOTICES_MS = 3_000.0


class Shard(JobIndex):
    """
    The state that the tasks of an owner share.

    Args:
        name: The shard.
        epoch: The owner's epoch, which workers check as fencing number.
        clock: The clock of this process.
        log: Where decisions are recorded.
    """

    def __init__(
        self,
        name: str,
        *,
        epoch: int,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        super().__init__(clock)
        self.name = name
        self.epoch = epoch
        self.log = log
        self.workers: dict[str, WorkerState] = {}
        self.disturbance = Disturbance(log, clock)
        # Progress that the previous owner could not store, of jobs that are
        # not known yet.
        self.handover_progress: dict[str, bytes] = {}
        # Called with the id of each job that becomes known.
        self.on_job_added: Callable[[str], None] | None = None
        self.wake = asyncio.Event()
        self.deposed = asyncio.Event()
        self.is_draining = False
        # Workers of the previous owner that have not listed their runs yet,
        # with the tasks that may run there; None stands for any task.
        self.unlisted_tasks: dict[str, frozenset[str] | None] = {}
        # When the first worker accepted this epoch; from then on the previous
        # owner is refused there, and so learns that it was replaced.
        self.first_listed_ms: float | None = None

    def add_job(
        self,
        plan: JobPlan,
        *,
        progress: bytes = b'',
        is_from_earlier_epoch: bool = False,
    ) -> Job:
        """
        Take in an accepted job; a known one stays as it is.
        """
        job = self.jobs.get(plan.job_id)
        if job is not None:
            return job
        job = Job(plan, self.now_ms)
        job.is_from_earlier_epoch = is_from_earlier_epoch or (
            self.epoch > 1 and self.is_recent_owner(_OLD_NOTICES_MS)
        )
        if plan.submitted_ms:
            waited_ms = self.clock.wall_ms() - plan.submitted_ms
            # Wall clocks of two hosts may differ by seconds.
            job.accepted_ms -= min(max(waited_ms, 0), 60_000)
        if progress:
            restore_progress(job, progress)
            # When it ended is not stored; it is kept at least long enough.
            job.ended_ms = self.now_ms
        self.jobs[plan.job_id] = job
        self.durations.register_job(job)
        handover_progress = self.handover_progress.pop(plan.job_id, None)
        if handover_progress is not None:
            self._restore_handover_progress(job, handover_progress)
        if self.on_job_added is not None:
            self.on_job_added(plan.job_id)
        self.wake.set()
        self.log.record(
            'job_known',
            job=plan.job_id,
            queue=plan.queue.name,
            tasks=sum(step.task_count for step in plan.steps),
            may_miss=[step.unavailable_limit for step in plan.steps],
            phase=job.phase,
        )
        return job

    def apply_handover_progress(self, job_id: str, progress: bytes) -> None:
        """
        Take over progress that the previous owner could not store.
        """
        job = self.jobs.get(job_id)
        if job is None:
            self.handover_progress[job_id] = progress
        else:
            self._restore_handover_progress(job, progress)

    def is_recent_owner(self, span_ms: float) -> bool:
        """
        Tell whether the first worker listed its runs less than *span_ms* ago.
        """
        if self.first_listed_ms is None:
            return True
        return self.now_ms - self.first_listed_ms < span_ms

    def cancel_job(self, job_id: str) -> None:
        """
        Stop all runs of a job and start no more.
        """
        job = self.jobs.get(job_id)
        if job is None or job.is_terminal:
            return
        job.is_cancelled = True
        job.ended_ms = self.now_ms
        self.log.record('job_cancelled', job=job_id)
        self._stop_all(job, 'job cancelled')
        self.wake.set()

    def next_attempt(self, task: Task) -> int:
        """
        Return a number above that of every earlier run of the task.
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
        Charge a run to a worker and order its start.
        """
        attempt = self.next_attempt(task)
        run = Run(task, attempt, worker.worker_id, self.now_ms)
        worker.charge(run)
        self.order_start(run, reason)
        return run

    def order_start(self, run: Run, reason: str) -> None:
        """
        Order the start of a run that is charged already.
        """
        task = run.task
        task.attempt = run.attempt
        run.is_copy = bool(task.runs)
        run.checkpoint = task.checkpoint
        run.has_resumed = bool(task.checkpoint)
        task.runs.append(run)
        worker = self.workers[run.worker_id]
        worker.orders.put_nowait(
            Order(
                kind=OrderKind.START,
                task_key=task.key,
                attempt=run.attempt,
                run=run,
            ),
        )
        self.log.record(
            'run_placed',
            task=task.key,
            attempt=run.attempt,
            worker=worker.worker_id,
            why=reason,
        )

    def stop_run(self, run: Run, reason: str) -> None:
        """
        Order a run to stop; it stays charged until its end is listed.
        """
        if run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        run.order_answered_ms = 0
        run.stop_reason = reason
        worker = self.workers[run.worker_id]
        self.order_stop(worker, run.task.key, run.attempt, run=run)
        self.log.record(
            'run_stopping',
            task=run.task.key,
            attempt=run.attempt,
            worker=run.worker_id,
            why=reason,
        )

    def order_stop(
        self,
        worker: WorkerState,
        task_key: str,
        attempt: int,
        *,
        run: Run | None = None,
    ) -> None:
        """
        Have a worker stop a run, known to the owner or not.
        """
        stop = Order(
            kind=OrderKind.STOP,
            task_key=task_key,
            attempt=attempt,
            run=run,
        )
        worker.orders.put_nowait(stop)

    def order_throttle(
        self, worker: WorkerState, run: Run, percent: int
    ) -> None:
        """
        Have a worker run a task at a share of its speed.
        """
        run.speed_percent = percent
        run.was_throttled = run.was_throttled or percent < 100
        run.percent_changed_ms = self.now_ms
        worker.orders.put_nowait(
            Order(
                kind=OrderKind.THROTTLE,
                task_key=run.task.key,
                attempt=run.attempt,
                run=run,
                percent=percent,
            ),
        )
        self.log.record(
            'run_paced',
            task=run.task.key,
            attempt=run.attempt,
            worker=run.worker_id,
            percent=percent,
        )

    def confirm_run(self, run: Run) -> None:
        """
        Note that a worker runs what it was told to.
        """
        run.order_answered_ms = self.now_ms
        if run.phase in {RunPhase.STARTING, RunPhase.UNCERTAIN}:
            run.phase = RunPhase.RUNNING
            run.percent_changed_ms = self.now_ms
        job = run.task.step.job
        if not job.has_started:
            job.has_started = True
            self.dirty.add(job.plan.job_id)
        if job.is_terminal:
            self.stop_run(run, 'job is over')

    def end_run(self, run: Run, kind: RunOutcome, checkpoint: str = '') -> None:
        """
        Take the end of a run into account and free its room.
        """
        worker = self.workers[run.worker_id]
        if (run.task.key, run.attempt) not in worker.runs:
            return
        worker.release(run)
        now_ms = self.now_ms
        task = run.task
        task.runs.remove(run)
        self.log.record(
            'run_ended',
            task=task.key,
            attempt=run.attempt,
            worker=run.worker_id,
            how=kind,
            ms=int(now_ms - run.started_ms),
        )
        if kind is RunOutcome.DONE and run.has_representative_duration:
            self.durations.learn(task.step, now_ms - run.started_ms)
        if kind is RunOutcome.FAILED:
            task.avoided_workers.add(run.worker_id)
        self.record_outcome(
            task, run.attempt, kind, checkpoint or run.checkpoint
        )
        if worker.health.add_outcome(run, kind, now_ms):
            self.log.record(
                'worker_quarantined',
                worker=worker.worker_id,
                runs=len(worker.runs),
            )

    def record_outcome(
        self,
        task: Task,
        attempt: int,
        kind: RunOutcome,
        checkpoint: str,
    ) -> None:
        """
        Take the end of a run into account that may not be charged here.
        """
        apply_outcome(task, attempt, kind, checkpoint)
        job = task.step.job
        self.dirty.add(job.plan.job_id)
        if task.is_done:
            self._stop_copies(task)
        if update_end_phase(job, self.now_ms):
            self.log.record(
                'job_ended',
                job=job.plan.job_id,
                phase=job.end_phase,
                ms=int(self.now_ms - job.accepted_ms),
                objective_ms=int(self.durations.objective_ms(job)),
                queue=job.plan.queue.name,
            )
            self._stop_all(job, 'job has ended')
        self.wake.set()

    def _restore_handover_progress(self, job: Job, progress: bytes) -> None:
        try:
            restore_progress(job, progress, is_stored=False)
        except RecordError as error:
            self.log.record(
                'row_unreadable',
                key=job.plan.job_id,
                why=str(error),
            )
            return
        job.ended_ms = self.now_ms
        self.dirty.add(job.plan.job_id)
        for task in job.tasks():
            if task.is_done:
                self._stop_copies(task)

    def _stop_copies(self, task: Task) -> None:
        # The members of a gang end by themselves, together.
        if not task.step.plan.is_gang:
            for run in list(task.runs):
                self.stop_run(run, 'another run has finished')

    def _stop_all(self, job: Job, reason: str) -> None:
        for task in job.tasks():
            for run in list(task.runs):
                self.stop_run(run, reason)
