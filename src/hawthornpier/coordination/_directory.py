"""
The process rows of all processes, as this process has observed them.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, replace

from hawthornpier.coordination._errors import UnreadableRowError
from hawthornpier.coordination._link import StoreLink
from hawthornpier.coordination._rows import (
    LOST_PREFIX,
    PROCESS_PREFIX,
    ProcessRow,
    decode,
)
from hawthornpier.coordination._timings import LeaseTimings
from hawthornpier.messages import Row
from hawthornpier.ports import Clock


@dataclass(frozen=True, slots=True, kw_only=True)
class ObservedProcess:
    """
    A process row, and since when it has been unchanged.

    *has_renewed* is true once this incarnation was observed to renew its
    row.  A row that was never renewed may have been written by a message
    that arrived after its sender had died.
    """

    process_id: str
    row: ProcessRow
    version: int
    unchanged_since_ms: int
    has_renewed: bool = False


class ProcessDirectory:
    """
    Read the process rows and track how long each has been unchanged.

    Time during which this process could not read the rows, or during which
    the store accepted no writes, does not count.  Otherwise all processes
    would take over each other's shards at the end of every outage.

    Args:
        link: The connection to the store.
        clock: The clock of this process.
        timings: The timings of all leases.
    """

    def __init__(
        self,
        link: StoreLink,
        clock: Clock,
        timings: LeaseTimings,
    ) -> None:
        self._link = link
        self._clock = clock
        self._timings = timings
        self._observed: dict[str, ObservedProcess] = {}
        self._lost_since_ms: dict[str, int] = {}
        self._refreshed_ms: int | None = None

    @property
    def processes(self) -> Mapping[str, ObservedProcess]:
        """
        Return the observed processes by their ids.
        """
        return self._observed

    @property
    def last_known_ids(self) -> frozenset[str]:
        """
        Return the ids of all processes that count for majorities.

        A process whose lease expired without a release still counts for
        `lost_retention_ms`, since it may be running behind a partition.
        """
        return frozenset(self._observed) | frozenset(self._lost_since_ms)

    @property
    def expired_lost_ids(self) -> tuple[str, ...]:
        """
        Return the ids of lost processes past `lost_retention_ms`.
        """
        now_ms = self._clock.monotonic_ms()
        retention_ms = self._timings.lost_retention_ms
        return tuple(
            process_id
            for process_id, since_ms in self._lost_since_ms.items()
            if now_ms - since_ms >= retention_ms
        )

    def is_expired(self, process_id: str) -> bool:
        """
        Return whether the lease of the process has certainly expired.

        A process without a row counts as expired.
        """
        observed = self._observed.get(process_id)
        if observed is None:
            return True
        return self._unchanged_ms(observed) >= self._timings.takeover_after_ms

    def is_live(self, process_id: str) -> bool:
        """
        Return whether the process row changed within the lease duration.
        """
        observed = self._observed.get(process_id)
        if observed is None:
            return False
        return self._unchanged_ms(observed) < self._timings.lease_ms

    def has_recent_renewal(self, process_id: str) -> bool:
        """
        Return whether a renewal was observed within two renewal intervals.
        """
        observed = self._observed.get(process_id)
        if observed is None or not observed.has_renewed:
            return False
        limit_ms = self._timings.renew_interval_ms * 2
        return self._unchanged_ms(observed) < limit_ms

    async def refresh(self) -> None:
        """
        Read the rows again.

        Raises:
            StoreError: The store did not reply; the known rows are kept.
        """
        rows, lost_rows = await asyncio.gather(
            self._link.scan(PROCESS_PREFIX),
            self._link.scan(LOST_PREFIX),
        )
        # The time is read after the reply.  The holder of a row measures its
        # lease from before the row was written, and so from before this time.
        now_ms = self._clock.monotonic_ms()
        is_gap = self._is_observation_gap(now_ms)
        observed = (self._observe(row, now_ms, is_gap=is_gap) for row in rows)
        self._observed = {
            entry.process_id: entry for entry in observed if entry is not None
        }
        lost_ids = (row.key.removeprefix(LOST_PREFIX) for row in lost_rows)
        self._lost_since_ms = {
            process_id: self._lost_since_ms.get(process_id, now_ms)
            for process_id in lost_ids
        }
        self._refreshed_ms = now_ms

    def _is_observation_gap(self, now_ms: int) -> bool:
        if self._refreshed_ms is None or self._link.is_out:
            return True
        return now_ms - self._refreshed_ms > self._timings.max_gap_ms

    def _observe(
        self,
        row: Row,
        now_ms: int,
        *,
        is_gap: bool,
    ) -> ObservedProcess | None:
        """
        Return a process as observed now.

        Returns:
            If its row is unreadable, the last observation, or None if there is
            none; the lease of the process expires unless it renews the row.
        """
        process_id = row.key.removeprefix(PROCESS_PREFIX)
        known = self._observed.get(process_id)
        if known is not None and known.version == row.version:
            if is_gap:
                return replace(known, unchanged_since_ms=now_ms)
            return known
        try:
            record = decode(row, ProcessRow)
        except UnreadableRowError:
            return known
        return ObservedProcess(
            process_id=process_id,
            row=record,
            version=row.version,
            unchanged_since_ms=now_ms,
            has_renewed=(
                known is not None
                and known.row.incarnation == record.incarnation
            ),
        )

    def _unchanged_ms(self, observed: ObservedProcess) -> int:
        return self._clock.monotonic_ms() - observed.unchanged_since_ms
