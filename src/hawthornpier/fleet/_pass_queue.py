"""
The steps that a scheduling pass has still to place.
"""

import collections
import itertools
from collections.abc import Iterable, Mapping

from hawthornpier.fleet._failed_steps import FailedSteps
from hawthornpier.steps import Step

# A pass ends after this time, with the gaps between its slices, so that
# long-running tasks that have lost their run, and what is due on workers, wait
# no longer for the next one.
_MAX_PASS_MS = 600.0
# After this time, long-running steps give way to the other ones of the pass:
# they may be many that find no room.
_URGENT_MS = 300.0


class PassQueue:
    """
    The steps of a pass in their order, and those that found no worker.

    Long-running steps come first, and of each kind those that the last passes
    have not reached.  It answers a backlog that the owner cannot consider in
    one pass.

    Args:
        steps: The steps in the order of their rank.
        missed: By step that the last pass has not reached, how many passes in a
            row have not.
        now_ms: The current time, on the monotonic clock.
    """

    def __init__(
        self, steps: Iterable[Step], missed: Mapping[Step, int], now_ms: float
    ) -> None:
        self._began_ms = now_ms
        self._missed = missed
        self._dropped: tuple[Step, ...] = ()
        # Steps of which tasks have been placed in this pass.
        self._served: set[Step] = set()
        self._queues: dict[bool, collections.deque[Step]] = {
            True: collections.deque(),
            False: collections.deque(),
        }
        ordered = sorted(steps, key=lambda step: -missed.get(step, 0))
        for next_step in ordered:
            self._queues[next_step.plan.is_lasting].append(next_step)
        self._failed = FailedSteps(now_ms)

    def is_over(self, now_ms: float) -> bool:
        """
        Return whether the pass has taken its time, or no step is left.
        """
        is_empty = not any(self._queues.values())
        return is_empty or now_ms - self._began_ms >= _MAX_PASS_MS

    def pop(self, now_ms: float) -> Step:
        """
        Return the next step.
        """
        urgent, others = self._queues[True], self._queues[False]
        is_urgent_over = now_ms - self._began_ms >= _URGENT_MS
        if not urgent or (is_urgent_over and others):
            return others.popleft()
        return urgent.popleft()

    def drop_others(self) -> None:
        """
        Leave all but the long-running steps to the next pass, in their order.
        """
        self._dropped += tuple(self._queues[False])
        self._queues[False].clear()

    def put_back(self, step: Step) -> None:
        """
        Put a step back that has tasks left.
        """
        self._served.add(step)
        self._queues[step.plan.is_lasting].appendleft(step)

    @property
    def is_cut(self) -> bool:
        """
        Return whether the pass leaves steps for want of time.
        """
        return bool(self._dropped) or any(self._queues.values())

    def missed(self) -> dict[Step, int]:
        """
        Return the steps that are left, with how many passes have missed them.
        """
        missed = {
            step: self._missed[step]
            for step in self._dropped
            if step in self._missed
        }
        for step in itertools.chain.from_iterable(self._queues.values()):
            if step not in self._served:
                missed[step] = self._missed.get(step, 0) + 1
        return missed

    def cannot_fit(self, step: Step, service: str) -> bool:
        """
        Return whether a step certainly finds no worker of a service.
        """
        return self._failed.rule_out(step, service)

    def add_failed(self, step: Step, service: str) -> None:
        """
        Record that a step found no worker of a service.
        """
        self._failed.add(step, service)
