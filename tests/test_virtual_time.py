"""
Tests of the virtual clock that other tests use.
"""

import asyncio

from virtual_time import VirtualClock, run_virtual


class TestVirtualClock:
    """
    Virtual time advances without waiting.
    """

    def test_an_hour_passes_without_waiting(self) -> None:
        """
        Concurrent sleeps advance the clock by exactly the longest of them.
        """

        async def scenario() -> int:
            clock = VirtualClock()
            started_ms = clock.monotonic_ms()
            await asyncio.gather(
                clock.sleep_ms(3_600_000),
                clock.sleep_ms(1_000),
            )
            return clock.monotonic_ms() - started_ms

        assert run_virtual(scenario()) == 3_600_000
