"""
The scheduling pass: starts tasks on workers and stops runs that must move.
"""

import functools
import itertools
from collections.abc import Generator, Iterable, Iterator, Mapping, Sequence

from hawthornpier.fleet._candidates import CandidatePool
from hawthornpier.fleet._crash_trials import CrashTrials
from hawthornpier.fleet._departures import Departures
from hawthornpier.fleet._evacuation import Evacuation
from hawthornpier.fleet._gangs import GangPlacement
from hawthornpier.fleet._ledger_audit import LedgerAudit
from hawthornpier.fleet._long_running_waits import LongRunningWaits
from hawthornpier.fleet._moves import Moves
from hawthornpier.fleet._ordering import rank_step
from hawthornpier.fleet._pass_queue import PassQueue
from hawthornpier.fleet._pass_slice import PassSlice
from hawthornpier.fleet._permits import STALE_ORDER_MS
from hawthornpier.fleet._placement import Placement, begin_search
from hawthornpier.fleet._run_monitor import RunMonitor
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._state_log import StateLog
from hawthornpier.fleet._timings import PlatformBounds, WorkerTimings
from hawthornpier.fleet._wait_log import WaitLog
from hawthornpier.fleet._withdrawals import send_waiting_starts
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import (
    Step,
    Task,
    is_crash_suspect,
    may_run_a_copy,
)

# A run counts as a straggler, and a speculative copy of it is started, once it
# has taken the expected run time multiplied by this factor plus the slack.
_COPY_FACTOR = 1.6
_COPY_SLACK_MS = 150.0
_NO_CANDIDATES = CandidatePool((), 0)


