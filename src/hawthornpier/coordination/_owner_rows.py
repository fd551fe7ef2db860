"""
The owner rows of all shards, as last read.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from hawthornpier.coordination._errors import UnreadableRowError
from hawthornpier.coordination._link import StoreLink
from hawthornpier.coordination._rows import OWNER_PREFIX, OwnerRow, decode
from hawthornpier.coordination._timings import OwnershipTimings
from hawthornpier.messages import Row
from hawthornpier.ports import Clock


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardOwner:
    """
    The owner row of a shard, as last read.
    """

    shard: str
    version: int
    row: OwnerRow


def shard_owner(row: Row) -> ShardOwner:
    """
    Decode an owner row.

    Raises:
        UnreadableRowError: The row cannot be decoded.
    """
    return ShardOwner(
        shard=row.key.removeprefix(OWNER_PREFIX),
        version=row.version,
        row=decode(row, OwnerRow),
    )


class OwnerRows:
    """
    Read the owner rows of one failure domain often, and all rows seldom.

    Args:
        link: The connection to the store.
        clock: The clock of this process.
        timings: How often to read the rows of all failure domains.
        failure_domain: The domain whose rows each call of `read` reads.
    """

    def __init__(
        self,
        link: StoreLink,
        clock: Clock,
        timings: OwnershipTimings,
        failure_domain: str,
    ) -> None:
        self._link = link
        self._clock = clock
        self._timings = timings
        self._domain_prefix = f'{failure_domain}/'
        self._due_ms = clock.monotonic_ms()
        self._owners: dict[str, ShardOwner] = {}

    @property
    def owners(self) -> Mapping[str, ShardOwner]:
        """
        Return the owner rows by shard.
        """
        return self._owners

    def update_row(self, row: Row) -> ShardOwner | None:
        """
        Replace a known row by one that was read or written on its own.

        An older version than the known one is ignored.

        Returns:
            The owner in the row, or None if it is unreadable.
        """
        try:
            owner = shard_owner(row)
        except UnreadableRowError:
            return None
        known = self._owners.get(owner.shard)
        if known is None or known.version <= owner.version:
            self._owners[owner.shard] = owner
        return owner

    async def read(self) -> bool:
        """
        Read the rows of the own failure domain, or all rows if they are due.

        Returns:
            Whether the rows of all failure domains were read.

        Raises:
            StoreError: The store did not reply; the known rows are kept.
        """
        now_ms = self._clock.monotonic_ms()
        is_full = now_ms >= self._due_ms
        prefix = '' if is_full else self._domain_prefix
        rows = await self._link.scan(OWNER_PREFIX + prefix)
        if is_full:
            self._due_ms = now_ms + self._timings.far_observe_interval_ms
        kept = {
            shard: owner
            for shard, owner in self._owners.items()
            if not shard.startswith(prefix)
        }
        read = [self._decode_or_keep(row) for row in rows]
        self._owners = kept | {owner.shard: owner for owner in read if owner}
        return is_full

    def _decode_or_keep(self, row: Row) -> ShardOwner | None:
        """
        Decode an owner row; return the known one if it is unreadable.
        """
        try:
            return shard_owner(row)
        except UnreadableRowError:
            return self._owners.get(row.key.removeprefix(OWNER_PREFIX))

    async def look_up(self, shard: str) -> ShardOwner | None:
        """
        Read the owner row of one shard.

        Raises:
            StoreError: The store did not reply.
        """
        row = await self._link.read(OWNER_PREFIX + shard)
        if row is None:
            return None
        return self.update_row(row)
