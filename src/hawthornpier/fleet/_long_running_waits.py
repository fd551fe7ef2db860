"""
Observation of long-running tasks that have no run although there is room.
"""

import collections
import enum
import itertools
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from hawthornpier.fleet._listed_room import (
    ListedRoom,
    describe_hidden_room,
    is_staying,
    listed_free_millis,
)
from hawthornpier.fleet._long_running_room import LongRunningRoom
from hawthornpier.fleet._observation_pace import ObservationPace
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Run, RunPhase, Step, Task, is_crash_suspect

_CHECK_INTERVAL_MS = 500.0
_LOG_INTERVAL_MS = 1_000.0
# A wait beside room that is longer is logged by itself.
_LONG_WAIT_MS = 3_000.0
# Waits and reasons that a line names at most.
_NAMED_COUNT = 5
# A run that is confirmed but not ready after this time counts as waiting.
_STARTUP_MS = 4_000.0
# The progress of a long-running task that is ready.
_READY_PERCENT = 100
# So does one whose worker has not replied for this long.
_SILENCE_MS = 1_500.0

SafeToStart = Callable[[list[Task]], list[Task]]


class WaitReason(enum.StrEnum):
    """
    Why a long-running task has no run that is at work.
    """

    OWNER_LEAVING = 'owner hands the shard over'
    NO_PERMIT = 'owner may not start runs'
    SERVICE_NOT_PERMITTED = 'owner may not start runs on the service'
    START_QUEUED = 'start is queued'
    START_UNANSWERED = 'start has no reply'
    STOP_QUEUED_OR_UNANSWERED = 'stop has no reply'
    STOP_ACKNOWLEDGED = 'stopping'
    NOT_READY = 'not ready'
    WORKER_SILENT = 'worker does not reply'
    MAYBE_RUNNING = 'may run on a worker that has not listed its runs'
    AWAITS_TRIAL = 'awaits a trial, as it may crash its worker'
    NO_ROOM = 'no room'
    EXCLUDED = 'workers with room are excluded'
    NOT_PLACED = 'not placed on a worker that is eligible'


@dataclass(slots=True, kw_only=True)
class _Wait:
    """
    A wait for a run, and how long there was room, in total and by reason.
    """

    task: Task
    since_ms: float
    checked_ms: float
    reason: WaitReason = WaitReason.NO_ROOM
    # Without an interruption, how long one worker or another had room.
    room_ms: float = 0
    reason_ms: collections.Counter[WaitReason] = field(
        default_factory=collections.Counter
    )
    # How long one worker has had room by its own listings.
    listed_room_ms: float = 0
    is_reported: bool = False
    is_hidden_room_reported: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class _Chances:
    """
    Whether there is room for a task of a step, and what keeps tasks off it.

    *denial* is why the owner starts no task of the step, if it may not.
    """

    step: Step
    room: LongRunningRoom
    has_room: bool
    has_eligible_room: bool
    denial: WaitReason | None
    safe_keys: frozenset[str]