class Scheduler:
    """
    Places the tasks of a shard on workers and stops runs that must move.

    Args:
        shard: The state of the shard.
        bounds: Limits that the platform specifies.
        timings: Durations and limits of the owner's requests to workers.
    """

    def __init__(
        self,
        shard: Shard,
        *,
        bounds: PlatformBounds,
        timings: WorkerTimings,
    ) -> None:
        # Whether the last pass has left steps for want of time.
        self.is_cut = False
        self._shard = shard
        self._bounds = bounds
        self._timings = timings
        self._placement = Placement(shard.interference)
        self._trials = CrashTrials(shard, self._placement)
        self._gangs = GangPlacement(shard, self._placement, self._trials)
        self._moves = Moves(shard)
        self._departures = Departures(shard, self._placement, self._moves)
        self._run_monitor = RunMonitor(shard, timings)
        self._evacuation = Evacuation(shard, self._placement, self._moves)
        lease_ms = timings.lease_ms * (1 + timings.clock_drift)
        self._unlisted_span_ms = lease_ms + STALE_ORDER_MS
        self._long_running_waits = LongRunningWaits(shard, self._safe_to_start)
        self._audit = LedgerAudit(shard)
        self._wait_log = WaitLog(shard)
        self._slice = PassSlice(shard.clock)
        self._parts = (
            functools.partial(send_waiting_starts, shard),
            StateLog(shard, self._placement).run_pass,
            self._run_monitor.run_pass,
            self._departures.run_pass,
            self._trials.end_trials,
            self._moves.run_pass,
        )
        self._pools: Mapping[str, CandidatePool] = {}
        # The steps that the last passes have not reached.
        self._missed: Mapping[Step, int] = {}
        # Whether the step that was placed last has tasks left.
        self._is_unfinished = False

    def run_pass(self) -> None:
        """
        Order all starts and stops that are due now, in one go.
        """
        tuple(self.slices())

    def slices(self) -> Iterator[None]:
        """
        Order all starts and stops that are due now, in slices.

        It yields after each slice but the last one, so that other work of this
        process takes place.  Jobs, workers and permissions may change then, and
        are read anew.

        Does nothing once the shard is being released, or while it is not
        certain that this process still owns it.
        """
        self.is_cut = False
        self._slice.begin()
        self._long_running_waits.run_pass()
        self._audit.run_pass()
        if not self._may_schedule:
            return
        self._wait_log.begin_pass()
        self._pools = {}
        for part in self._parts:
            part()
            if not (yield from self._may_go_on()):
                return
        steps = self._ranked_steps()
        self._pools = self._candidate_pools() if steps else {}
        self._wait_log.observe_room(self._pools)
        if not (yield from self._may_go_on()):
            return
        yield from self._place_all(steps)
        if self._may_schedule:
            self._evacuation.run_pass(filter(self._is_current, steps))
            self._wait_log.end_pass(self._pools, steps)

    @property
    def _may_schedule(self) -> bool:
        return not self._shard.is_draining and self._shard.permits.may_start

    def _may_go_on(self) -> Generator[None, None, bool]:
        """
        End a slice that has used its time; return whether the pass goes on.
        """
        if not self._slice.is_used:
            return True
        yield
        self._slice.begin()
        if not self._may_schedule:
            return False
        now_ms = self._shard.now_ms
        self._pools = {
            service: pool.without_unusable(now_ms)
            for service, pool in self._pools.items()
            if self._shard.permits.may_start_on(service)
        }
        self._placement.begin_pass()
        return True

    def _place_all(self, steps: Iterable[Step]) -> Iterator[None]:
        now_ms = self._shard.now_ms
        queue = PassQueue(steps, self._missed, now_ms)
        self._placement.begin_pass()
        self._leave_what_cannot_be_sent(queue)
        while not queue.is_over(now_ms):
            step = queue.pop(now_ms)
            if self._is_current(step) and self._place_step(step, queue):
                queue.put_back(step)
            now_ms = self._shard.now_ms
            if self._slice.is_used and not queue.is_over(now_ms):
                if not (yield from self._may_go_on()):
                    return
                self._leave_what_cannot_be_sent(queue)
        self._missed = queue.missed()
        self.is_cut = queue.is_cut

    def _leave_what_cannot_be_sent(self, queue: PassQueue) -> None:
        if self._shard.start_gate.is_backlogged:
            queue.drop_others()

    def _is_current(self, step: Step) -> bool:
        job = step.job
        return not job.is_terminal and self._shard.is_active(job.plan.job_id)

    def _place_step(self, step: Step, queue: PassQueue) -> bool:
        """
        Start the waiting tasks of a step.

        Returns:
            Whether the step has tasks left for the next slice.
        """
        service = self._shard.service_of(step.job)
        pool = self._pools.get(service, _NO_CANDIDATES)
        self._is_unfinished = False
        if queue.cannot_fit(step, service):
            if step.plan.is_lasting and step.waiting():
                _mark_unplaced(step, self._shard.now_ms)
            self._wait_log.refuse(step)
        elif not self._place(step, pool):
            queue.add_failed(step, service)
            self._wait_log.refuse(step)
        if step.plan.may_run_copies:
            self._place_copies(step, pool)
        return self._is_unfinished

    def _safe_to_start(self, tasks: list[Task]) -> list[Task]:
        """
        Return the tasks of a step that may be started without a duplicate run.

        After a change of the owner, workers that have not listed their runs
        yet may still be running tasks of jobs from an earlier epoch.
        """
        shard = self._shard
        if not tasks or not shard.unlisted_tasks:
            return tasks
        step = tasks[0].step
        if step.plan.may_run_copies:
            return tasks
        if not shard.is_recent_owner(self._unlisted_span_ms):
            shard.forget_lapsed_workers()
        if not step.job.is_from_earlier_epoch:
            return tasks
        maybe_running: set[str] = set()
        for keys in shard.unlisted_tasks.values():
            if keys is None:
                return []
            maybe_running.update(keys)
        return [task for task in tasks if task.key not in maybe_running]

    def _candidate_pools(self) -> dict[str, CandidatePool]:
        pools: dict[str, list[WorkerState]] = {}
        for worker in self._shard.workers.values():
            if worker.is_usable:
                pools.setdefault(worker.entry.service, []).append(worker)
        now_ms = self._shard.now_ms
        return {
            service: CandidatePool(pool, now_ms)
            for service, pool in pools.items()
            if self._shard.permits.may_start_on(service)
        }

    def _ranked_steps(self) -> list[Step]:
        shard = self._shard
        now_ms = shard.now_ms
        shard.considered_ms = now_ms
        wall_ms = shard.clock.wall_ms() + self._bounds.early_ms / 4
        due = []
        occurrences = itertools.chain.from_iterable(
            job.occurrences for job in shard.active_jobs()
        )
        for occurrence in occurrences:
            for step in occurrence.due_steps(wall_ms):
                step.considered_ms = now_ms
                if step.ready_ms is None:
                    step.ready_ms = now_ms
                if _may_start_runs(step):
                    due.append(step)
        due.sort(
            key=lambda due_step: rank_step(
                due_step,
                shard.durations,
                now_ms,
            ),
        )
        return due

    def _place(self, step: Step, pool: CandidatePool) -> bool:
        """
        Start the waiting tasks of a step.

        Returns:
            Whether no task was held back for lack of a suitable worker.
        """
        waiting = step.waiting()
        if not waiting:
            return True
        ready = self._safe_to_start(waiting)
        if step.plan.is_gang:
            is_whole = len(ready) == len(waiting)
            return self._gangs.place(step, pool.workers) if is_whole else True
        suspects = [task for task in ready if is_crash_suspect(task)]
        for suspect in suspects:
            self._trials.start(suspect, pool.workers)
        if suspects:
            ready = [task for task in ready if task not in suspects]
        return self._place_plainly(step, ready, pool)

    def _place_plainly(
        self,
        step: Step,
        ready: Sequence[Task],
        pool: CandidatePool,
    ) -> bool:
        if not ready:
            return True
        now_ms = self._shard.now_ms
        workers = pool.with_room(
            step, changed_since_ms=begin_search(step, now_ms)
        )
        ranking = self._placement.ranking(step, workers, now_ms)
        for number, task in enumerate(ready):
            if number and self._slice.is_used:
                self._is_unfinished = True
                return True
            worker = ranking.choose(task)
            if worker is None:
                step.searched_ms = pool.made_ms
                _mark_unplaced(step, now_ms)
                return False
            self._shard.start_run(task, worker, reason='turn')
        step.searched_ms = None
        step.unplaced_since_ms = None
        return True

    def _place_copies(self, step: Step, pool: CandidatePool) -> None:
        shard = self._shard
        now_ms = shard.now_ms
        limit_ms = shard.durations.expected_ms(step) * _COPY_FACTOR
        for task in step.tasks:
            if task.is_done or len(task.runs) != 1 or not may_run_a_copy(task):
                continue
            run = task.runs[0]
            if now_ms - run.started_ms < limit_ms + _COPY_SLACK_MS:
                continue
            worker = self._placement.choose(
                task,
                pool.with_room(step),
                now_ms,
                excluded=run.worker_id,
            )
            if worker is not None:
                shard.start_run(
                    task, worker, reason='speculative copy of a straggler'
                )


def _mark_unplaced(step: Step, now_ms: float) -> None:
    if step.unplaced_since_ms is None:
        step.unplaced_since_ms = now_ms


def _may_start_runs(step: Step) -> bool:
    return step.plan.may_run_copies or step.waiting_count > 0
