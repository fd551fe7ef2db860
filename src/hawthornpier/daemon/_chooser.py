"""
Choice of the shard for work that any shard can run.
"""

from collections.abc import Callable, Collection, Sequence

from hawthornpier.messages import ShardLoad
from hawthornpier.policy import ShardRouter
from hawthornpier.ports import Clock


class LoadChooser:
    """
    Chooses shards by the most recent loads known to this process.

    Args:
        router: The routing policy for requests.
        loads: Returns the most recent known load of each shard.
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
        Return the shard to try next, or None if no shard is left.
        """
        return self._router.choose(
            self._loads(),
            service=service,
            body_bytes=body_bytes,
            now_ms=self._clock.monotonic_ms(),
            tried=excluded,
        )

    def choose_for_job(self, usable: Collection[str]) -> str | None:
        """
        Return the usable shard with the shortest batch queue per slot.

        Free slots count as negative queue length.  Returns None if the load of
        no usable shard with slots is known.
        """
        loads = [
            load
            for load in self._loads()
            if load.slot_count and load.shard in usable
        ]
        if not loads:
            return None
        return min(loads, key=_tasks_per_slot).shard


def _tasks_per_slot(load: ShardLoad) -> float:
    return (load.queued_task_count - load.free_slot_count) / load.slot_count
