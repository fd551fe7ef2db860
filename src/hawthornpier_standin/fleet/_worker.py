"""
Simulates a worker whose runs need a lease and progress by a given clock.
"""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable
from typing import Any

from hawthornpier.fleet import (
    LISTED_ENDS_MAX,
    EndedRun,
    OrderReply,
    Renewal,
    RunningRun,
    StartOrder,
    Verdict,
    WorkerEntry,
    WorkerListing,
)
from hawthornpier.ports import Clock
from hawthornpier.steps import RunOutcome
from hawthornpier_standin.fleet._worker_model import (
    TaskModel,
    WorkerFault,
    WrongReplies,
)

TICK_MS = 10.0
_STOP_MS = 40.0
# A longer lease is shortened to this.
_LEASE_MAX_MS = 6_000
_LONG_RUNNING_STARTUP_MS = 300.0


class _Run:
    """
    A run that has not ended.
    """

    def __init__(self, order: StartOrder, model: TaskModel) -> None:
        self.order = order
        self.model = model
        self.progress_ms: float = 0
        self.speed_percent = 100
        self.stopping_ms: float | None = None

    @property
    def percent(self) -> int:
        """
        Return the progress in percent.

        A long-running task is at 100 when it has started up.
        """
        whole_ms = self.model.work_ms
        if self.model.is_lasting:
            whole_ms = _LONG_RUNNING_STARTUP_MS
        return min(100, int(self.progress_ms * 100 / whole_ms))


