"""
The order in which processes claim a vacant shard.
"""

import random

from hawthornpier.fleet._host_size import effective_cores
from hawthornpier.fleet._process_directory import ProcessDirectory
from hawthornpier.fleet._timings import OwnershipTimings
from hawthornpier.fleet._writer import OwnerRow, ProcessCard
from hawthornpier.ports import Clock

# Processes on smaller hosts delay their claim of the shard, so that the largest
# host becomes the owner.  The delay grows towards this limit the fewer cores a
# host has in comparison with the largest one.
_MAX_SMALL_HOST_DELAY_MS = 1_000.0
# The process that an owner has named as its successor claims at once.  All
# others wait for this long, in case it has failed.
_SUCCESSOR_HEAD_START_MS = 1_000.0
# A process that has lost the shard before it had loaded it leaves the next
# claim to the others for this long, and is no successor for some time.
_FAILED_LOAD_DELAY_MS = 8_000.0
_FAILED_LOAD_MEMORY_MS = 300_000.0
# The store's response time that is assumed at first.
_FIRST_RESPONSE_MS = 30.0


class ClaimTurn:
    """
    Delays the claim of a process in favour of those that are better suited.

    These are the named successor, processes near the store, large hosts, and
    those that have not failed to load the shard.

    Args:
        card: The identity of this process.
        directory: The registered processes, whose hosts may be larger.
        clock: The clock of this process.
        timings: Durations concerning ownership.
        rng: The source of jitter.
    """

    def __init__(
        self,
        card: ProcessCard,
        *,
        directory: ProcessDirectory,
        clock: Clock,
        timings: OwnershipTimings,
        rng: random.Random,
    ) -> None:
        # Moving average of the store's response time.
        self.store_response_ms = _FIRST_RESPONSE_MS
        self._card = card
        self._directory = directory
        self._clock = clock
        self._timings = timings
        self._rng = rng
        # When this process last lost a shard that it had not loaded.
        self._failed_load_ms: float | None = None

    @property
    def has_failed_to_load(self) -> bool:
        """
        Return whether this process has lately lost a shard that was not loaded.
        """
        failed_ms = self._failed_load_ms
        if failed_ms is None:
            return False
        return self._clock.monotonic_ms() - failed_ms < _FAILED_LOAD_MEMORY_MS

    def record_store_response(self, spent_ms: float) -> None:
        """
        Record how long the store took to respond.
        """
        self.store_response_ms += (spent_ms - self.store_response_ms) / 4

    def record_load(self, *, is_loaded: bool) -> None:
        """
        Record the end of an ownership of this process.

        Args:
            is_loaded: Whether the shard had been loaded.
        """
        self._failed_load_ms = None if is_loaded else self._clock.monotonic_ms()

    async def wait(self, owner: OwnerRow | None) -> None:
        """
        Wait until this process may claim the shard.

        Args:
            owner: The owner row, or None if the shard has never had an owner.
        """
        if self._is_successor(owner) and not self.has_failed_to_load:
            return
        await self._clock.sleep_ms(self._delay_ms(owner))
        await self._directory.wait_read(_MAX_SMALL_HOST_DELAY_MS)
        await self._clock.sleep_ms(self._small_host_delay_ms())

    def _is_successor(self, owner: OwnerRow | None) -> bool:
        return (
            owner is not None
            and owner.is_released
            and owner.successor_id == self._card.process_id
        )

    def _delay_ms(self, owner: OwnerRow | None) -> float:
        delay_ms = min(
            self.store_response_ms * self._timings.claim_delay_factor,
            self._timings.claim_delay_max_ms,
        )
        delay_ms *= 1 + self._rng.random() / 2
        if owner is None:
            # The processes of a new installation discover each other first.
            delay_ms += self._timings.first_claim_ms
        elif owner.successor_id:
            delay_ms += _SUCCESSOR_HEAD_START_MS
        if self.has_failed_to_load:
            delay_ms += _FAILED_LOAD_DELAY_MS
        return delay_ms

    def _small_host_delay_ms(self) -> float:
        """
        Return by how much to delay a claim in favour of larger hosts.
        """
        cores = effective_cores(self._card)
        others = map(effective_cores, self._directory.cards.values())
        largest = max(others, default=cores)
        return _MAX_SMALL_HOST_DELAY_MS * max(
            0, 1 - cores / max(largest, cores)
        )
