"""
The load of a worker according to its own listing of its runs.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from hawthornpier.fleet._ports import RunningRun, WorkerEntry
from hawthornpier.steps import Run, Step

RunKey = tuple[str, int]


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedLoad:
    """
    What the runs that a worker has listed reserve.

    The processors, in thousandths of a core, are those of all but best-effort
    tasks.  *unknown_runs* are listed runs that the owner has no record of, with
    when each was first listed; they are not counted in.
    """

    requested_ms: float
    reserved_millis: int = 0
    memory_mb: int = 0
    accelerator_count: int = 0
    unknown_runs: Mapping[RunKey, float] = field(default_factory=dict)

    def free_millis(self, entry: WorkerEntry) -> int:
        """
        Return the processors that the listed runs leave of a worker's.
        """
        return entry.processor_millis - self.reserved_millis

    def fits(self, step: Step, entry: WorkerEntry) -> bool:
        """
        Return whether the listed runs leave room for a task of a step.

        That is uncertain, and the result false, if the needs of some of them
        are not known.
        """
        plan = step.plan
        return (
            not self.unknown_runs
            and plan.processor_millis <= self.free_millis(entry)
            and self.memory_mb + plan.memory_mb <= entry.memory_mb
            and self.accelerator_count + plan.accelerator_count
            <= entry.accelerator_count
        )


def measure_listing(
    rows: Sequence[RunningRun],
    runs: Mapping[RunKey, Run],
    requested_ms: float,
    earlier: ListedLoad | None,
) -> ListedLoad:
    """
    Return the load according to a listing.

    Args:
        rows: The running runs of the listing.
        runs: The runs that the owner has recorded for the worker.
        requested_ms: When the listing was requested.
        earlier: The result for the listing before this one.
    """
    reserved_millis = 0
    memory_mb = 0
    accelerator_count = 0
    since_ms = earlier.unknown_runs if earlier else {}
    unknown_runs: dict[RunKey, float] = {}
    for row in rows:
        key = (row.task_key, row.attempt)
        run = runs.get(key)
        if run is None:
            unknown_runs[key] = since_ms.get(key, requested_ms)
            continue
        plan = run.task.step.plan
        memory_mb += plan.memory_mb
        accelerator_count += plan.accelerator_count
        if not plan.is_filling:
            reserved_millis += plan.processor_millis
    return ListedLoad(
        requested_ms=requested_ms,
        reserved_millis=reserved_millis,
        memory_mb=memory_mb,
        accelerator_count=accelerator_count,
        unknown_runs=unknown_runs,
    )
