"""
Events in virtual time.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

_DECISION_DELAY_MS = 1
_TICK_MS = 100


class Engine:
    """
    Runs events in order; the scheduler decides soon after each of them.

    Args:
        decide: Called once, a millisecond after one or several events.
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
        The time in whole milliseconds, as the scheduler takes it.
        """
        return int(self.now_ms)

    def call_at(
        self,
        time_ms: float,
        action: Callable[..., None],
        *arguments: Any,
    ) -> None:
        """
        Call *action* at a time.
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
        Call *action* after a delay.
        """
        self.call_at(self.now_ms + delay_ms, action, *arguments)

    def request_decision(self) -> None:
        """
        Let the scheduler decide soon.
        """
        if not self._is_decision_due:
            self._is_decision_due = True
            self.call_after(_DECISION_DELAY_MS, self._run_decision)

    def run(self, until_ms: float) -> None:
        """
        Run all events up to a time.
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
