"""
Health of workers, judged by failed or stalled runs and rejected starts.
"""

import collections
import enum

from hawthornpier.steps import Run, RunOutcome

# A worker is quarantined if, of its latest `_WINDOW_SIZE` completed or failed
# runs, at least `_QUARANTINE_FAILURE_COUNT` and at least half have failed, and
# the failed ones belong to two or more jobs.
_WINDOW_SIZE = 6
_QUARANTINE_FAILURE_COUNT = 2
# For long-running tasks, no quarantine is longer than the first one: their runs
# are not limited in number, and waiting beside the only room gains nothing.
_QUARANTINE_MS = 1_500.0
_QUARANTINE_MAX_MS = 12_000.0
_REFUSAL_MS = 300.0
_REFUSAL_MAX_MS = 2_400.0
# A run keeps others off a worker on probation for at most this long.
_TRIAL_MS = 4_000.0
# Other workers are preferred for this long after a failure.
_SUSPICION_MS = 4_000.0


class HealthStatus(enum.IntEnum):
    """
    Whether runs may be started on a worker; lower values are preferred.
    """

    HEALTHY = 0
    SUSPECT = 1
    # After a quarantine, only one run at a time is started, or another after
    # some seconds, until one succeeds or, if it is long-running, becomes ready.
    # If it fails, the worker is quarantined again.
    PROBATION = 2
    QUARANTINED = 3


class WorkerHealth:
    """
    The recent outcomes of runs and rejected starts of one worker.
    """

    def __init__(self) -> None:
        self._outcomes: collections.deque[tuple[str, bool]] = collections.deque(
            maxlen=_WINDOW_SIZE,
        )
        self._quarantined_ms: float = 0
        self._quarantined_until_ms: float = 0
        self._quarantine_ms = _QUARANTINE_MS
        self._is_quarantined = False
        self._refused_until_ms: float = 0
        self._refusal_ms = _REFUSAL_MS
        self._suspect_until_ms: float = 0

    def add_outcome(self, run: Run, kind: RunOutcome, now_ms: float) -> bool:
        """
        Record the outcome of a run.

        Only successes and failures affect the health.

        Returns:
            Whether the outcome has caused the worker to be quarantined.
        """
        if kind is RunOutcome.DONE:
            self._is_quarantined = False
            self._quarantine_ms = _QUARANTINE_MS
            self._refusal_ms = _REFUSAL_MS
        elif kind is not RunOutcome.FAILED:
            return False
        job_id = run.task.step.job.plan.job_id
        self._outcomes.append((job_id, kind is RunOutcome.FAILED))
        if kind is RunOutcome.FAILED:
            self._suspect_until_ms = now_ms + _SUSPICION_MS
            return self._quarantine_if_failing(run, now_ms)
        return False

    def record_ready_run(self, run: Run) -> None:
        """
        Record that a long-running task is at work, which ends a probation.

        The next quarantine is as long as after a failure during the probation,
        because only a run that succeeds shows that the worker completes tasks.
        """
        if self._is_since_quarantine(run):
            self._is_quarantined = False

    def is_on_trial_by(self, run: Run, now_ms: float) -> bool:
        """
        Return whether a run is a recent one since the last quarantine.
        """
        is_recent = now_ms - run.started_ms < _TRIAL_MS
        return is_recent and self._is_since_quarantine(run)

    def record_refusal(self, now_ms: float) -> None:
        """
        Record a start that the worker rejected as unhealthy or did not confirm.

        No runs are started on the worker for a time that doubles with each such
        start, up to a limit, until a run succeeds.
        """
        self._refused_until_ms = now_ms + self._refusal_ms
        self._refusal_ms = min(self._refusal_ms * 2, _REFUSAL_MAX_MS)

    def record_stall(self, run: Run, now_ms: float) -> None:
        """
        Record a run without progress, which shows that the worker stands still.
        """
        if self._tells_news(run):
            self.quarantine(now_ms)

    def quarantine(self, now_ms: float) -> None:
        """
        Start no runs on the worker for some time, then one at a time.

        The time doubles with each quarantine, up to a limit, until a run
        succeeds.
        """
        self._is_quarantined = True
        self._quarantined_ms = now_ms
        self._quarantined_until_ms = now_ms + self._quarantine_ms
        self._quarantine_ms = min(self._quarantine_ms * 2, _QUARANTINE_MAX_MS)
        self._outcomes.clear()

    def reset(self) -> None:
        """
        Reset the health for a new incarnation of the worker.

        Times that earlier failures have doubled stay so until a run succeeds.
        """
        self._outcomes.clear()
        self._is_quarantined = False
        self._quarantined_ms = 0
        self._quarantined_until_ms = 0
        self._refused_until_ms = 0
        self._suspect_until_ms = 0

    def health_status(
        self, now_ms: float, *, is_lasting: bool = False
    ) -> HealthStatus:
        """
        Return whether runs may be started on the worker.

        Args:
            now_ms: The current time, by the owner's monotonic clock.
            is_lasting: Whether the runs are those of long-running tasks.
        """
        if now_ms < self._refused_until_ms:
            return HealthStatus.QUARANTINED
        if self._is_quarantined:
            until_ms = self._quarantined_until_ms
            if is_lasting:
                until_ms = min(until_ms, self._quarantined_ms + _QUARANTINE_MS)
            if now_ms < until_ms:
                return HealthStatus.QUARANTINED
            return HealthStatus.PROBATION
        if now_ms < self._suspect_until_ms:
            return HealthStatus.SUSPECT
        return HealthStatus.HEALTHY

    def _is_since_quarantine(self, run: Run) -> bool:
        return run.started_ms > self._quarantined_ms

    def _tells_news(self, run: Run) -> bool:
        """
        Return whether a run was not started before the current quarantine.
        """
        return not self._is_quarantined or self._is_since_quarantine(run)

    def _quarantine_if_failing(self, run: Run, now_ms: float) -> bool:
        if self._is_quarantined:
            is_new = self._tells_news(run)
            if is_new:
                self.quarantine(now_ms)
            return is_new
        failed_jobs = {
            job_id for job_id, is_failed in self._outcomes if is_failed
        }
        failures = sum(1 for _, is_failed in self._outcomes if is_failed)
        is_bad = (
            failures >= _QUARANTINE_FAILURE_COUNT
            and len(failed_jobs) >= 2
            and failures * 2 >= len(self._outcomes)
        )
        if is_bad:
            self.quarantine(now_ms)
        return is_bad
