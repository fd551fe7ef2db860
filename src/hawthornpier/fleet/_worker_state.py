"""
The state of one worker, as the owner of its shard holds it in memory.
"""

import asyncio
import math
from collections.abc import Callable, Iterable

from hawthornpier.fleet._entry_age import EntryAge
from hawthornpier.fleet._health import WorkerHealth
from hawthornpier.fleet._listed_load import ListedLoad, RunKey
from hawthornpier.fleet._orders import Order
from hawthornpier.fleet._ports import (
    LISTED_ENDS_MAX,
    EndedRun,
    Verdict,
    WorkerEntry,
)
from hawthornpier.fleet._timings import WorkerTimings
from hawthornpier.fleet._worker_clock import ClockCheck, WorkerClock
from hawthornpier.fleet._worker_load import WorkerLoad
from hawthornpier.steps import Run, Task


class WorkerState(WorkerLoad):
    """
    Load, lease and health of a worker.

    The object persists when the worker restarts as a new incarnation.
    """

    def __init__(self, entry: WorkerEntry) -> None:
        super().__init__(entry)
        # Whether this incarnation has accepted the owner's epoch and replied
        # with a listing, and its lease has not expired since.
        self.is_reached = False
        # Whether it has listed everything since then, also the ends that do
        # not fit into one listing.
        self.is_listed = False
        # Of its known incarnation, the last part of the fencing token.
        self.token_number = 0
        # Runs that have ended according to its last listing, which lacks them.
        # The next listing has to confirm that.
        self.unlisted_runs: set[RunKey] = set()
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
        # Whether the first of these showed that its host had ended the
        # connection, or that another incarnation replied, soon after the last
        # response.  If it has crashed, it ran until then what it had listed; a
        # worker that was silent at first may have completed that before.
        self.was_in_touch_at_end = False
        # Whether another incarnation has replied since, and what the last such
        # reply said: its start, or that another worker is there.
        self.is_superseded = False
        self._other_identity: int | Verdict | None = None
        self.entry_age = EntryAge()
        # The load by the last listing of this incarnation.
        self.listed_load: ListedLoad | None = None
        self.clock = WorkerClock()
        self._deadline_clock_ms = 0
        # When a wrong clock was corrected, whose leases may last longer.
        self._corrected_ms = -math.inf
        # When the lease ends, by the owner's monotonic clock, that a start has
        # granted which this incarnation may have accepted from before; 0 if
        # there is none.
        self.early_lease_end_ms: float = 0
        # Ended runs up to these numbers are applied to the owner's state, and
        # durable so that they may be acknowledged.
        self.processed_number = 0
        self.acknowledged_number = 0
        # A number far beyond these, which the next listing has to confirm.
        self._doubtful_number = 0
        # The highest number that the worker knows to be acknowledged.
        self._confirmed_number = 0
        # Whether it may have restarted since its last listing, because a reply
        # to a start was lost.  The next incarnation numbers ended runs anew.
        self.may_have_restarted = False
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
        self.is_superseded = False
        self._other_identity = None
        self.processed_number = 0
        self.acknowledged_number = 0
        self._doubtful_number = 0
        self._confirmed_number = 0
        self.has_deferred_ends = False
        self.may_have_restarted = False
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
        self.unlisted_runs = set()
        self.listed_end_count = 0
        self.listed_load = None

    def confirms_other(self, identity: int | Verdict) -> bool:
        """
        Return whether two replies in a row were of the same other incarnation.

        A single one may be wrong, and must not end the runs.

        Args:
            identity: When the one that has replied started, or the verdict if
                it is another worker.
        """
        is_confirmed = self._other_identity == identity
        self._other_identity = identity
        return is_confirmed

    def suspect(self, tasks: Iterable[Task], now_ms: float) -> None:
        """
        Record tasks that may have crashed the worker, which does not respond.
        """
        self.suspected_tasks.extend(tasks)
        self.suspected_ms = now_ms

    def synchronize(self, clock_ms: int, sent_ms: float, now_ms: float) -> bool:
        """
        Record a response and the worker's clock in it.

        Returns:
            Whether the clock is plausible.
        """
        self.last_reply_ms = now_ms
        self.missed_reply_count = 0
        self.is_superseded = False
        self._other_identity = None
        check = self.clock.synchronize(clock_ms, sent_ms, now_ms)
        if check is ClockCheck.CORRECTED:
            # Leases were granted by the wrong clock.
            self._deadline_clock_ms = 0
            self._corrected_ms = now_ms
        return check is not ClockCheck.IMPLAUSIBLE

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

    def is_processed(self, row: EndedRun) -> bool:
        """
        Return whether an ended run is applied to the owner's state.
        """
        is_covered = row.number <= self.processed_number
        return is_covered and (row.task_key, row.attempt) not in self.runs

    def continue_numbers(self, row: EndedRun) -> None:
        """
        Continue the numbers of ended runs from one that is not processed.

        If it is lower than the last one, the worker has listed a wrong one.
        """
        if row.number <= self.processed_number:
            self.processed_number = row.number - 1
            self.acknowledged_number = row.number - 1
            self._confirmed_number = row.number - 1

    def may_acknowledge(self, number: int) -> bool:
        """
        Return whether the number of an ended run may be acknowledged.

        A wrong one would acknowledge ends that the owner has not seen.  One
        that is further from the last than a listing is long must be listed
        again.
        """
        if number - self.processed_number <= LISTED_ENDS_MAX:
            return True
        is_confirmed = number == self._doubtful_number
        self._doubtful_number = number
        return is_confirmed

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

    def assume_lease(self, now_ms: float, lease_max_ms: float) -> None:
        """
        Count with the longest lease that the previous owner may have granted.

        Its orders are rejected once the worker has listed its runs to this
        owner, so that no later lease is possible.  Has no effect if this owner
        has granted one already, unless by a wrong clock of the worker.

        Args:
            now_ms: When the worker has listed its runs.
            lease_max_ms: The platform's limit for leases.
        """
        if not self._deadline_clock_ms:
            clock_ms = self.clock.estimate_ms(now_ms)
            self._deadline_clock_ms = int(clock_ms + lease_max_ms)

    def renewal_wait_ms(self, timings: WorkerTimings) -> int:
        """
        Return how long the worker may wait for an end before it lists its runs.
        """
        if not self.is_listed or self.missed_reply_count:
            return 0
        if self.processed_number > self.acknowledged_number:
            return 0
        if self.unlisted_runs:
            return 0
        if self.long_running_count and self.best_effort_count:
            return timings.colocated_wait_ms
        return timings.renewal_wait_ms if self.runs else timings.idle_wait_ms

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
        if not self._deadline_clock_ms:
            longest_ms = timings.lease_max_ms * (1 + timings.clock_drift)
            expiry_ms = max(expiry_ms, self._corrected_ms + longest_ms)
        return max(expiry_ms, self.early_lease_end_ms)


# Called with a worker that replies as another incarnation than the known one,
# and the Unix time in ms at which that started, each time.
IncarnationObserver = Callable[[WorkerState, int], bool]
