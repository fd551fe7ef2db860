"""
What a worker's lists change in the owner's state.
"""

from hawthornpier.fleet._pacing import ThrottleActions, control_throttling
from hawthornpier.fleet._ports import EndedRun, RunningRun, WorkerListing
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Run, RunOutcome, RunPhase

# A run of a job that the owner does not know yet is stopped after this time;
# the feed of accepted jobs is read more often.
_UNKNOWN_JOB_GRACE_MS = 2_500.0


class ListingReconciler:
    """
    Applies the lists of workers to a shard.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        self._unknown_since_ms: dict[tuple[str, str, int], float] = {}
        # Rows of jobs that are not known yet, by job.
        self._deferred_rows: dict[
            str,
            list[tuple[WorkerState, RunningRun | EndedRun]],
        ] = {}
        shard.on_job_added = self._apply_deferred_rows
        self._actions = ThrottleActions(
            pace=shard.order_throttle,
            stop=shard.stop_run,
        )

    def apply(
        self,
        worker: WorkerState,
        listing: WorkerListing,
        requested_ms: float,
    ) -> None:
        """
        Take in a listing.

        Args:
            worker: Who sent it.
            listing: Its lists.
            requested_ms: When they were asked for.
        """
        now_ms = self._shard.now_ms
        worker.synchronize(listing.clock_ms, now_ms)
        for end in listing.ended:
            if end.number <= worker.processed_number:
                continue
            if not self._apply_ended_run(worker, end, now_ms):
                # Acknowledging a later end would acknowledge this one.
                break
            worker.processed_number = end.number
        listed = set()
        for row in listing.running:
            listed.add((row.task_key, row.attempt))
            run = worker.runs.get((row.task_key, row.attempt))
            if run is None:
                self._add_listed_run(worker, row, now_ms)
            else:
                self._update_run(run, row, now_ms)
        self._end_unlisted_runs(worker, listed, requested_ms)
        if not worker.is_listed:
            self._record_first_listing(worker, now_ms)
        if worker.long_running_count:
            disturbance = self._shard.disturbance
            disturbance.learn(worker, now_ms)
            control_throttling(worker, disturbance, self._actions, now_ms)

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
        Take in what workers listed of a job before it was known.

        Another owner may have started it; without this its tasks would be
        started again before the next listing.
        """
        now_ms = self._shard.now_ms
        for worker, row in self._deferred_rows.pop(job_id, ()):
            if isinstance(row, EndedRun):
                self._apply_ended_run(worker, row, now_ms)
            elif (row.task_key, row.attempt) not in worker.runs:
                self._add_listed_run(worker, row, now_ms)

    def _update_run(self, run: Run, row: RunningRun, now_ms: float) -> None:
        if run.phase in {RunPhase.STARTING, RunPhase.UNCERTAIN}:
            self._shard.confirm_run(run)
        if row.percent != run.percent:
            run.percent = row.percent
            run.percent_changed_ms = now_ms
        run.checkpoint = row.checkpoint or run.checkpoint
        run.cpu_or_tail = row.usage

    def _end_unlisted_runs(
        self,
        worker: WorkerState,
        listed: set[tuple[str, int]],
        requested_ms: float,
    ) -> None:
        """
        End the runs that the worker answered for and no longer has.
        """
        for key, run in list(worker.runs.items()):
            if key in listed or not run.order_answered_ms:
                continue
            if run.order_answered_ms < requested_ms:
                self._shard.end_run(run, RunOutcome.LOST)

    def _apply_ended_run(
        self,
        worker: WorkerState,
        end: EndedRun,
        now_ms: float,
    ) -> bool:
        """
        Take in an end; tell whether it may be acknowledged.
        """
        shard = self._shard
        run = worker.runs.get((end.task_key, end.attempt))
        if run is not None:
            shard.end_run(run, end.kind, end.checkpoint)
            return True
        task = shard.find_task(end.task_key)
        if task is None:
            return self._has_unknown_job_expired(worker, end, now_ms)
        task.attempt = max(task.attempt, end.attempt)
        if (
            end.kind in {RunOutcome.DONE, RunOutcome.FAILED}
            and not task.is_done
        ):
            shard.record_outcome(task, end.attempt, end.kind, end.checkpoint)
        return True

    def _has_unknown_job_expired(
        self,
        worker: WorkerState,
        row: RunningRun | EndedRun,
        now_ms: float,
    ) -> bool:
        """
        Tell whether a run's job has been unknown for too long to appear.
        """
        run_id = (worker.worker_id, row.task_key, row.attempt)
        since_ms = self._unknown_since_ms.setdefault(run_id, now_ms)
        if now_ms - since_ms <= _UNKNOWN_JOB_GRACE_MS:
            job_id = row.task_key.partition('.')[0]
            rows = self._deferred_rows.setdefault(job_id, [])
            rows.append((worker, row))
            return False
        self._unknown_since_ms[run_id] = now_ms
        self._deferred_rows.pop(row.task_key.partition('.')[0], None)
        self._shard.log.record(
            'stray_run',
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
        shard = self._shard
        task = shard.find_task(row.task_key)
        if task is None:
            if self._has_unknown_job_expired(worker, row, now_ms):
                shard.order_stop(worker, row.task_key, row.attempt)
            return
        run = Run(task, row.attempt, worker.worker_id, now_ms)
        run.phase = RunPhase.RUNNING
        run.has_resumed = True
        run.order_answered_ms = now_ms
        others = [other for other in task.runs if other.attempt != run.attempt]
        task.attempt = max(task.attempt, row.attempt)
        task.runs.append(run)
        worker.charge(run)
        self._update_run(run, row, now_ms)
        task.step.job.has_started = True
        if task.step.plan.is_filling:
            # The previous owner may have paused it; lists do not show that.
            shard.order_throttle(worker, run, 100)
        is_unwanted = task.is_done or (
            bool(others)
            and not task.step.plan.is_gang
            and not task.step.plan.may_run_copies
        )
        if is_unwanted or task.step.job.is_terminal:
            shard.stop_run(run, 'not wanted')
        shard.log.record(
            'run_adopted',
            task=row.task_key,
            attempt=row.attempt,
            worker=worker.worker_id,
            phase=run.phase,
        )
