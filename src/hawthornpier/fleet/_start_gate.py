"""
Starts that wait because the owner of the shard has enough in flight.
"""

import contextlib
import heapq
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

from hawthornpier.fleet._orders import Order
from hawthornpier.fleet._owner_load import OwnerLoad
from hawthornpier.fleet._start_window import StartWindow
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.ports import Clock
from hawthornpier.steps import Run, Task

# A start that has waited for longer is given up, so that the next scheduling
# pass chooses again what is started first, and where.
_MAX_WAIT_MS = 1_000.0
# A start that has no reply after this time, in which the owner was not behind
# its work, counts no longer as in flight: its worker may not respond, and the
# starts on others need not wait for it.
_SILENCE_MS = 200.0


@dataclass(frozen=True, slots=True, order=True)
class _WaitingStart:
    """
    A start that waits; that with the lowest rank is sent first.
    """

    rank: tuple[bool, float, int]
    order: Order = field(compare=False)
    run: Run = field(compare=False)
    worker: WorkerState = field(compare=False)
    since_ms: float = field(compare=False)

    @property
    def key(self) -> tuple[str, int, str]:
        """
        Return what tells it from other starts.
        """
        return (self.order.task_key, self.order.attempt, self.run.worker_id)


class StartGate:
    """
    Lets as many starts through as may be in flight, the most urgent ones first.

    Those of long-running tasks without another run are the most urgent; others
    follow in the order of their placement.

    Args:
        clock: The clock of this process.
        load: The load of the owner.
    """

    def __init__(self, clock: Clock, load: OwnerLoad) -> None:
        self.window = StartWindow()
        self._clock = clock
        self._load = load
        # When those in flight were sent, by number, the oldest first.
        self._sent_ms: dict[int, float] = {}
        self._numbers = itertools.count()
        self._heap: list[_WaitingStart] = []
        # Those of the heap that still wait.
        self._waiting: dict[tuple[str, int, str], _WaitingStart] = {}

    @property
    def waiting_count(self) -> int:
        """
        Return how many starts wait.
        """
        return len(self._waiting)

    @property
    def is_backlogged(self) -> bool:
        """
        Return whether the owner has more starts to send than it can.

        Only if its own delay has reduced how many may be in flight.
        """
        return (
            self.window.is_reduced and len(self._waiting) >= self.window.limit
        )

    def admit(self, order: Order, run: Run, worker: WorkerState) -> bool:
        """
        Return whether a start may be sent now.

        If not, it is queued for the worker again once it may be sent.
        """
        waiting = _WaitingStart(
            (not _is_urgent(run.task), run.started_ms, next(self._numbers)),
            order,
            run,
            worker,
            run.started_ms,
        )
        first = self._first()
        is_first = first is None or waiting.rank[:2] <= first.rank[:2]
        if is_first and len(self._sent_ms) < self.window.limit:
            return True
        self._waiting[waiting.key] = waiting
        heapq.heappush(self._heap, waiting)
        return False

    @contextlib.contextmanager
    def in_flight(self) -> Iterator[None]:
        """
        Count a start that is sent until its reply.
        """
        sent_ms = self._clock.monotonic_ms()
        number = next(self._numbers)
        self._sent_ms[number] = sent_ms
        self._load.record_starts_in_flight(len(self._sent_ms))
        try:
            yield
        except BaseException:
            self._end_flight(number, is_answered=False)
            raise
        self._end_flight(number, is_answered=True)

    def wake(self) -> None:
        """
        Queue as many starts for their workers as may be sent now.
        """
        self._drop_silent()
        self._wake()

    def take_expired(self) -> list[Run]:
        """
        Return the runs whose starts have waited for too long, and drop these.

        The members of a gang go on waiting, because those that have started
        would end for want of the others.
        """
        latest_ms = self._clock.monotonic_ms() - _MAX_WAIT_MS
        expired = {
            key: waiting.run
            for key, waiting in self._waiting.items()
            if waiting.since_ms < latest_ms
            and not waiting.run.task.step.plan.is_gang
        }
        for expired_key in expired:
            self._waiting.pop(expired_key)
        return list(expired.values())

    def _first(self) -> _WaitingStart | None:
        while self._heap:
            first = self._heap[0]
            if self._waiting.get(first.key) is first:
                return first
            heapq.heappop(self._heap)
        return None

    def _drop_silent(self) -> None:
        now_ms = self._clock.monotonic_ms()
        for number, sent_ms in tuple(self._sent_ms.items()):
            if now_ms - sent_ms < _SILENCE_MS:
                return
            if not self._load.was_late(sent_ms, now_ms):
                self._sent_ms.pop(number)

    def _end_flight(self, number: int, *, is_answered: bool) -> None:
        """
        Count a start no longer, and adapt the limit.

        A start that is lost on the way, and not by the owner's own delay, tells
        nothing about how many replies the owner can read.
        """
        now_ms = self._clock.monotonic_ms()
        sent_ms = self._sent_ms.pop(number, None)
        if sent_ms is None:
            return
        is_late = self._load.was_late(sent_ms, now_ms)
        if is_late:
            self._load.record_late_reply()
        if is_late or is_answered:
            self.window.record_reply(sent_ms, now_ms, is_late=is_late)
        self._wake()

    def _wake(self) -> None:
        for _ in range(self.window.limit - len(self._sent_ms)):
            first = self._first()
            if first is None:
                return
            self._waiting.pop(first.key)
            first.worker.orders.put_nowait(first.order)


def _is_urgent(task: Task) -> bool:
    return task.step.plan.is_lasting and len(task.runs) <= 1
