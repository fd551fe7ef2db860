"""
Tests of the clock of the operating system.
"""

import time

from hawthornpier.adapters import SystemClock

SUSPENSION_S = 5


class TestSystemClock:
    """
    The monotonic clock shows how long a host was suspended.
    """

    def test_the_time_of_a_suspension_counts(self, monkeypatch):
        """
        Guards against a host that acts on permissions of before a suspension.
        """
        suspended_s = {time.CLOCK_MONOTONIC: 0, time.CLOCK_BOOTTIME: 0}

        def read_ns(clock_id):
            return suspended_s[clock_id] * 10**9

        monkeypatch.setattr(time, 'clock_gettime_ns', read_ns)
        monkeypatch.setattr(
            time, 'monotonic_ns', lambda: read_ns(time.CLOCK_MONOTONIC)
        )
        clock = SystemClock()
        before_ms = clock.monotonic_ms()
        suspended_s[time.CLOCK_BOOTTIME] += SUSPENSION_S
        assert clock.monotonic_ms() - before_ms == SUSPENSION_S * 1000
