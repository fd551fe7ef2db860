"""
Transactions that claim shards, release them and delete lost processes.
"""

import asyncio
import random
from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field

from hawthornpier.coordination._directory import ProcessDirectory
from hawthornpier.coordination._errors import LeaseLostError
from hawthornpier.coordination._lease import ProcessLease
from hawthornpier.coordination._lease_row import LeaseWrite
from hawthornpier.coordination._link import (
    Backoff,
    StoreLink,
    transact_until_settled,
)
from hawthornpier.coordination._owner_rows import ShardOwner
from hawthornpier.coordination._rows import (
    LOST_PREFIX,
    OWNER_PREFIX,
    PROCESS_PREFIX,
    LostRow,
    OwnerRow,
    encode,
)
from hawthornpier.messages import (
    ABSENT_VERSION,
    RowCheck,
    RowPut,
    Transaction,
)
from hawthornpier.ports import Clock, StoreError


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnedShard:
    """
    A shard that this process owns, and the epoch of its ownership.

    *version* is the version of the owner row, which every durable write
    checks.  Workers that do not enforce fencing may get work from this owner
    only from *must_wait_until_ms* on, by the monotonic clock of this process.
    """

    shard: str
    epoch: int
    version: int
    incarnation: str
    must_wait_until_ms: int


def owned_shard(owner: ShardOwner, now_ms: int, delay_ms: int) -> OwnedShard:
    """
    Return the ownership that a committed claim has written.

    Messages from the previous owner may still be delivered for *delay_ms*.
    """
    if owner.row.epoch > 1:
        now_ms += delay_ms
    return OwnedShard(
        shard=owner.shard,
        epoch=owner.row.epoch,
        version=owner.version,
        incarnation=owner.row.incarnation,
        must_wait_until_ms=now_ms,
    )


@dataclass(slots=True, kw_only=True)
class _Claim:
    """
    The checks and writes of a transaction that claims several shards.
    """

    checks: dict[str, int] = field(default_factory=dict)
    puts: dict[str, str] = field(default_factory=dict)
    deletes: set[str] = field(default_factory=set)


class ClaimWriter:
    """
    Claim shards under the process lease, and release them.

    Args:
        lease: The lease of this process.
        directory: The process rows of all processes.
        link: The connection to the store.
        clock: The clock of this process.
        rng: The random source of retry jitter.
    """

    def __init__(
        self,
        lease: ProcessLease,
        directory: ProcessDirectory,
        link: StoreLink,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._lease = lease
        self._directory = directory
        self._link = link
        self._clock = clock
        self._rng = rng
        self._handover_count = 0

    async def claim(
        self,
        shards: Iterable[str],
        owners: Mapping[str, ShardOwner],
    ) -> LeaseWrite | None:
        """
        Claim vacant shards in one transaction.

        The transaction checks the owner rows, the process rows of the
        previous owners and the row of this process.  It writes owner rows
        with the next epochs and replaces the process rows of expired owners
        with lost-process rows.

        Args:
            shards: The ids of the shards to claim.
            owners: The owner rows as last read, by shard.

        Returns:
            The result, or None if this process has no lease or the store is
            unavailable.
        """
        claim = _Claim()
        for shard in shards:
            key = OWNER_PREFIX + shard
            owner = owners.get(shard)
            epoch = 0
            claim.checks[key] = ABSENT_VERSION
            if owner is not None:
                epoch = owner.row.epoch
                claim.checks[key] = owner.version
                self._check_process(
                    claim,
                    owner.row.process_id,
                    owner.row.incarnation,
                )
            claim.puts[key] = self._encode_owner_row(epoch + 1)
        return await self._send_claim(claim)

    async def delete_lost_processes(self, owner_ids: Container[str]) -> None:
        """
        Delete rows of lost processes that no claim of a shard deletes.

        The process rows of expired processes that own no shard are replaced
        with lost-process rows.  Lost-process rows that are older than their
        retention time are deleted.  Only the live process with the lowest id
        does this.

        Args:
            owner_ids: The ids of the processes that own shards.
        """
        processes = self._directory.processes
        live_ids = filter(self._directory.is_live, processes)
        if self._lease.process_id != min(live_ids, default=''):
            return
        for process_id, observed in processes.items():
            is_expired = self._directory.is_expired(process_id)
            if is_expired and process_id not in owner_ids:
                claim = _Claim()
                incarnation = observed.row.incarnation
                self._check_process(claim, process_id, incarnation)
                await self._send_claim(claim)
        old_ids = self._directory.expired_lost_ids
        if old_ids:
            claim = _Claim()
            claim.deletes.update(LOST_PREFIX + old_id for old_id in old_ids)
            await self._send_claim(claim)

    async def release(
        self,
        owned: OwnedShard,
        successor: str,
        timeout_ms: int,
    ) -> bool:
        """
        Write an owner row without an owner, with the same epoch.

        Args:
            owned: The shard to release.
            successor: The id of the process that should claim it first, or
                an empty string.
            timeout_ms: How long to retry.

        Returns:
            True if the release is committed, False if it failed or its
            outcome is unknown.
        """
        self._handover_count += 1
        count = self._handover_count
        key = OWNER_PREFIX + owned.shard
        row = OwnerRow(
            process_id='',
            incarnation='',
            address='',
            epoch=owned.epoch,
            successor=successor,
        )
        transaction = Transaction(
            transaction_id=f'free.{owned.incarnation}.{owned.shard}.{count}',
            checks=(RowCheck(key=key, version=owned.version),),
            puts=(RowPut(key=key, text=encode(row)),),
        )
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await self._send_release(transaction)
        except TimeoutError:
            return False

    async def _send_release(self, transaction: Transaction) -> bool:
        backoff = Backoff(
            self._clock,
            self._rng,
            min_ms=self._lease.timings.retry_min_ms,
            max_ms=self._lease.timings.retry_max_ms,
        )
        while True:
            try:
                _, reply = await transact_until_settled(
                    self._link,
                    transaction,
                    self._clock,
                    backoff,
                )
            except StoreError:
                await backoff.sleep()
            else:
                return reply.is_committed

    async def _send_claim(self, claim: _Claim) -> LeaseWrite | None:
        checks = [
            RowCheck(key=key, version=version)
            for key, version in claim.checks.items()
        ]
        puts = [RowPut(key=key, text=text) for key, text in claim.puts.items()]
        try:
            return await self._lease.transact(checks, puts, claim.deletes)
        except (LeaseLostError, StoreError):
            return None

    def _check_process(
        self,
        claim: _Claim,
        process_id: str,
        incarnation: str,
    ) -> None:
        """
        Add a check of a process row, and replace it if the process is lost.

        The row of this process is left out, since `ProcessLease.transact`
        checks it.
        """
        if process_id in {'', self._lease.process_id}:
            return
        key = PROCESS_PREFIX + process_id
        observed = self._directory.processes.get(process_id)
        if observed is None:
            claim.checks[key] = ABSENT_VERSION
            return
        claim.checks[key] = observed.version
        if observed.row.incarnation == incarnation:
            claim.deletes.add(key)
            claim.puts[LOST_PREFIX + process_id] = encode(
                LostRow(
                    incarnation=incarnation,
                    lost_wall_ms=self._clock.wall_ms(),
                ),
            )

    def _encode_owner_row(self, epoch: int) -> str:
        return encode(
            OwnerRow(
                process_id=self._lease.process_id,
                incarnation=self._lease.incarnation,
                address=self._lease.identity.address,
                epoch=epoch,
            ),
        )
