"""
Measures how late the timers of a shard's owner are, and logs its load.
"""

from hawthornpier.fleet._shard import Shard

# Interval of the timer whose lag is measured.
_TIMER_INTERVAL_MS = 50.0
# Minimum interval between two lines.
_LOG_INTERVAL_MS = 1_000.0


class LoadMonitor:
    """
    Measures the load of a shard's owner.

    Args:
        shard: The state of the shard.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        self._logged_ms = shard.now_ms

    async def run(self) -> None:
        """
        Measure the lag of a timer until cancelled.
        """
        shard = self._shard
        while True:
            due_ms = shard.now_ms + _TIMER_INTERVAL_MS
            shard.load.expect_timer(due_ms)
            await shard.clock.sleep_ms(_TIMER_INTERVAL_MS)
            now_ms = shard.now_ms
            shard.load.record_lag(now_ms, now_ms - due_ms)
            self._log(now_ms)

    def _log(self, now_ms: float) -> None:
        """
        Log the load once a second while there is load worth reporting.
        """
        if now_ms - self._logged_ms < _LOG_INTERVAL_MS:
            return
        self._logged_ms = now_ms
        load = self._shard.load
        report = load.take_report()
        if report.is_worth_logging or load.is_overloaded:
            self._shard.log.record(
                'owner_load',
                shard=self._shard.name,
                epoch=self._shard.epoch,
                is_overloaded=load.is_overloaded,
                share_busy=round(load.share_busy(), 2),
                start_limit=self._shard.start_gate.window.limit,
                starts_waiting=self._shard.start_gate.waiting_count,
                **report.fields(),
            )
