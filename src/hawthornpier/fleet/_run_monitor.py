"""
Detection of runs that are lost, stalled or on a draining worker.
"""

from hawthornpier.fleet._crashes import presume_crash, suspect_crash
from hawthornpier.fleet._departures import DEFAULT_REMAINING_MS
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._state_log import log_interrupted_runs
from hawthornpier.fleet._timings import WorkerTimings
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Run, RunOutcome, RunPhase

# A run at full speed is stalled if its progress has not changed for this long.
# Workers list their runs every second.
_STALL_MS = 1_900.0
# Progress is listed in whole percent, so that a long task also needs this many
# times the expected time for one percent.
_STALL_PERCENT = 3.0
# On a healthy worker, a long-running task becomes ready within this time.
_STARTUP_MS = 4_000.0
# After the end of its lease, a worker that is still registered is given this
# long to list the outcomes of its runs, before their tasks are run again.
_LISTING_GRACE_MS = 4_000.0
# A worker that has not replied for this long may have crashed.
_SUSPICION_DELAY_MS = 250.0
# Replies that arrived while the owner was behind its work are read within this
# time, and ends that only the owner's clock shows wait for them.  Not for
# longer than the limit, because an owner may be behind all the time.
_CATCH_UP_MS = 250.0
_CATCH_UP_LIMIT_MS = 1_000.0
# Minimum interval between two passes.
_CHECK_INTERVAL_MS = 200.0


class RunMonitor:
    """
    Ends runs whose worker's lease has expired, and stops those that must move.

    Runs must move if they are stalled, or if their worker is draining and they
    can resume elsewhere from a checkpoint but are not expected to end in time.

    Args:
        shard: The state of the shard.
        timings: Durations and limits of the owner's requests to workers.
    """

    def __init__(self, shard: Shard, timings: WorkerTimings) -> None:
        self._shard = shard
        self._timings = timings
        self._last_pass_ms: float = 0

    def run_pass(self) -> None:
        """
        Check all workers, unless the previous pass was too recent.
        """
        now_ms = self._shard.now_ms
        if now_ms - self._last_pass_ms < _CHECK_INTERVAL_MS:
            return
        self._last_pass_ms = now_ms
        for worker in self._shard.workers.values():
            if worker.missed_reply_count or worker.is_deregistered:
                self._end_expired_runs(worker, now_ms)
            elif worker.entry.is_draining:
                self._stop_runs_on_draining(worker, now_ms)
            else:
                self._stop_stalled_runs(worker, now_ms)

    def _end_expired_runs(self, worker: WorkerState, now_ms: float) -> None:
        """
        End the runs of a worker whose lease has expired without a reply.

        Those of other than long-running tasks may have completed before, which
        only the worker can tell.  While the registry still has its entry, it
        is alive, and its listing is awaited for some time.
        """
        expired_ms = now_ms - worker.lease_expiry_ms(self._timings)
        is_behind = self._shard.load.was_late(now_ms - _CATCH_UP_MS, now_ms)
        if is_behind and expired_ms < _CATCH_UP_LIMIT_MS:
            return
        if now_ms - worker.last_reply_ms >= _SUSPICION_DELAY_MS:
            suspect_crash(self._shard, worker)
        if expired_ms < 0:
            return
        if worker.is_reached:
            worker.expect_listing()
            log_interrupted_runs(self._shard, worker, 'lease expired')
        if worker.is_deregistered:
            presume_crash(self._shard, worker, 'lease expired, entry missing')
        awaits_listing = (
            not worker.is_deregistered and expired_ms < _LISTING_GRACE_MS
        )
        for run in list(worker.runs.values()):
            if run.task.step.plan.is_lasting or not awaits_listing:
                self._shard.end_run(run, RunOutcome.LOST)

    def _stop_runs_on_draining(
        self, worker: WorkerState, now_ms: float
    ) -> None:
        drain_ms = worker.entry.remaining_ms
        if drain_ms is None:
            drain_ms = int(DEFAULT_REMAINING_MS)
        for run in list(worker.runs.values()):
            step = run.task.step
            if run.phase is not RunPhase.RUNNING or step.plan.is_lasting:
                continue
            expected_ms = self._shard.durations.expected_ms(step)
            remaining_ms = expected_ms - (now_ms - run.confirmed_ms)
            if step.plan.has_checkpoints and remaining_ms > drain_ms:
                self._shard.stop_run(run, 'worker is draining')

    def _stop_stalled_runs(self, worker: WorkerState, now_ms: float) -> None:
        stalled = [
            run
            for run in worker.runs.values()
            if _may_be_stalled(run) and _is_stalled(run, self._stall_ms(run))
        ]
        for run in stalled:
            worker.health.record_stall(run, now_ms)
            run.task.avoid_worker(worker.worker_id)
            self._shard.stop_run(run, 'no progress')

    def _stall_ms(self, run: Run) -> float:
        step = run.task.step
        if step.plan.is_lasting:
            return _STALL_MS
        expected_ms = self._shard.durations.expected_ms(step)
        return max(_STALL_MS, expected_ms / 100 * _STALL_PERCENT)


def _may_be_stalled(run: Run) -> bool:
    """
    Return whether listings have shown no progress of a run for long.

    Few runs are as far as that, and only for these the expected run time is
    looked up.  Time without a listing does not count: a worker that is slow to
    report, or whose reports are lost, may have worked on.
    """
    return (
        run.percent < 100
        and run.listed_ms - run.percent_changed_ms > _STALL_MS
        and run.phase is RunPhase.RUNNING
    )


def _is_stalled(run: Run, stall_ms: float) -> bool:
    """
    Return whether a run has made no progress for *stall_ms*.
    """
    # Scaled by the speed, because a throttled run progresses more slowly and a
    # paused one not at all.
    speed = max(run.speed_percent, 0) / 100
    unchanged_ms = (run.listed_ms - run.percent_changed_ms) * speed
    if (
        run.task.step.plan.is_lasting
        and run.listed_ms - run.confirmed_ms <= _STARTUP_MS
    ):
        return False
    return unchanged_ms > stall_ms
