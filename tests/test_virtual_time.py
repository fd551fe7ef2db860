"""
Tests of the virtual clock that other tests rely on.
"""

import asyncio

from virtual_time import VirtualClock, run_virtual


class TestVirtualClock:
    """
    The virtual loop skips idle time.
    """

    def test_an_hour_passes_without_waiting(self) -> None:
        """
        Sleeping moves the clock by exactly the time slept.
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
