"""
Chooses the shard for work that any shard may do.
"""

from collections.abc import Callable, Collection, Sequence

from hawthornpier.messages import JobSpec, ShardLoad
from hawthornpier.policy import ShardRouter
from hawthornpier.ports import Clock


class LoadChooser:
    """
    Applies the routing policy to the newest known loads.

    Args:
        router: The policy for requests.
        loads: Returns the newest known loads.
        clock: The clock of this process.
    """

    def __init__(
        self,
        *,
        router: ShardRouter,
        loads: Callable[[], Sequence[ShardLoad]],
        clock: Clock,
    ) -> None:
        self._router = router
        self._loads = loads
        self._clock = clock

    def choose_for_request(
        self,
        service: str,
        body_bytes: int,
        excluded: Collection[str],
    ) -> str | None:
        """
        Return the shard to try next, or None if there is none.
        """
        return self._router.choose(
            self._loads(),
            service=service,
            body_bytes=body_bytes,
            now_ms=self._clock.monotonic_ms(),
            tried=excluded,
        )

    def choose_for_job(self, spec: JobSpec) -> str | None:
        """
        Return the shard with the fewest queued tasks for each slot.
        """
        loads = [load for load in self._loads() if load.slot_count]
        if not loads:
            return None
        return min(loads, key=_tasks_per_slot).shard


def _tasks_per_slot(load: ShardLoad) -> float:
    return (load.queued_task_count - load.free_slot_count) / load.slot_count
