"""
The runs on one worker and the resources that they occupy.
"""

import collections
from collections.abc import Iterable, Mapping
from typing import Any

from hawthornpier.fleet._listed_load import RunKey
from hawthornpier.fleet._ports import WorkerEntry
from hawthornpier.steps import Run, Step

# A long-running task serves changing load; on average it uses this fraction of
# its reserved processors and leaves the rest to best-effort tasks.
_LONG_RUNNING_USE = 0.45
# The image that the worker is evacuated for, and the number of changes of the
# estimated interference; then the rank.
KeptRank = tuple[tuple[str, int], tuple[float, ...]]


class WorkerLoad:
    """
    Runs that are allocated on a worker, their resources, and what is left.

    Args:
        entry: The worker according to the registry, with its capacity.
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
        # The same runs by kind of task.
        self._best_effort_runs: dict[RunKey, Run] = {}
        self._long_running_runs: dict[RunKey, Run] = {}
        self._plain_runs: dict[RunKey, Run] = {}
        # The number of long-running tasks by image, with those to be started,
        # and of best-effort tasks by image.
        self._image_counts: dict[str, int] = {}
        self._best_effort_images: dict[str, int] = {}
        # Ranks of the worker for long-running images, kept until the load
        # changes, each with what else it depends on.
        self.kept_ranks: dict[str, KeptRank] = {}
        # By best-effort image, the largest effect on its long-running tasks,
        # kept in the same way.
        self.kept_effects: dict[str, tuple[int, float]] = {}
        # The pressure that its long-running tasks tolerate by image, kept until
        # the load changes or the worker reports anew, and when it was made by
        # the number of changes of the estimated interference.
        self.kept_tolerances: tuple[int, dict[str, float]] | None = None
        # The number of runs of each step, by step key.
        self.step_counts: dict[str, int] = {}

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

    def best_effort_images(self) -> Iterable[str]:
        """
        Return the images of best-effort tasks.
        """
        return self._best_effort_images.keys()

    def counters(self) -> dict[str, Mapping[Any, int]]:
        """
        Return what is kept beside the runs, in groups.

        The runs of each kind of task count 1 each, by their keys.
        """
        return {
            'totals': {
                'reserved_millis': self.reserved_millis,
                'best_effort_millis': self.best_effort_millis,
                'long_running_millis': self.long_running_millis,
                'long_running_count': self.long_running_count,
                'best_effort_count': self.best_effort_count,
                'memory_mb': self.memory_mb,
                'accelerator_count': self.accelerator_count,
            },
            'step_counts': dict(self.step_counts),
            'image_counts': dict(self._image_counts),
            'best_effort_images': dict(self._best_effort_images),
            'best_effort_runs': dict.fromkeys(self._best_effort_runs, 1),
            'long_running_runs': dict.fromkeys(self._long_running_runs, 1),
            'plain_runs': dict.fromkeys(self._plain_runs, 1),
        }

    def recount(self, reserved: Iterable[Step]) -> 'WorkerLoad':
        """
        Return the load that follows from the runs alone.

        Args:
            reserved: The steps of tasks for which room is reserved.
        """
        load = WorkerLoad(self.entry)
        steps = [run.task.step for run in self.runs.values()]
        for key, run in self.runs.items():
            load._runs_of_kind(run)[key] = run
        for step, count in collections.Counter([*steps, *reserved]).items():
            load._add(step, count)
        return load

    def _runs_of_kind(self, run: Run) -> dict[RunKey, Run]:
        plan = run.task.step.plan
        if plan.is_filling:
            return self._best_effort_runs
        return self._long_running_runs if plan.is_lasting else self._plain_runs

    def _add(self, step: Step, sign: int) -> None:
        plan = step.plan
        self.kept_ranks.clear()
        self.kept_effects.clear()
        self.kept_tolerances = None
        self.memory_mb += sign * plan.memory_mb
        self.accelerator_count += sign * plan.accelerator_count
        _change_count(self.step_counts, step.key, sign)
        if plan.is_filling:
            self.best_effort_millis += sign * plan.processor_millis
            self.best_effort_count += sign
            _change_count(self._best_effort_images, plan.image, sign)
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
