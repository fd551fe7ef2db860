"""
Virtual time for tests: a clock and an event loop that skips idle time.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import looptime

_Result = TypeVar('_Result')


class VirtualClock:
    """
    The `Clock` port over the virtual time of the running loop.

    *offset_ms* shifts the wall clock.  *rate* is the speed of both clocks
    relative to the loop's time, to simulate drift.
    """

    def __init__(self, *, offset_ms: int = 0, rate: float = 1.0) -> None:
        self._offset_ms = offset_ms
        self._rate = rate

    def monotonic_ms(self) -> int:
        """
        Return the loop's time in ms, scaled by the rate.
        """
        return int(asyncio.get_running_loop().time() * 1000 * self._rate)

    def wall_ms(self) -> int:
        """
        Return the monotonic time plus the offset.
        """
        return self.monotonic_ms() + self._offset_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        """
        Suspend the current task for *duration_ms* of this clock.
        """
        await asyncio.sleep(duration_ms / 1000 / self._rate)


class JumpingClock(VirtualClock):
    """
    A clock that a test can advance, as the end of a pause does.
    """

    jump_ms = 0

    def monotonic_ms(self) -> int:
        """
        Return the loop's time in ms, plus the pauses.
        """
        return super().monotonic_ms() + self.jump_ms


def run_virtual(coroutine: Coroutine[Any, Any, _Result]) -> _Result:
    """
    Run *coroutine* in virtual time and return its result.
    """
    with asyncio.Runner(loop_factory=_new_loop) as runner:
        return runner.run(coroutine)


def _new_loop() -> asyncio.AbstractEventLoop:
    return looptime.new_event_loop(start=0, noop_cycles=0)
