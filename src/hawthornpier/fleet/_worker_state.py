"""
What the owner of a shard knows of one worker.
"""

import asyncio
import enum
from dataclasses import dataclass

from hawthornpier.fleet._health import WorkerHealth
from hawthornpier.fleet._ports import WorkerEntry
from hawthornpier.fleet._timings import WorkerTimings
from hawthornpier.steps import Run, Step

RunKey = tuple[str, int]

# A lasting task serves changing load; on average it uses this part of the
# processors that it asks for, and the rest is left to filling tasks.
_LONG_RUNNING_USE = 0.45
# Added to the computed end of a lease, for the granularity of timers.
_LAPSE_SLACK_MS = 60


class OrderKind(enum.StrEnum):
    """
    What a worker is told about a run.
    """

    START = 'start'
    STOP = 'stop'
    THROTTLE = 'pace'


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """
    An order that waits for a channel to its worker.

    Stops may be for runs that the owner has no record of.
    """

    kind: OrderKind
    task_key: str
    attempt: int
    run: Run | None = None
    percent: int = 100


class WorkerState:
    """
    Room, runs, lease and health of a worker, across its lives.
    """

    def __init__(self, entry: WorkerEntry) -> None:
        self.entry = entry
        self.runs: dict[RunKey, Run] = {}
        self.reserved_millis = 0
        self.best_effort_millis = 0
        self.long_running_millis = 0
        self.long_running_count = 0
        self.best_effort_count = 0
        self.memory_mb = 0
        self.accelerator_count = 0
        # Whether this life has accepted the owner's epoch and listed its runs.
        self.is_listed = False
        self.is_deregistered = False
        # Whether the store names it, so that a later owner asks it first.
        self.is_recorded = False
        self.heard_ms: float = 0
        self.unanswered_count = 0
        # Local time and the worker's clock of the last answer.
        self._synced_ms: float = 0
        self._synced_clock_ms = 0
        self._deadline_clock_ms = 0
        # Ends up to these numbers were processed, made durable.
        self.processed_number = 0
        self.acknowledged_number = 0
        self.health = WorkerHealth()
        # Since when a lasting task has been over its target; 0 if none is.
        self.over_target_since_ms: float = 0
        # The filling image that lasting tasks make room for.
        self.cleared_image = ''
        self.cleared_until_ms: float = 0
        self.refused_until_ms: float = 0
        self.orders: asyncio.Queue[Order] = asyncio.Queue()
        self.acknowledged = asyncio.Event()
        self.step_counts: dict[str, int] = {}

    @property
    def worker_id(self) -> str:
        """
        Return the id, which outlives a life.
        """
        return self.entry.worker_id

    @property
    def is_usable(self) -> bool:
        """
        Tell whether anything may be started there.
        """
        return (
            self.is_listed
            and self.is_recorded
            and not self.is_silent
            and not self.is_leaving
        )

    @property
    def is_silent(self) -> bool:
        """
        Tell whether the worker did not answer last time.
        """
        return self.unanswered_count > 0

    @property
    def is_leaving(self) -> bool:
        """
        Tell whether the registry says that the worker goes or has gone.
        """
        return self.is_deregistered or self.entry.is_draining

    def begin_incarnation(self, entry: WorkerEntry) -> list[Run]:
        """
        Switch to a new life; return the runs of the old one, which ended.
        """
        lost = list(self.runs.values())
        for run in lost:
            self.release(run)
        self.entry = entry
        self.is_listed = False
        self.unanswered_count = 0
        self.processed_number = 0
        self.acknowledged_number = 0
        self._deadline_clock_ms = 0
        self._synced_clock_ms = 0
        self.health.reset()
        self.orders = asyncio.Queue()
        return lost

    def synchronize(self, clock_ms: int, now_ms: float) -> None:
        """
        Note an answer with the worker's clock.
        """
        self.heard_ms = now_ms
        self.unanswered_count = 0
        if clock_ms >= self._synced_clock_ms:
            self._synced_ms = now_ms
            self._synced_clock_ms = clock_ms

    def next_deadline(self, lease_ms: float, now_ms: float) -> int:
        """
        Return the end of a lease from now, by the worker's clock.
        """
        elapsed_ms = now_ms - self._synced_ms
        deadline = int(self._synced_clock_ms + elapsed_ms + lease_ms)
        self._deadline_clock_ms = max(self._deadline_clock_ms, deadline)
        return deadline

    def lapse_ms(self, timings: WorkerTimings) -> float:
        """
        Return the local time when everything there has certainly ended.

        Orders carry an absolute deadline, so that one that the worker
        carries out later cannot extend the lease.
        """
        left_ms = self._deadline_clock_ms - self._synced_clock_ms
        span_ms = max(0, left_ms) * (1 + timings.clock_drift * 1.1)
        return self._synced_ms + span_ms + _LAPSE_SLACK_MS

    def charge(self, run: Run) -> None:
        """
        Charge a run until its end is listed.
        """
        key = (run.task.key, run.attempt)
        if key not in self.runs:
            self.runs[key] = run
            self._add(run.task.step, 1)

    def release(self, run: Run) -> None:
        """
        Free the room of a run that has ended.
        """
        if self.runs.pop((run.task.key, run.attempt), None) is not None:
            self._add(run.task.step, -1)

    @property
    def spare_millis(self) -> int:
        """
        Return the processors that filling tasks can expect to share.
        """
        plain = self.reserved_millis - self.long_running_millis
        used = plain + int(self.long_running_millis * _LONG_RUNNING_USE)
        return self.entry.processor_millis - used - self.best_effort_millis

    def processor_share(self, millis: int) -> float:
        """
        Return processors as a part of all that the worker has.

        Nothing is known of the processors of a worker that was taken over
        from the previous owner and is not in the registry.
        """
        total = self.entry.processor_millis
        return millis / total if total else 0

    def fits(self, step: Step) -> bool:
        """
        Tell whether one more task of a step stays within the capacity.
        """
        plan, entry = step.plan, self.entry
        if self.memory_mb + plan.memory_mb > entry.memory_mb:
            return False
        accelerators = self.accelerator_count + plan.accelerator_count
        if accelerators > entry.accelerator_count:
            return False
        limit = plan.per_worker_limit
        if limit and self.step_counts.get(step.key, 0) >= limit:
            return False
        if plan.is_filling:
            return True
        reserved = self.reserved_millis + plan.processor_millis
        return reserved <= entry.processor_millis

    def long_running_runs(self) -> list[Run]:
        """
        Return the runs of lasting tasks.
        """
        if not self.long_running_count:
            return []
        return [
            run for run in self.runs.values() if run.task.step.plan.is_lasting
        ]

    def best_effort_runs(self) -> list[Run]:
        """
        Return the runs of filling tasks.
        """
        if not self.best_effort_count:
            return []
        return [
            run for run in self.runs.values() if run.task.step.plan.is_filling
        ]

    def _add(self, step: Step, sign: int) -> None:
        plan = step.plan
        self.memory_mb += sign * plan.memory_mb
        self.accelerator_count += sign * plan.accelerator_count
        count = self.step_counts.get(step.key, 0) + sign
        if count:
            self.step_counts[step.key] = count
        else:
            self.step_counts.pop(step.key, None)
        if plan.is_filling:
            self.best_effort_millis += sign * plan.processor_millis
            self.best_effort_count += sign
            return
        self.reserved_millis += sign * plan.processor_millis
        if plan.is_lasting:
            self.long_running_millis += sign * plan.processor_millis
            self.long_running_count += sign
