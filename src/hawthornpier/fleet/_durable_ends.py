"""
Acknowledgement of ended runs whose outcomes are stored.
"""

from collections.abc import Iterable

from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_state import WorkerState


class DurableEnds:
    """
    Lets ended runs be acknowledged once their outcomes are stored.

    The ends that are applied at one moment are durable when all jobs that had
    changes then have been written.  Jobs that change later do not delay that.

    Args:
        shard: The shard whose workers list the ends.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        # By worker, its incarnation and its last applied end; None if no ends
        # are waiting to become durable.
        self._applied: dict[WorkerState, tuple[int, int]] | None = None
        # The jobs that have still to be written for that.
        self._unwritten: set[str] = set()

    def collect(self) -> None:
        """
        Collect the ends that are applied now, unless earlier ones are waiting.

        Call this before the next batch of changes is built.
        """
        if self._applied is not None:
            return
        self._unwritten = set(self._shard.dirty)
        self._applied = {
            worker: (worker.entry.incarnation_ms, worker.processed_number)
            for worker in self._shard.workers.values()
        }

    def confirm(self, job_ids: Iterable[str]) -> None:
        """
        Record that all changes of some jobs were written.
        """
        # Jobs may also have been removed since then.
        self._unwritten.difference_update(job_ids)
        self._unwritten.intersection_update(self._shard.dirty)
        if self._applied is None or self._unwritten:
            return
        applied = self._applied
        self._applied = None
        for worker, (incarnation_ms, number) in applied.items():
            last_number = worker.processed_number
            is_newer = worker.acknowledged_number < number <= last_number
            if worker.entry.incarnation_ms == incarnation_ms and is_newer:
                worker.acknowledged_number = number
                worker.acknowledged.set()
