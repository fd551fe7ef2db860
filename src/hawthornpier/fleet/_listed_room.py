"""
The room on workers by their own listings, beside that by the owner's count.
"""

import collections
import itertools
from collections.abc import Iterable
from operator import itemgetter

from hawthornpier.fleet._eligibility import lacks_label
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._stale_state import describe_order, is_unlisted
from hawthornpier.fleet._usability import unusable_reason
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Step

# Workers that are watched for each step, and runs that a log line names.
_WATCHED_COUNT = 10
_NAMED_COUNT = 5


def listed_free_millis(worker: WorkerState) -> int:
    """
    Return the processors that are free by a worker's last listing, or 0.

    They are in thousandths of a core.
    """
    listed = worker.listed_load
    return listed.free_millis(worker.entry) if listed else 0


def has_listed_room(worker: WorkerState, step: Step) -> bool:
    """
    Return whether a worker's last listing leaves room for a task of a step.
    """
    listed = worker.listed_load
    if listed is None or lacks_label(worker, step):
        return False
    limit = step.plan.per_worker_limit
    if limit and worker.step_counts.get(step.key, 0) >= limit:
        return False
    return listed.fits(step, worker.entry)


def is_staying(worker: WorkerState) -> bool:
    """
    Return whether a worker replies and does not leave.
    """
    return not worker.is_leaving and not worker.is_unresponsive


def rooms_by_service(
    workers: Iterable[WorkerState],
) -> dict[str, dict[str, int]]:
    """
    Return the free processors of usable workers, in thousandths of a core.

    For each service, `free_millis` and `max_free_millis` (the most on one
    worker) are those by the owner's count, with `listed_` those by listings.
    """
    pools = collections.defaultdict(list)
    for worker in workers:
        if unusable_reason(worker) is None:
            pools[worker.entry.service].append(
                (worker.free_millis, listed_free_millis(worker))
            )
    return {
        service: {
            'workers': len(rooms),
            'free_millis': sum(map(itemgetter(0), rooms)),
            'listed_free_millis': sum(map(itemgetter(1), rooms)),
            'max_free_millis': max(map(itemgetter(0), rooms)),
            'max_listed_free_millis': max(map(itemgetter(1), rooms)),
        }
        for service, rooms in pools.items()
    }


class ListedRoom:
    """
    Tells for how long one worker has had room for a step by its listings.

    Each step is watched on a limited number of workers, the roomiest ones.
    """

    def __init__(self) -> None:
        # By step, the workers with room and since when, the longest first.
        self._since_ms: dict[str, dict[WorkerState, float]] = {}

    def observe(
        self, pools: Iterable[tuple[Step, list[WorkerState]]], now_ms: float
    ) -> None:
        """
        Record the room now; steps that are left out are forgotten.

        Args:
            pools: Steps, each with the workers of its service, those with the
                most processors by their listings first.
            now_ms: The current time on the monotonic clock.
        """
        self._since_ms = {
            step.key: self._observe_step(step, workers, now_ms)
            for step, workers in pools
        }

    def longest(self, step: Step) -> tuple[WorkerState, float] | None:
        """
        Return the worker that has had room for longest, and since when.
        """
        return next(iter(self._since_ms.get(step.key, {}).items()), None)

    def _observe_step(
        self, step: Step, pool: list[WorkerState], now_ms: float
    ) -> dict[WorkerState, float]:
        """
        Return the workers with room and since when, the longest first.
        """
        kept = {
            worker: since_ms
            for worker, since_ms in self._since_ms.get(step.key, {}).items()
            if is_staying(worker) and has_listed_room(worker, step)
        }
        roomiest = itertools.takewhile(
            lambda worker: (
                listed_free_millis(worker) >= step.plan.processor_millis
            ),
            pool[:_WATCHED_COUNT],
        )
        added = (
            worker
            for worker in roomiest
            if worker not in kept and has_listed_room(worker, step)
        )
        open_count = _WATCHED_COUNT - len(kept)
        return kept | dict.fromkeys(itertools.islice(added, open_count), now_ms)


def describe_hidden_room(
    shard: Shard, worker: WorkerState
) -> dict[str, object]:
    """
    Return what makes the owner's count of a worker differ from its listing.

    Args:
        shard: The shard.
        worker: A worker with room by its listing.
    """
    moves = [
        reservation.task
        for reservation in shard.reservations.values()
        if reservation.destination is worker
    ]
    recount = worker.recount(task.step for task in moves)
    unlisted = [
        (run.task.key, run.attempt, run.phase, describe_order(run))
        for run in worker.runs.values()
        if is_unlisted(run, worker)
    ]
    return {
        'worker': worker.worker_id,
        'unusable': unusable_reason(worker),
        'free_millis': worker.free_millis,
        'listed_free_millis': listed_free_millis(worker),
        'entry_age_ms': int(shard.now_ms - worker.entry_age.read_ms),
        # Room that is reserved by nothing but the counter.
        'uncounted_millis': worker.reserved_millis - recount.reserved_millis,
        'reserved_for': [task.key for task in moves[:_NAMED_COUNT]],
        'unlisted_count': len(unlisted),
        'unlisted_runs': unlisted[:_NAMED_COUNT],
    }
