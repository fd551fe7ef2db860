"""
The state of one worker, as the owner of its shard holds it in memory.
"""

import asyncio
from collections.abc import Iterable

from hawthornpier.fleet._health import WorkerHealth
from hawthornpier.fleet._orders import Order
from hawthornpier.fleet._ports import WorkerEntry
from hawthornpier.fleet._timings import WorkerTimings
from hawthornpier.fleet._worker_clock import WorkerClock
from hawthornpier.steps import Run, Step, Task

RunKey = tuple[str, int]

# A long-running task serves changing load; on average it uses this fraction of
# its reserved processors and leaves the rest to best-effort tasks.
_LONG_RUNNING_USE = 0.45


class WorkerState:
    """
    Allocated resources, runs, lease and health of a worker.

    The object persists when the worker restarts as a new incarnation.
    """

    def __init__(self, entry: WorkerEntry) -> None:
        self.entry = entry
        self.runs: dict[RunKey, Run] = {}
        # Processors in thousandths of a core: reserved by all but best-effort
        # tasks, requested by best-effort tasks, and the part of the reserved
        # ones that long-running tasks have.
        self.reserved_millis = 0
        self.best_effort_millis = 0
        self.long_running_millis = 0
        self.long_running_count = 0
        self.best_effort_count = 0
        self.memory_mb = 0
        self.accelerator_count = 0
        # Whether this incarnation has accepted the owner's epoch and replied
        # with a listing, and its lease has not expired since.
        self.is_reached = False
        # Whether it has listed everything since then, also the ends that do
        # not fit into one listing.
        self.is_listed = False
        # The number of ended runs in its last listing.
        self.listed_end_count = 0
        # Whether the registry has had an entry of it.  The capacity of a worker
        # that only the previous owner's list names is not known, and it may be
        # leaving.
        self.has_entry = True
        # Whether its entry has been missing from the registry for some time.
        self.is_deregistered = False
        # Whether it is in the stored list of workers, from which the next
        # owner learns which workers may have runs.
        self.is_recorded = False
        # When the worker last responded, by the owner's monotonic clock.
        self.last_reply_ms: float = 0
        # Until when it was alive by the heartbeats in the registry, by the same
        # clock.
        self.heartbeat_ms: float = 0
        # Requests since the last response that got none.
        self.missed_reply_count = 0
        self.clock = WorkerClock()
        self._deadline_clock_ms = 0
        # When the lease ends, by the owner's monotonic clock, that a start has
        # granted which this incarnation may have accepted from before; 0 if
        # there is none.
        self.early_lease_end_ms: float = 0
        # Ended runs up to these numbers are applied to the owner's state, and
        # durable so that they may be acknowledged.
        self.processed_number = 0
        self.acknowledged_number = 0
        # The highest number that the worker knows to be acknowledged.
        self._confirmed_number = 0
        # Whether its last listing has ended runs that cannot be applied yet.
        self.has_deferred_ends = False
        self.health = WorkerHealth()
        # Since when a long-running task has exceeded its latency target; 0 if
        # none does.
        self.over_target_since_ms: float = 0
        # The best-effort image for which long-running tasks that it harms are
        # moved away from this worker.
        self.evacuated_for_image = ''
        self.evacuated_until_ms: float = 0
        # No start is sent before this time, because the worker rejected one
        # for lack of resources.
        self.refused_until_ms: float = 0
        # Until then no start is queued behind other orders, because the worker
        # did not reply to one.
        self.unanswered_until_ms: float = 0
        self.orders: asyncio.Queue[Order] = asyncio.Queue()
        # Set when processed ended runs have become durable.
        self.acknowledged = asyncio.Event()
        # When its load or its usage last changed, by the owner's monotonic
        # clock.
        self.changed_ms: float = 0
        # The same runs by kind of task.
        self._best_effort_runs: dict[RunKey, Run] = {}
        self._long_running_runs: dict[RunKey, Run] = {}
        self._plain_runs: dict[RunKey, Run] = {}
        # The number of long-running tasks by image, with those to be started.
        self._image_counts: dict[str, int] = {}
        # The number of runs of each step, by step key.
        self.step_counts: dict[str, int] = {}
        # A run of a task that may crash the worker.  No other run is started
        # until it is known whether it does.
        self.trial_run: Run | None = None
        # Whether this incarnation is known to have ended.
        self.has_crashed = False
        # While it is unknown whether it has: the tasks of its runs that may
        # have caused it, and since when they are suspected.
        self.suspected_tasks: list[Task] = []
        self.suspected_ms: float = 0

    @property
    def worker_id(self) -> str:
        """
        Return the id, which all incarnations of the worker share.
        """
        return self.entry.worker_id

    @property
    def is_usable(self) -> bool:
        """
        Return whether runs may be started on the worker.
        """
        return (
            self.is_listed
            and self.is_recorded
            and not self.is_unresponsive
            and not self.is_leaving
        )

    @property
    def alive_ms(self) -> float:
        """
        Return until when the worker is known to have been alive.
        """
        return max(self.last_reply_ms, self.heartbeat_ms)

    @property
    def is_unresponsive(self) -> bool:
        """
        Return whether the last request to the worker got no response.
        """
        return self.missed_reply_count > 0

    @property
    def is_leaving(self) -> bool:
        """
        Return whether the worker is draining or missing from the registry.
        """
        is_missing = self.is_deregistered or not self.has_entry
        return is_missing or self.entry.is_draining

    def begin_incarnation(self, entry: WorkerEntry) -> list[Run]:
        """
        Reset the state for a new incarnation of the worker.

        Returns:
            The runs that were still allocated on the previous incarnation.
        """
        lost = list(self.runs.values())
        for run in lost:
            self.release(run)
            run.start_deadline_clock_ms = 0
        self.entry = entry
        self.expect_listing()
        self.missed_reply_count = 0
        self.processed_number = 0
        self.acknowledged_number = 0
        self._confirmed_number = 0
        self.has_deferred_ends = False
        self._deadline_clock_ms = 0
        self.clock.begin_incarnation()
        self.health.reset()
        self.trial_run = None
        self.has_crashed = False
        self.orders = asyncio.Queue()
        return lost

    def expect_listing(self) -> None:
        """
        Record that it is unknown what runs on the worker until it lists that.
        """
        self.is_reached = False
        self.is_listed = False
        self.listed_end_count = 0

    def suspect(self, tasks: Iterable[Task], now_ms: float) -> None:
        """
        Record tasks that may have crashed the worker, which does not respond.
        """
        self.suspected_tasks.extend(tasks)
        self.suspected_ms = now_ms

    def synchronize(self, clock_ms: int, now_ms: float) -> None:
        """
        Record a response and the worker's clock in it.
        """
        self.last_reply_ms = now_ms
        self.missed_reply_count = 0
        self.clock.synchronize(clock_ms, now_ms)

    def next_acknowledgement(self) -> int:
        """
        Return the last ended run to acknowledge, or 0 if none is new.

        An acknowledgement is not repeated once the worker has replied to it.
        Its next incarnation numbers ended runs anew, and may receive requests
        before the owner knows of it.
        """
        if self.acknowledged_number > self._confirmed_number:
            return self.acknowledged_number
        return 0

    def confirm_acknowledgement(self, number: int) -> None:
        """
        Record that the worker has replied to an acknowledgement.
        """
        self._confirmed_number = max(self._confirmed_number, number)

    def next_deadline(self, lease_ms: float, now_ms: float) -> int:
        """
        Return the end of a lease that starts now, on the worker's clock.

        The latest deadline returned determines `lease_expiry_ms`.
        """
        deadline = int(self.clock.estimate_ms(now_ms) + lease_ms)
        self._deadline_clock_ms = max(self._deadline_clock_ms, deadline)
        return deadline

    def start_deadline(self, run: Run, lease_ms: float, now_ms: float) -> int:
        """
        Return until when a start may be executed, on the worker's clock.

        Repeating a start that may have been executed does not postpone this, so
        that the time by which the run has ended or started stays known.
        """
        if not run.sent_ms:
            run.start_deadline_clock_ms = self.next_deadline(lease_ms, now_ms)
        return run.start_deadline_clock_ms

    def assume_lease(self, clock_ms: int, lease_max_ms: float) -> None:
        """
        Count with the longest lease that the previous owner may have granted.

        Its orders are rejected once the worker has listed its runs to this
        owner, so that no later lease is possible.  Has no effect if this owner
        has granted one already.

        Args:
            clock_ms: The worker's clock when it listed its runs.
            lease_max_ms: The platform's limit for leases.
        """
        if not self._deadline_clock_ms:
            self._deadline_clock_ms = int(clock_ms + lease_max_ms)

    def lease_expiry_ms(self, timings: WorkerTimings) -> float:
        """
        Return the local time by which all runs on the worker have ended.

        The worker ends its runs when its lease expires.  Orders carry an
        absolute deadline, so that one that the worker carries out late cannot
        extend the lease further.
        """
        expiry_ms = self.clock.latest_ms(
            self._deadline_clock_ms,
            timings.clock_drift,
        )
        return max(expiry_ms, self.early_lease_end_ms)

    def charge(self, run: Run) -> None:
        """
        Allocate resources to a run until it is known to have ended.
        """
        key = (run.task.key, run.attempt)
        if key not in self.runs:
            self.runs[key] = run
            self._runs_of_kind(run)[key] = run
            self._add(run.task.step, 1)

    def release(self, run: Run) -> None:
        """
        Free the resources of a run that has ended.
        """
        key = (run.task.key, run.attempt)
        if self.runs.pop(key, None) is not None:
            self._runs_of_kind(run).pop(key, None)
            self._add(run.task.step, -1)

    def reserve(self, step: Step) -> None:
        """
        Allocate resources for a task of a step that is not started yet.
        """
        self._add(step, 1)

    def cancel_reservation(self, step: Step) -> None:
        """
        Free the resources that `reserve` has allocated.
        """
        self._add(step, -1)

    @property
    def free_millis(self) -> int:
        """
        Return the processors that are not reserved, in thousandths of a core.
        """
        return self.entry.processor_millis - self.reserved_millis

    @property
    def spare_millis(self) -> int:
        """
        Return the processors that are free for more best-effort tasks.

        They are an estimate in thousandths of a core, and may be negative.
        """
        plain = self.reserved_millis - self.long_running_millis
        used = plain + int(self.long_running_millis * _LONG_RUNNING_USE)
        return self.entry.processor_millis - used - self.best_effort_millis

    def processor_share(self, millis: int) -> float:
        """
        Return processors as a fraction of the worker's capacity.

        The result is 0 if the capacity is unknown, which is so for a worker
        that is known only from the previous owner's list of workers and is not
        in the registry.
        """
        total = self.entry.processor_millis
        return millis / total if total else 0

    def fits(self, step: Step) -> bool:
        """
        Return whether the worker has the resources for one more task of a step.
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
        return plan.processor_millis <= self.free_millis

    def is_overcommitted(self, step: Step) -> bool:
        """
        Return whether the runs exceed a resource that a step's tasks need.

        They may if the capacity has shrunk since they were placed.
        """
        entry = self.entry
        if self.memory_mb > entry.memory_mb:
            return True
        if self.accelerator_count > entry.accelerator_count:
            return True
        return (
            not step.plan.is_filling
            and self.reserved_millis > entry.processor_millis
        )

    def long_running_runs(self) -> list[Run]:
        """
        Return the runs of long-running tasks.
        """
        return list(self._long_running_runs.values())

    def long_running_images(self) -> set[str]:
        """
        Return the images of long-running tasks that run or will be started.
        """
        return set(self._image_counts)

    def best_effort_runs(self) -> list[Run]:
        """
        Return the runs of best-effort tasks.
        """
        return list(self._best_effort_runs.values())

    def _runs_of_kind(self, run: Run) -> dict[RunKey, Run]:
        plan = run.task.step.plan
        if plan.is_filling:
            return self._best_effort_runs
        return self._long_running_runs if plan.is_lasting else self._plain_runs

    def _add(self, step: Step, sign: int) -> None:
        plan = step.plan
        self.memory_mb += sign * plan.memory_mb
        self.accelerator_count += sign * plan.accelerator_count
        _change_count(self.step_counts, step.key, sign)
        if plan.is_filling:
            self.best_effort_millis += sign * plan.processor_millis
            self.best_effort_count += sign
            return
        self.reserved_millis += sign * plan.processor_millis
        if plan.is_lasting:
            self.long_running_millis += sign * plan.processor_millis
            self.long_running_count += sign
            _change_count(self._image_counts, plan.image, sign)


def _change_count(counts: dict[str, int], key: str, change: int) -> None:
    count = counts.get(key, 0) + change
    if count:
        counts[key] = count
    else:
        counts.pop(key, None)