class StandinFleetWorker:
    """
    Simulates one worker through all of its incarnations.

    Args:
        entry: Registry entry of the first incarnation.
        clock: Time source.
        model_of: Returns the simulated behaviour of a task, given its key.
        on_run_event: Called with the name of an event, the task key, the
            attempt and the worker id.  The event is ``started``, the outcome
            of a run that ended, or ``noted`` if the owner has acknowledged the
            end; ``noted_late`` if the worker's lease lapsed in between.  For
            these, the last argument is the outcome instead of the worker id.
        on_crash: Called when a task has crashed the worker.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        clock: Clock,
        *,
        model_of: Callable[[str], TaskModel],
        on_run_event: Callable[[str, str, int, str], None],
        on_crash: Callable[['StandinFleetWorker'], None] | None = None,
    ) -> None:
        self.entry = entry
        self.fault = WorkerFault.NONE
        self.interfering_images: set[tuple[str, str]] = set()
        self.late_delay_ms = 2_000.0
        # Whether starts that exceed the capacity are rejected.
        self.checks_capacity = True
        self.renewal_count = 0
        self.wrong_replies = WrongReplies()
        self._clock = clock
        self._model_of = model_of
        self._on_run = on_run_event
        self._on_crash = on_crash
        self._late: set[asyncio.Task[None]] = set()
        self.is_up = True
        # While the worker is down, whether its host refuses connections at
        # once instead of not responding.
        self.is_refusing = False
        self.fencing_token = 0
        self.deadline_ms = 0
        self.runs: dict[tuple[str, int], _Run] = {}
        self.ended_runs: list[EndedRun] = []
        self.highest_attempts: dict[str, int] = {}
        self._numbers = itertools.count(1)
        # The last ended run that had not been acknowledged when the lease
        # lapsed.
        self._lapsed_number = 0
        self._origin_ms = clock.monotonic_ms()

    async def run(self) -> None:
        """
        Advance the runs until the task is cancelled.
        """
        while True:
            await self._clock.sleep_ms(TICK_MS)
            if self.is_up:
                self._tick()

    def crash(self) -> None:
        """
        Lose all runs and become unreachable.
        """
        for run in list(self.runs.values()):
            self._on_run(
                'crashed',
                run.order.task_key,
                run.order.attempt,
                self.entry.worker_id,
            )
        self.runs.clear()
        self.is_up = False

    def crash_and_refuse(self) -> None:
        """
        Crash; the host refuses connections until the worker starts again.
        """
        self.crash()
        self.is_refusing = True
        if self._on_crash is not None:
            self._on_crash(self)

    def restart(self, worker_id: str = '', **changes: Any) -> None:
        """
        Start a new incarnation without any state.

        Args:
            worker_id: Its id; by default, that of the previous incarnation.
            changes: Other fields of its entry that change.
        """
        self.entry = dataclasses.replace(
            self.entry,
            worker_id=worker_id or self.entry.worker_id,
            **{'incarnation_ms': self._clock.wall_ms() + 1, **changes},
        )
        self.is_up = True
        self.is_refusing = False
        self.fencing_token = 0
        self.deadline_ms = 0
        self.ended_runs.clear()
        self.highest_attempts.clear()
        self._numbers = itertools.count(1)
        self._lapsed_number = 0
        self._origin_ms = self._clock.monotonic_ms()

    @property
    def clock_ms(self) -> int:
        """
        Return the time since this incarnation started.
        """
        return int(self._clock.monotonic_ms() - self._origin_ms)

    def renew(self, renewal: Renewal) -> WorkerListing | Verdict:
        """
        Renew the lease and drop the acknowledged ended runs.
        """
        self.renewal_count += 1
        if renewal.fencing_token < self.fencing_token:
            return Verdict.FENCED
        self.fencing_token = renewal.fencing_token
        if renewal.deadline_clock_ms is not None:
            self._extend(renewal.deadline_clock_ms)
        acknowledged = renewal.acknowledged_number
        while self.ended_runs and self.ended_runs[0].number <= acknowledged:
            end = self.ended_runs.pop(0)
            is_late = end.number <= self._lapsed_number
            what = 'noted_late' if is_late else 'noted'
            self._on_run(what, end.task_key, end.attempt, end.kind)
        return self.listing()

    def listing(self) -> WorkerListing:
        """
        Return the running and the ended runs.
        """
        return WorkerListing(
            incarnation_ms=self.entry.incarnation_ms,
            clock_ms=self.clock_ms,
            running=tuple(self._row(run) for run in self.runs.values()),
            ended=tuple(self.ended_runs[:LISTED_ENDS_MAX]),
            has_more_ended=len(self.ended_runs) >= LISTED_ENDS_MAX,
        )

    def start(self, order: StartOrder) -> OrderReply:
        """
        Start a run, unless it is running already or has to be rejected.
        """
        wrong_verdict = self.wrong_replies.next_to_start()
        if wrong_verdict is not None:
            return OrderReply(verdict=wrong_verdict)
        verdict = self._check_start(order)
        key = (order.task_key, order.attempt)
        if verdict is Verdict.ACCEPTED and key not in self.runs:
            self.runs[key] = _Run(order, self._model_of(order.task_key))
            self.highest_attempts[order.task_key] = order.attempt
            self._extend(order.deadline_clock_ms)
            self._on_run('started', *key, self.entry.worker_id)
        return OrderReply(verdict=verdict, clock_ms=self.clock_ms)

    def start_late(self, order: StartOrder) -> None:
        """
        Start a run after `late_delay_ms`, when the owner has given up.
        """
        late = asyncio.ensure_future(
            self._start_late(order, self.entry.worker_id)
        )
        self._late.add(late)
        late.add_done_callback(self._late.discard)

    def stop(
        self, task_key: str, attempt: int, fencing_token: int
    ) -> OrderReply:
        """
        Stop a run, and prevent this and lower attempts from starting.
        """
        if fencing_token < self.fencing_token:
            return OrderReply(verdict=Verdict.FENCED, clock_ms=self.clock_ms)
        self.fencing_token = fencing_token
        self.highest_attempts[task_key] = max(
            self.highest_attempts.get(task_key, 0), attempt
        )
        run = self.runs.get((task_key, attempt))
        if run is not None and run.stopping_ms is None:
            run.stopping_ms = _STOP_MS
        return OrderReply(verdict=Verdict.ACCEPTED, clock_ms=self.clock_ms)

    def pace(
        self,
        task_key: str,
        attempt: int,
        percent: int,
        fencing_token: int,
    ) -> OrderReply:
        """
        Throttle a run to a percentage of its full speed.
        """
        run = self.runs.get((task_key, attempt))
        if fencing_token < self.fencing_token or run is None:
            return OrderReply(verdict=Verdict.FENCED, clock_ms=self.clock_ms)
        run.speed_percent = percent
        return OrderReply(verdict=Verdict.ACCEPTED, clock_ms=self.clock_ms)

    async def _start_late(self, order: StartOrder, worker_id: str) -> None:
        # A start request names the worker but not its incarnation, so it takes
        # effect even if the worker restarts under its id in the meantime.
        await self._clock.sleep_ms(self.late_delay_ms)
        if self.is_up and self.entry.worker_id == worker_id:
            self.start(order)

    def _extend(self, deadline_clock_ms: int) -> None:
        longest_ms = self.clock_ms + _LEASE_MAX_MS
        self.deadline_ms = max(
            self.deadline_ms, min(deadline_clock_ms, longest_ms)
        )

    def _check_start(self, order: StartOrder) -> Verdict:
        key = (order.task_key, order.attempt)
        checks = (
            (Verdict.FENCED, order.fencing_token < self.fencing_token),
            (Verdict.ACCEPTED, key in self.runs),
            (Verdict.TOO_LATE, order.deadline_clock_ms <= self.clock_ms),
            (
                Verdict.OUTDATED,
                order.attempt <= self.highest_attempts.get(order.task_key, 0),
            ),
            (Verdict.NO_CAPACITY, not self._fits(order)),
        )
        self.fencing_token = max(self.fencing_token, order.fencing_token)
        return next(
            (verdict for verdict, holds in checks if holds),
            Verdict.ACCEPTED,
        )

    def _fits(self, order: StartOrder) -> bool:
        model = self._model_of(order.task_key)
        if model.is_filling or not self.checks_capacity:
            return True
        used = sum(
            run.model.processor_millis
            for run in self.runs.values()
            if not run.model.is_filling
        )
        return used + model.processor_millis <= self.entry.processor_millis

    def _tick(self) -> None:
        is_expired = self._has_lease_lapsed()
        for key, run in list(self.runs.items()):
            if is_expired:
                self._end(key, RunOutcome.LAPSED)
            elif run.stopping_ms is not None:
                run.stopping_ms -= TICK_MS
                if run.stopping_ms <= 0:
                    self._end(key, RunOutcome.STOPPED)
            elif self.fault is not WorkerFault.STALLED:
                self._work(key, run)

    def _has_lease_lapsed(self) -> bool:
        is_expired = self.clock_ms > self.deadline_ms
        if is_expired and self.ended_runs:
            self._lapsed_number = self.ended_runs[-1].number
        return is_expired

    def _work(self, key: tuple[str, int], run: _Run) -> None:
        if key not in self.runs:
            # Another run has just crashed the worker.
            return
        run.progress_ms += TICK_MS * run.speed_percent / 100
        if run.progress_ms < run.model.work_ms:
            return
        if run.model.crashes_worker:
            self.crash_and_refuse()
            return
        if run.model.is_lasting:
            return
        is_bad = run.model.fails or self.fault is WorkerFault.FAIL_ALL
        self._end(key, RunOutcome.FAILED if is_bad else RunOutcome.DONE)

    def _end(self, key: tuple[str, int], kind: RunOutcome) -> None:
        self.runs.pop(key)
        end = EndedRun(
            number=next(self._numbers),
            task_key=key[0],
            attempt=key[1],
            kind=kind,
            checkpoint='',
        )
        self.ended_runs.append(end)
        self._on_run(kind.value, *key, self.entry.worker_id)

    def _row(self, run: _Run) -> RunningRun:
        usage = run.model.processor_millis * run.speed_percent // 100
        # A long-running task reports its tail latency as its usage.
        if run.model.is_lasting:
            usage = run.model.tail_ms
            if any(
                self._interferes(run, other) for other in self.runs.values()
            ):
                usage *= 20
        return RunningRun(
            task_key=run.order.task_key,
            attempt=run.order.attempt,
            checkpoint='',
            percent=run.percent,
            usage=usage,
        )

    def _interferes(self, run: _Run, other: _Run) -> bool:
        pair = (run.model.image, other.model.image)
        return (
            other.model.is_filling
            and other.speed_percent > 0
            and (pair in self.interfering_images)
        )
