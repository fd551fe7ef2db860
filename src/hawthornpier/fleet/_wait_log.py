"""
Observes scheduling passes and logs what tasks wait for.
"""

from collections.abc import Mapping, Sequence

from hawthornpier.fleet._candidates import CandidatePool
from hawthornpier.fleet._observation_pace import ObservationPace
from hawthornpier.fleet._room import FreeRoom, find_shortage
from hawthornpier.fleet._shard import Shard
from hawthornpier.steps import Step

_LOG_INTERVAL_MS = 1_000.0
# The free room of all workers is compared with the waiting steps at most this
# often.
_SAMPLE_INTERVAL_MS = 500.0

_Pools = Mapping[str, CandidatePool]
# The free room by service, and whether it is that of best-effort tasks.
_Rooms = dict[tuple[str, bool], FreeRoom]


class WaitLog:
    """
    Observes the scheduling passes of a shard.

    Args:
        shard: The state of the shard.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        self._logged_ms = shard.now_ms
        self._sampled_ms = shard.now_ms
        self._pace = ObservationPace(_SAMPLE_INTERVAL_MS)
        # How long the first part of a sample took.
        self._observed_ms: float = 0
        self._started_ms: float = 0
        self._before: _Rooms | None = None
        self._refused: list[Step] = []

    def begin_pass(self) -> None:
        """
        Record that a pass begins.
        """
        self._started_ms = self._shard.now_ms
        self._refused = []

    def observe_room(self, pools: _Pools) -> None:
        """
        Record the free room before tasks are placed.
        """
        started_ms = self._shard.now_ms
        is_due = self._pace.is_due(started_ms)
        self._before = _free_rooms(pools) if is_due else None
        self._observed_ms = self._shard.now_ms - started_ms

    def refuse(self, step: Step) -> None:
        """
        Record that a task of a step found no worker.
        """
        if step.refused_ms is None:
            step.refused_ms = self._shard.now_ms
        self._refused.append(step)

    def end_pass(self, pools: _Pools, steps: Sequence[Step]) -> None:
        """
        Record that a pass has ended, and log the waits once a second.

        Args:
            pools: The workers on which runs may be started, by service.
            steps: The steps that were considered.
        """
        shard = self._shard
        now_ms = shard.now_ms
        if self._before is not None:
            if self._refused:
                self._add_shortages(self._before, _free_rooms(pools))
            self._sampled_ms = now_ms
            # As one look, although tasks are placed in between.
            self._pace.record(now_ms - self._observed_ms, self._shard.now_ms)
        shard.waits.add_pass(shard.now_ms - self._started_ms)
        if now_ms - self._logged_ms >= _LOG_INTERVAL_MS:
            self._logged_ms = now_ms
            shard.log.record(
                'wait_times',
                candidate_steps=len(steps),
                waiting_steps=len(self._refused),
                workers=sum(len(pool.workers) for pool in pools.values()),
                **shard.waits.report(),
            )

    def _add_shortages(self, before: _Rooms, after: _Rooms) -> None:
        now_ms = self._shard.now_ms
        for step in self._refused:
            place = (self._shard.service_of(step.job), step.plan.is_filling)
            if place not in after or step.refused_ms is None:
                continue
            since_ms = max(self._sampled_ms, step.refused_ms)
            self._shard.waits.add_shortage(
                step,
                find_shortage(
                    step.plan, before=before[place], after=after[place]
                ),
                step.waiting_count * (now_ms - since_ms),
            )


def _free_rooms(pools: _Pools) -> _Rooms:
    return {
        (service, for_best_effort): FreeRoom(
            pool.workers, for_best_effort=for_best_effort
        )
        for service, pool in pools.items()
        for for_best_effort in (False, True)
    }
