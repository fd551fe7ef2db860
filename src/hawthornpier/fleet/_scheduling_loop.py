"""
Runs the scheduling passes of a shard, and measures what they cost its owner.
"""

import asyncio

from hawthornpier.fleet._load_monitor import LoadMonitor
from hawthornpier.fleet._pass_gap import pass_gap_ms, slice_gap_ms
from hawthornpier.fleet._scheduler import Scheduler
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._timings import PlatformBounds, WorkerTimings

# Longest time between two scheduling passes.
_PASS_INTERVAL_MS = 100


class SchedulingLoop:
    """
    Starts a scheduling pass when there is something to schedule.

    Args:
        shard: The state of the shard.
        bounds: Limits that the platform specifies.
        timings: Durations and limits of the owner's requests to workers.
    """

    def __init__(
        self,
        shard: Shard,
        *,
        bounds: PlatformBounds,
        timings: WorkerTimings,
    ) -> None:
        self._shard = shard
        self._scheduler = Scheduler(shard, bounds=bounds, timings=timings)
        self.measure_load = LoadMonitor(shard).run

    async def run(self) -> None:
        """
        Run scheduling passes until cancelled.
        """
        shard = self._shard
        while True:
            await self._wait_until_due()
            await shard.clock.sleep_ms(await self._run_pass())

    async def _run_pass(self) -> float:
        """
        Run one pass, and let other work take place between its slices.

        Returns:
            How long to wait before the next pass.
        """
        shard = self._shard
        started_ms = shard.now_ms
        resumed_ms = started_ms
        paused_ms: float = 0
        for _ in self._scheduler.slices():
            ended_ms = shard.now_ms
            shard.load.record_slice(ended_ms, ended_ms - resumed_ms)
            await shard.clock.sleep_ms(slice_gap_ms(ended_ms - resumed_ms))
            resumed_ms = shard.now_ms
            paused_ms += resumed_ms - ended_ms
        now_ms = shard.now_ms
        pass_ms = now_ms - started_ms
        shard.load.record_slice(now_ms, now_ms - resumed_ms)
        shard.load.record_pass(now_ms, pass_ms, is_cut=self._scheduler.is_cut)
        return pass_gap_ms(pass_ms - paused_ms, paused_ms)

    async def _wait_until_due(self) -> None:
        wake = self._shard.wake
        try:
            async with asyncio.timeout(_PASS_INTERVAL_MS / 1000):
                await wake.wait()
        except TimeoutError:
            wake.clear()
        wake.clear()
