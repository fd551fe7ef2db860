"""
Measurement of relays that are slower than the others.
"""

import collections
import statistics

from hawthornpier.ports import Clock

# The typical delay of a relay is the median of this many of its last calls,
# so that one slow worker does not count against it.
_SAMPLE_COUNT = 9
_MIN_SAMPLE_COUNT = 3
_SAMPLE_AGE_MS = 4_000.0
# A relay is slow if its typical delay exceeds that of the others by this factor
# and, in addition, by more than workers in another region take.
_SLOW_FACTOR = 2.0
_SLOW_MARGIN_MS = 60.0
# It has to be slow for this long, and is then avoided for some time, which
# doubles if it is slow again: each move opens new connections to workers.
_PATIENCE_MS = 2_000.0
_AVOIDANCE_MS = 15_000.0
_MAX_AVOIDANCE_MS = 120_000.0


class RelayDelays:
    """
    Finds relays that take longer for calls than the others.

    Delays that grow on all relays alike are those of the owner.

    Args:
        clock: The clock of this process.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # By relay: when replies came, and after which time.
        self._samples: dict[str, collections.deque[tuple[float, float]]] = {}
        self._slow_since_ms: dict[str, float] = {}
        self._avoided_until_ms: dict[str, float] = {}
        self._avoidance_ms: dict[str, float] = {}

    def record(self, address: str, delay_ms: float) -> None:
        """
        Record how long a relay took for a call.

        Calls that end while the relay is avoided were made before.
        """
        now_ms = self._clock.monotonic_ms()
        if now_ms < self._avoided_until_ms.get(address, 0):
            return
        samples = self._samples.setdefault(
            address, collections.deque(maxlen=_SAMPLE_COUNT)
        )
        samples.append((now_ms, delay_ms))

    def slow_relays(self) -> dict[str, float]:
        """
        Return the relays to avoid, with the delay of those found just now.

        The delay of the others is 0.
        """
        now_ms = self._clock.monotonic_ms()
        typical_ms = self._typical_delays(now_ms)
        found = {
            address: delay_ms
            for address, delay_ms in typical_ms.items()
            if self._is_slow(address, typical_ms)
        }
        self._slow_since_ms = {
            address: self._slow_since_ms.get(address, now_ms)
            for address in found
        }
        due = {
            each
            for each, since_ms in self._slow_since_ms.items()
            if now_ms - since_ms >= _PATIENCE_MS
        }
        for due_address in due:
            self._avoid(due_address, now_ms)
        return {
            address: found[address] if address in due else 0
            for address, end_ms in self._avoided_until_ms.items()
            if now_ms < end_ms
        }

    def _avoid(self, address: str, now_ms: float) -> None:
        avoidance_ms = self._avoidance_ms.get(address, _AVOIDANCE_MS)
        self._avoided_until_ms[address] = now_ms + avoidance_ms
        self._avoidance_ms[address] = min(2 * avoidance_ms, _MAX_AVOIDANCE_MS)
        # Only calls that are made afterwards count again.
        self._samples.pop(address)
        self._slow_since_ms.pop(address)

    def _typical_delays(self, now_ms: float) -> dict[str, float]:
        oldest_ms = now_ms - _SAMPLE_AGE_MS
        recent = {
            address: [delay for at_ms, delay in samples if at_ms >= oldest_ms]
            for address, samples in self._samples.items()
        }
        return {
            address: statistics.median(delays)
            for address, delays in recent.items()
            if len(delays) >= _MIN_SAMPLE_COUNT
        }

    def _is_slow(self, address: str, typical_ms: dict[str, float]) -> bool:
        others = [
            delay_ms
            for other, delay_ms in typical_ms.items()
            if other != address
        ]
        if not others:
            return False
        # Where half of the relays are slow, the others are the usual ones.
        usual_ms = statistics.median_low(others)
        return typical_ms[address] > usual_ms * _SLOW_FACTOR + _SLOW_MARGIN_MS
