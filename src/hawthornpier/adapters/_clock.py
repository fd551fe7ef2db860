"""
The clock of the operating system.
"""

import asyncio
import time

_NS_PER_MS = 1_000_000


class SystemClock:
    """
    The `Clock` port, implemented with the operating system's clocks.
    """

    def monotonic_ms(self) -> int:
        """
        Return milliseconds since an arbitrary origin; never decreases.

        Unlike ``time.monotonic``, it includes the time for which the host was
        suspended, in which leases and permissions may have expired.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS

    def wall_ms(self) -> int:
        """
        Return milliseconds since the Unix epoch; may jump or drift.
        """
        return time.time_ns() // _NS_PER_MS

    async def sleep_ms(self, duration_ms: float) -> None:
        """
        Suspend the current coroutine for *duration_ms*.
        """
        await asyncio.sleep(duration_ms / 1000)
