"""
Times that tasks wait until they run, by class of work and by cause.
"""

import collections
import enum
from collections.abc import Mapping

from hawthornpier.fleet._room import RoomShortage
from hawthornpier.steps import Run, Step, StepPlan

# At most this many classes of work are reported, those that waited longest.
_REPORTED_CLASSES_MAX = 16


class WaitCause(enum.StrEnum):
    """
    What a task waits for until the worker confirms its start.
    """

    # The owner to learn of the job.
    INTAKE = 'intake'
    # The first scheduling pass that considers the step.
    SCHEDULING = 'pass'
    # A worker that can take the task.
    ROOM = 'room'
    # The start to be sent.
    ORDER = 'order'
    # The worker to confirm the start.
    CONFIRMATION = 'confirmation'


class _ClassWaits:
    """
    Sums of one class of work since the last report.
    """

    def __init__(self) -> None:
        self.placed = 0
        self.restarted = 0
        self.confirmed = 0
        self.total_ms: dict[str, float] = dict.fromkeys(WaitCause, 0)
        self.max_ms: dict[str, float] = dict.fromkeys(WaitCause, 0)
        self.shortage_ms: dict[str, float] = collections.defaultdict(float)

    def add(self, cause: WaitCause, wait_ms: float) -> None:
        wait_ms = max(wait_ms, 0)
        self.total_ms[cause] += wait_ms
        self.max_ms[cause] = max(self.max_ms[cause], wait_ms)

    def waited_ms(self) -> float:
        return sum(self.total_ms.values()) + sum(self.shortage_ms.values())

    def report(self) -> dict[str, object]:
        return {
            'placed': self.placed,
            'restarted': self.restarted,
            'confirmed': self.confirmed,
            'wait_ms': _rounded(self.total_ms),
            'max_ms': _rounded(self.max_ms),
            'shortage_ms': _rounded(self.shortage_ms),
        }


class _PassLengths:
    """
    The lengths of scheduling passes since the last report.
    """

    def __init__(self) -> None:
        self.count = 0
        self.total_ms: float = 0
        self.max_ms: float = 0

    def add(self, pass_ms: float) -> None:
        self.count += 1
        self.total_ms += pass_ms
        self.max_ms = max(self.max_ms, pass_ms)


class WaitTimes:
    """
    Adds up waits for a report at regular intervals.

    The class of a task is the name of its queue and the kind of its step.
    Waits for a pass and for room are those of the first run of a task.
    """

    def __init__(self) -> None:
        self._classes: dict[str, _ClassWaits] = {}
        self._passes = _PassLengths()

    def add_pass(self, pass_ms: float) -> None:
        """
        Add the length of a scheduling pass.
        """
        self._passes.add(pass_ms)

    def add_placement(self, run: Run) -> None:
        """
        Add the waits of a task that is placed on a worker for the first time.
        """
        step = run.task.step
        waits = self._of(step)
        waits.placed += 1
        if not step.plan.after:
            waits.add(
                WaitCause.INTAKE, step.startable_ms - step.job.accepted_ms
            )
        startable_ms = step.startable_ms
        if step.occurrence.due_ms and step.ready_ms is not None:
            startable_ms = max(startable_ms, step.ready_ms)
        considered_ms = run.started_ms
        if step.refused_ms is not None:
            considered_ms = min(step.refused_ms, run.started_ms)
        waits.add(WaitCause.SCHEDULING, considered_ms - startable_ms)
        waits.add(WaitCause.ROOM, run.started_ms - considered_ms)

    def add_restart(self, step: Step) -> None:
        """
        Count a later run of a task of a step.
        """
        self._of(step).restarted += 1

    def add_confirmation(self, run: Run, now_ms: float) -> None:
        """
        Add the waits from the placement until the worker's confirmation.
        """
        if run.is_copy or not run.sent_ms:
            return
        waits = self._of(run.task.step)
        waits.confirmed += 1
        waits.add(WaitCause.ORDER, run.sent_ms - run.started_ms)
        waits.add(WaitCause.CONFIRMATION, now_ms - run.sent_ms)

    def add_shortage(
        self, step: Step, shortage: RoomShortage, task_ms: float
    ) -> None:
        """
        Add the time that tasks of a step waited for want of room.

        Args:
            step: The step.
            shortage: Why its tasks found no worker.
            task_ms: The sum of the times over the tasks.
        """
        self._of(step).shortage_ms[shortage] += task_ms

    def report(self) -> Mapping[str, object]:
        """
        Return the fields of a line of the log, and begin anew.

        Waits are sums over the tasks that were placed or confirmed.
        """
        passes = self._passes
        busiest = sorted(
            self._classes.items(), key=lambda entry: -entry[1].waited_ms()
        )
        fields: dict[str, object] = {
            'passes': passes.count,
            'pass_mean_ms': round(passes.total_ms / max(passes.count, 1), 1),
            'pass_max_ms': round(passes.max_ms, 1),
            'classes': {
                name: waits.report()
                for name, waits in busiest[:_REPORTED_CLASSES_MAX]
            },
        }
        self._passes = _PassLengths()
        self._classes.clear()
        return fields

    def _of(self, step: Step) -> _ClassWaits:
        name = f'{step.job.plan.queue.name}:{task_kind(step.plan)}'
        waits = self._classes.get(name)
        if waits is None:
            waits = _ClassWaits()
            self._classes[name] = waits
        return waits


def task_kind(plan: StepPlan) -> str:
    """
    Return the kind of a step's tasks, for the log.
    """
    if plan.is_lasting:
        return 'lasting'
    return 'filling' if plan.is_filling else 'plain'


def _rounded(sums: Mapping[str, float]) -> dict[str, int]:
    return {
        str(name): round(total) for name, total in sums.items() if total >= 1
    }
