"""
Reconciliation of the owner's state with the runs that workers list.
"""

from hawthornpier.fleet._crashes import clear_suspicions
from hawthornpier.fleet._listed_load import measure_listing
from hawthornpier.fleet._ports import EndedRun, RunningRun, WorkerListing
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._throttling import ThrottleActions, control_throttling
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Run, RunOutcome, RunPhase, add_run

# A listed run whose job is not in the store is stopped once the owner has read
# the accepted jobs this long after the run was first listed.  Without such a
# read, for instance while the store is out, the job may have been accepted
# recently.
_UNKNOWN_JOB_GRACE_MS = 2_500.0


class ListingReconciler:
    """
    Applies the listings of workers to the state of a shard.

    Args:
        shard: The shard to update.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        # When each run of an unknown job was first listed or last reported as
        # such, by worker, task and attempt.
        self._unknown_since_ms: dict[tuple[str, str, int], float] = {}
        # Listed runs to apply when their job is added, by job.
        self._deferred_rows: dict[
            str,
            list[tuple[WorkerState, RunningRun | EndedRun]],
        ] = {}
        shard.on_job_added = self._apply_deferred_rows
        self._actions = ThrottleActions(
            throttle=shard.order_throttle,
            stop=shard.stop_run,
        )

    def apply(
        self,
        worker: WorkerState,
        listing: WorkerListing,
        requested_ms: float,
    ) -> None:
        """
        Apply a listing.

        Args:
            worker: The worker that sent it.
            listing: The running and ended runs of the worker.
            requested_ms: When the listing was requested, by the owner's
                monotonic clock.
        """
        now_ms = self._shard.now_ms
        is_clock_plausible = worker.synchronize(
            listing.clock_ms, requested_ms, now_ms
        )
        worker.changed_ms = now_ms
        worker.kept_tolerances = None
        clear_suspicions(self._shard, worker)
        self._apply_ended_runs(worker, listing.ended, now_ms)
        listed = set()
        for row in listing.running:
            listed.add((row.task_key, row.attempt))
            run = worker.runs.get((row.task_key, row.attempt))
            if run is None:
                self._add_listed_run(worker, row, now_ms)
            else:
                self._update_run(run, row, now_ms)
                run.listed_ms = requested_ms
        worker.is_reached = True
        worker.listed_end_count = len(listing.ended)
        worker.listed_load = measure_listing(
            listing.running, worker.runs, requested_ms, worker.listed_load
        )
        if not listing.has_more_ended:
            clock_ms = listing.clock_ms if is_clock_plausible else 0
            self._end_unlisted_runs(worker, listed, clock_ms, requested_ms)
            if not worker.is_listed:
                self._record_first_listing(worker, now_ms)
        interference = self._shard.interference
        if worker.long_running_count:
            interference.learn(worker, now_ms)
        # Also once the last long-running run has ended, because best-effort
        # runs may be paused for it.
        if worker.long_running_count or worker.best_effort_count:
            control_throttling(worker, interference, self._actions, now_ms)

    def _apply_ended_runs(
        self,
        worker: WorkerState,
        rows: tuple[EndedRun, ...],
        now_ms: float,
    ) -> None:
        """
        Apply the ends that are new, also those after one that must wait.

        Their tasks would be started again otherwise.  But acknowledging their
        numbers would acknowledge the one that must wait, too.
        """
        may_acknowledge = True
        for row in rows:
            if worker.is_processed(row):
                continue
            worker.continue_numbers(row)
            is_applied = self._apply_ended_run(worker, row, now_ms)
            may_acknowledge = (
                may_acknowledge
                and is_applied
                and worker.may_acknowledge(row.number)
            )
            if may_acknowledge:
                worker.processed_number = row.number
        worker.has_deferred_ends = not may_acknowledge

    def _record_first_listing(self, worker: WorkerState, now_ms: float) -> None:
        worker.is_listed = True
        shard = self._shard
        shard.unlisted_tasks.pop(worker.worker_id, None)
        if shard.first_listed_ms is None:
            shard.first_listed_ms = now_ms
        shard.log.record(
            'worker_listed',
            worker=worker.worker_id,
            runs=len(worker.runs),
            epoch=shard.epoch,
            incarnation=worker.entry.incarnation_ms,
        )
        shard.wake.set()

    def _apply_deferred_rows(self, job_id: str) -> None:
        """
        Apply the runs that were listed before their job was added.

        A previous owner may have started them.  If they were ignored until
        the next listing, the job's tasks would be started again before that.
        """
        now_ms = self._shard.now_ms
        for worker, row in self._deferred_rows.pop(job_id, ()):
            is_known = self._shard.workers.get(worker.worker_id) is worker
            if isinstance(row, EndedRun):
                self._apply_ended_run(worker, row, now_ms)
            elif is_known and (row.task_key, row.attempt) not in worker.runs:
                self._add_listed_run(worker, row, now_ms)

    def _update_run(self, run: Run, row: RunningRun, now_ms: float) -> None:
        run.is_listed = True
        if run.phase in {RunPhase.STARTING, RunPhase.UNCERTAIN}:
            self._shard.confirm_run(run)
        if row.percent != run.percent:
            run.percent = row.percent
            run.percent_changed_ms = now_ms
            if run.is_ready:
                worker = self._shard.workers[run.worker_id]
                worker.health.record_ready_run(run)
        run.checkpoint = row.checkpoint or run.checkpoint
        run.cpu_or_tail = row.usage

    def _end_unlisted_runs(
        self,
        worker: WorkerState,
        listed: set[tuple[str, int]],
        clock_ms: int,
        requested_ms: float,
    ) -> None:
        """
        End the runs that the worker no longer lists, at the second time.

        A run has ended if its last order was acknowledged before the listing
        was requested; the listing may not reflect later orders.  If no order
        is acknowledged, its start is no longer executed after its deadline.
        A single listing may be incomplete.
        """
        unlisted = {
            run.key: run
            for run in worker.runs.values()
            if run.key not in listed
            and (
                0 < run.order_acknowledged_ms < requested_ms
                or _is_start_overdue(run, clock_ms)
            )
        }
        confirmed = unlisted.keys() & worker.unlisted_runs
        worker.unlisted_runs = unlisted.keys() - confirmed
        for key in confirmed:
            self._shard.end_run(unlisted[key], RunOutcome.LOST)

    def _apply_ended_run(
        self,
        worker: WorkerState,
        row: EndedRun,
        now_ms: float,
    ) -> bool:
        """
        Apply the end of a run, and return whether it may be acknowledged.
        """
        shard = self._shard
        run = worker.runs.get((row.task_key, row.attempt))
        if run is not None:
            shard.end_run(run, row.kind, row.checkpoint)
            return True
        task = shard.find_task(row.task_key)
        if task is None:
            return self._has_unknown_job_expired(worker, row, now_ms)
        task.attempt = max(task.attempt, row.attempt)
        is_known = task.is_done or row.attempt in task.failed_attempts
        if row.kind in {RunOutcome.DONE, RunOutcome.FAILED} and not is_known:
            shard.record_outcome(task, row.attempt, row.kind, row.checkpoint)
        return True

    def _has_unknown_job_expired(
        self,
        worker: WorkerState,
        row: RunningRun | EndedRun,
        now_ms: float,
    ) -> bool:
        """
        Return whether a run's job has stayed unknown for the grace period.

        Until then, keep the run to apply it when its job is added.
        """
        run_id = (worker.worker_id, row.task_key, row.attempt)
        since_ms = self._unknown_since_ms.setdefault(run_id, now_ms)
        if self._shard.jobs_read_ms - since_ms <= _UNKNOWN_JOB_GRACE_MS:
            job_id = row.task_key.partition('.')[0]
            rows = self._deferred_rows.setdefault(job_id, [])
            rows.append((worker, row))
            return False
        self._unknown_since_ms[run_id] = now_ms
        self._deferred_rows.pop(row.task_key.partition('.')[0], None)
        self._shard.log.record(
            'run_of_unknown_job_discarded',
            worker=worker.worker_id,
            task=row.task_key,
            attempt=row.attempt,
        )
        return True

    def _add_listed_run(
        self,
        worker: WorkerState,
        row: RunningRun,
        now_ms: float,
    ) -> None:
        """
        Add a run that the worker lists and the owner has no record of.

        Order it to stop if its job stays unknown, or if the job or the task
        does not need it.
        """
        shard = self._shard
        task = shard.find_task(row.task_key)
        if task is None:
            if self._has_unknown_job_expired(worker, row, now_ms):
                shard.order_stop(worker, row.task_key, row.attempt)
            return
        run = Run(task, row.attempt, worker.worker_id, now_ms)
        run.phase = RunPhase.RUNNING
        run.has_resumed = True
        run.sent_ms = now_ms
        run.is_delivered = True
        run.may_start_late = True
        run.order_acknowledged_ms = now_ms
        others = [other for other in task.runs if other.attempt != run.attempt]
        task.attempt = max(task.attempt, row.attempt)
        add_run(task, run)
        worker.charge(run)
        self._update_run(run, row, now_ms)
        task.step.job.has_started = True
        if task.step.plan.is_filling:
            # The previous owner may have throttled or paused it, which the
            # listing does not show.
            shard.order_throttle(worker, run, 100)
        is_unwanted = task.is_done or (
            bool(others)
            and not task.step.plan.is_gang
            and not task.step.plan.may_run_copies
        )
        if is_unwanted or task.step.job.is_terminal:
            shard.stop_run(run, 'task or job does not need this run')
        shard.log.record(
            'run_adopted',
            task=row.task_key,
            attempt=row.attempt,
            worker=worker.worker_id,
            phase=run.phase,
        )


def _is_start_overdue(run: Run, clock_ms: int) -> bool:
    """
    Return whether a start without a reply can no longer be executed.

    Args:
        run: The run.
        clock_ms: The worker's clock; 0 if it is not known.
    """
    deadline = run.start_deadline_clock_ms
    return run.has_unacknowledged_order and 0 < deadline < clock_ms
