"""
Discrete-event engine in virtual time.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

_DECISION_DELAY_MS = 1
_TICK_MS = 100


class Engine:
    """
    Run scheduled actions in order of their virtual time.

    Args:
        decide: Runs the scheduler's decisions. It is called 1 ms after a
            request for a decision, once for all requests in between, and at
            least every 100 ms.
    """

    def __init__(self, decide: Callable[[], None]) -> None:
        self.now_ms: float = 0
        self._decide = decide
        self._is_decision_due = False
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []

    @property
    def now(self) -> int:
        """
        Virtual time in whole milliseconds, the unit of the scheduler.
        """
        return int(self.now_ms)

    def call_at(
        self,
        time_ms: float,
        action: Callable[..., None],
        *arguments: Any,
    ) -> None:
        """
        Call *action* with *arguments* at the virtual time *time_ms*.
        """
        number = next(self._event_numbers)
        heapq.heappush(self._events, (time_ms, number, action, arguments))

    def call_after(
        self,
        delay_ms: float,
        action: Callable[..., None],
        *arguments: Any,
    ) -> None:
        """
        Call *action* with *arguments* after *delay_ms*.
        """
        self.call_at(self.now_ms + delay_ms, action, *arguments)

    def request_decision(self) -> None:
        """
        Schedule a call of *decide* unless one is due already.
        """
        if not self._is_decision_due:
            self._is_decision_due = True
            self.call_after(_DECISION_DELAY_MS, self._run_decision)

    def run(self, until_ms: float) -> None:
        """
        Run all actions that are due up to *until_ms*, in order.
        """
        self._tick()
        while self._events and self._events[0][0] <= until_ms:
            event = heapq.heappop(self._events)
            self.now_ms = event[0]
            event[2](*event[3])
        self.now_ms = until_ms

    def _run_decision(self) -> None:
        self._is_decision_due = False
        self._decide()

    def _tick(self) -> None:
        self.request_decision()
        self.call_after(_TICK_MS, self._tick)
