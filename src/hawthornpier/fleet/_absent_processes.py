"""
Removal of the entries of processes that have left for good.
"""

import collections
from collections.abc import Collection, Iterable
from typing import Protocol

from hawthornpier.fleet._process_directory import ProcessDirectory
from hawthornpier.fleet._writer import ProcessCard
from hawthornpier.ports import StoreError

# The owner checks this often which processes have asked for its status, as
# every process does several times as often.
_CHECK_INTERVAL_MS = 30_000.0
# After as many checks without a request, a process has left for good.
_ABSENCE_CHECKS = 20
# Entries removed after one check.
_MAX_REMOVALS = 20


class AbsenceCounter:
    """
    Counts the checks in a row in which processes were not heard of.
    """

    def __init__(self) -> None:
        # By process id, so that the count of a restarted process begins anew.
        self._missed: collections.Counter[str] = collections.Counter()

    def clear(self) -> None:
        """
        Forget all counts.
        """
        self._missed.clear()

    def add_check(
        self, cards: Iterable[ProcessCard], heard: Collection[str]
    ) -> list[ProcessCard]:
        """
        Count a check, and return the processes that have left for good.

        Args:
            cards: The registered processes.
            heard: The addresses that were heard of since the last check.
        """
        missing = [card for card in cards if card.address not in heard]
        self._missed = collections.Counter(
            {
                card.process_id: self._missed[card.process_id] + 1
                for card in missing
            }
        )
        return [
            card
            for card in missing
            if self._missed[card.process_id] >= _ABSENCE_CHECKS
        ]


class HeardProcesses(Protocol):
    """
    Tells which processes this one was in touch with.
    """

    def heard_since(self, time_ms: float) -> set[str]:
        """
        Return the addresses that were heard of since a time.
        """
        ...


class OwnerCheck(Protocol):
    """
    Tells whether this process owns the shard.
    """

    @property
    def is_own(self) -> bool:
        """
        Return whether the owner row names this process.
        """
        ...


class AbsentProcesses:
    """
    Removes the entries of processes that left long ago.

    Every process asks the owner for its status all the time, so only the owner
    removes entries.  A process that was only out of touch registers again.

    Args:
        directory: The directory of processes.
        contacts: Which processes have asked this one for its status.
        ownership: Whether this process is the owner.
    """

    def __init__(
        self,
        directory: ProcessDirectory,
        contacts: HeardProcesses,
        ownership: OwnerCheck,
    ) -> None:
        self._directory = directory
        self._contacts = contacts
        self._ownership = ownership
        self._counter = AbsenceCounter()

    async def run(self) -> None:
        """
        Check which processes are absent until cancelled.
        """
        clock = self._directory.clock
        while True:
            checked_ms = clock.monotonic_ms()
            await clock.sleep_ms(_CHECK_INTERVAL_MS)
            if not self._ownership.is_own:
                self._counter.clear()
                continue
            absent = self._counter.add_check(
                self._directory.others(),
                self._contacts.heard_since(checked_ms),
            )
            await self._remove(absent[:_MAX_REMOVALS])

    async def _remove(self, absent: Iterable[ProcessCard]) -> None:
        for card in absent:
            try:
                await self._directory.remove(card)
            except StoreError:
                # Checked again after the next interval.
                return
