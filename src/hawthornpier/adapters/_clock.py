"""
The clock of the operating system.
"""

import asyncio
import time

_NS_PER_MS = 1_000_000


class SystemClock:
    """
    The `Clock` port over the machine's clocks.
    """

    def monotonic_ms(self) -> int:
        """
        Return milliseconds that never go back, from an arbitrary origin.
        """
        return time.monotonic_ns() // _NS_PER_MS

    def wall_ms(self) -> int:
        """
        Return milliseconds since the Unix epoch.
        """
        return time.time_ns() // _NS_PER_MS

    async def sleep_ms(self, duration_ms: float) -> None:
        """
        Suspend the current task for *duration_ms*.
        """
        await asyncio.sleep(duration_ms / 1000)