class LongRunningWaits:
    """
    Logs how long tasks wait for a run, and why, in one line a second.

    The wait of a task lasts from the end of its run until a worker confirms the
    start of the next one.  A line of its own tells of each wait of over three
    seconds beside room, also if only the listings of a worker show the room.

    Args:
        shard: The state of the shard.
        safe_to_start: Returns those of the tasks of a step that cannot be
            running on a worker that has not listed its runs yet.
    """

    def __init__(self, shard: Shard, safe_to_start: SafeToStart) -> None:
        self._shard = shard
        self._safe_to_start = safe_to_start
        self._waits: dict[str, _Wait] = {}
        self._listed_room = ListedRoom()
        self._hidden_room_lines = 0
        self._pace = ObservationPace(_CHECK_INTERVAL_MS)
        self._logged_ms: float = 0
        # Since the last line: the longest wait beside room that has ended.
        self._longest_ended_ms: float = 0

    def run_pass(self) -> None:
        """
        Follow the waits, and log them, unless the last look was too recent.
        """
        now_ms = self._shard.now_ms
        if self._pace.is_due(now_ms):
            self._check(now_ms)
            self._pace.record(now_ms, self._shard.now_ms)

    def _check(self, now_ms: float) -> None:
        self._hidden_room_lines = 0
        waiting = self._waiting_tasks(now_ms)
        for key in self._waits.keys() - waiting.keys():
            ended = self._waits.pop(key)
            self._longest_ended_ms = max(self._longest_ended_ms, ended.room_ms)
        chances = self._chances(waiting.values())
        for waiting_key, task in waiting.items():
            wait = self._waits.setdefault(
                waiting_key,
                _Wait(task=task, since_ms=now_ms, checked_ms=now_ms),
            )
            self._update(wait, chances[task.step.key], now_ms)
        if now_ms - self._logged_ms >= _LOG_INTERVAL_MS:
            self._logged_ms = now_ms
            self._log(chances)

    def _waiting_tasks(self, now_ms: float) -> dict[str, Task]:
        silent = self._silent_workers(now_ms)
        tasks = itertools.chain.from_iterable(
            step.tasks for step in self._long_running_steps()
        )
        return {
            task.key: task
            for task in tasks
            if not task.runs
            or not any(
                run.phase is RunPhase.RUNNING
                and run.worker_id not in silent
                and (
                    run.percent >= _READY_PERCENT
                    or now_ms - run.confirmed_ms < _STARTUP_MS
                )
                for run in task.runs
            )
        }

    def _silent_workers(self, now_ms: float) -> set[str]:
        return {
            worker.worker_id
            for worker in self._shard.workers.values()
            if _is_silent(worker, now_ms)
        }

    def _chances(self, tasks: Iterable[Task]) -> dict[str, _Chances]:
        pools = self._responsive_workers()
        steps = {task.step.key: task.step for task in tasks}
        self._observe_listed_room(steps.values(), pools)
        services = {self._shard.service_of(step.job) for step in steps.values()}
        rooms = {
            service: LongRunningRoom(pools[service], self._shard.now_ms)
            for service in services
        }
        denials = {service: self._denial(service) for service in services}
        return {
            key: self._chances_of(step, rooms, denials)
            for key, step in steps.items()
        }

    def _chances_of(
        self,
        step: Step,
        rooms: Mapping[str, LongRunningRoom],
        denials: Mapping[str, WaitReason | None],
    ) -> _Chances:
        service = self._shard.service_of(step.job)
        room = rooms[service]
        return _Chances(
            step=step,
            room=room,
            has_room=room.has_room(step),
            has_eligible_room=room.has_eligible_room(step),
            denial=denials[service],
            safe_keys=frozenset(
                task.key for task in self._safe_to_start(step.waiting())
            ),
        )

    def _denial(self, service: str) -> WaitReason | None:
        if self._shard.is_draining:
            return WaitReason.OWNER_LEAVING
        permits = self._shard.permits
        if permits.may_start_on(service):
            return None
        if permits.may_start:
            return WaitReason.SERVICE_NOT_PERMITTED
        return WaitReason.NO_PERMIT

    def _responsive_workers(self) -> dict[str, list[WorkerState]]:
        """
        Return the workers that reply and stay by service.
        """
        pools = collections.defaultdict(list)
        for worker in self._shard.workers.values():
            if is_staying(worker):
                pools[worker.entry.service].append(worker)
        return pools

    def _observe_listed_room(
        self, steps: Iterable[Step], pools: dict[str, list[WorkerState]]
    ) -> None:
        for pool in pools.values():
            pool.sort(key=listed_free_millis, reverse=True)
        self._listed_room.observe(
            ((step, pools[self._shard.service_of(step.job)]) for step in steps),
            self._shard.now_ms,
        )

    def _long_running_steps(self) -> list[Step]:
        wall_ms = self._shard.clock.wall_ms()
        occurrences = itertools.chain.from_iterable(
            job.occurrences
            for job in self._shard.active_jobs()
            if job.plan.is_lasting
        )
        return [
            step
            for occurrence in occurrences
            for step in occurrence.due_steps(wall_ms)
            if step.plan.is_lasting
        ]

    def _update(self, wait: _Wait, chances: _Chances, now_ms: float) -> None:
        elapsed_ms = now_ms - wait.checked_ms
        wait.checked_ms = now_ms
        wait.reason = self._reason(wait.task, chances, now_ms)
        self._update_listed_room(wait, chances, now_ms)
        if not chances.has_room:
            self._longest_ended_ms = max(self._longest_ended_ms, wait.room_ms)
            wait.room_ms = 0
            wait.reason_ms.clear()
            return
        wait.room_ms += elapsed_ms
        wait.reason_ms[wait.reason] += int(elapsed_ms)
        if wait.room_ms > _LONG_WAIT_MS and not wait.is_reported:
            wait.is_reported = True
            self._shard.log.record(
                'long_running_wait', **_describe(wait, chances)
            )

    def _update_listed_room(
        self, wait: _Wait, chances: _Chances, now_ms: float
    ) -> None:
        """
        Follow the room by listings, and log a wait beside it by itself.

        The wait itself counts, as the worker may have had room before it.
        """
        found = self._listed_room.longest(wait.task.step)
        if found is None:
            wait.listed_room_ms = 0
            return
        worker, since_ms = found
        wait.listed_room_ms = now_ms - max(since_ms, wait.since_ms)
        is_hidden = wait.listed_room_ms > _LONG_WAIT_MS and not chances.has_room
        if wait.is_hidden_room_reported or not is_hidden:
            return
        # The others have their lines after the next checks.
        if self._hidden_room_lines < _NAMED_COUNT:
            self._hidden_room_lines += 1
            wait.is_hidden_room_reported = True
            self._shard.log.record(
                'long_running_wait_hidden_room',
                **_describe(wait, chances),
                **describe_hidden_room(self._shard, worker),
            )

    def _reason(
        self, task: Task, chances: _Chances, now_ms: float
    ) -> WaitReason:
        if task.runs:
            run = task.runs[-1]
            worker = self._shard.workers[run.worker_id]
            return _reason_of_run(run, is_silent=_is_silent(worker, now_ms))
        if chances.denial is not None:
            return chances.denial
        checks = (
            (WaitReason.MAYBE_RUNNING, task.key not in chances.safe_keys),
            (WaitReason.NO_ROOM, not chances.has_room),
            (WaitReason.EXCLUDED, not chances.has_eligible_room),
            (WaitReason.AWAITS_TRIAL, is_crash_suspect(task)),
        )
        return next(
            (reason for reason, applies in checks if applies),
            WaitReason.NOT_PLACED,
        )

    def _log(self, chances: dict[str, _Chances]) -> None:
        longest = sorted(
            self._waits.values(),
            key=lambda wait: (wait.room_ms, wait.checked_ms - wait.since_ms),
            reverse=True,
        )
        if not longest and not self._longest_ended_ms:
            return
        self._shard.log.record(
            'long_running_waits',
            shard=self._shard.name,
            epoch=self._shard.epoch,
            waiting=len(longest),
            with_room=sum(1 for wait in longest if wait.room_ms),
            with_listed_room=sum(1 for wait in longest if wait.listed_room_ms),
            longest_ended_ms=int(self._longest_ended_ms),
            reasons=collections.Counter(wait.reason for wait in longest),
            # Complete, also if lines about single waits are left out.
            long_reasons=collections.Counter(
                wait.reason for wait in longest if wait.is_reported
            ),
            longest=[
                _describe(wait, chances[wait.task.step.key])
                for wait in longest[:_NAMED_COUNT]
            ],
        )
        self._longest_ended_ms = 0


def _is_silent(worker: WorkerState, now_ms: float) -> bool:
    return (
        worker.is_unresponsive and now_ms - worker.last_reply_ms > _SILENCE_MS
    )


def _reason_of_run(run: Run, *, is_silent: bool) -> WaitReason:
    if run.phase is RunPhase.RUNNING:
        return WaitReason.WORKER_SILENT if is_silent else WaitReason.NOT_READY
    if run.phase is RunPhase.STOPPING:
        if run.order_acknowledged_ms:
            return WaitReason.STOP_ACKNOWLEDGED
        return WaitReason.STOP_QUEUED_OR_UNANSWERED
    if run.sent_ms:
        return WaitReason.START_UNANSWERED
    return WaitReason.START_QUEUED


def _describe_run(run: Run) -> tuple[int, str, RunPhase]:
    return (run.attempt, run.worker_id, run.phase)


def _describe(wait: _Wait, chances: _Chances) -> dict[str, object]:
    last = wait.task.last_end
    exclusions = collections.Counter(chances.room.exclusions(chances.step))
    return {
        'task': wait.task.key,
        'waited_ms': int(wait.checked_ms - wait.since_ms),
        'room_ms': int(wait.room_ms),
        'listed_room_ms': int(wait.listed_room_ms),
        'reason': wait.reason,
        'reason_ms': dict(wait.reason_ms.most_common(_NAMED_COUNT)),
        # The runs that keep it from being placed, then the last that ended.
        'runs': [_describe_run(run) for run in wait.task.runs],
        'last_end': last and (last.attempt, last.worker_id, last.outcome),
        'workers_with_room': exclusions.total(),
        'exclusions': {
            why or 'none': count for why, count in exclusions.items()
        },
    }
