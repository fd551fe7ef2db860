"""
Group commit: the durable writes of a shard, one transaction per interval.
"""

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Awaitable, Callable, Iterable

from hawthornpier.coordination._batch import (
    PendingCommit,
    Versions,
    drop_abandoned,
    merge_commits,
    pop_batch,
)
from hawthornpier.coordination._claim_writer import OwnedShard
from hawthornpier.coordination._errors import (
    CommitClosedError,
    CommitConflictError,
    CommitDeposedError,
    CommitNotAppliedError,
    CommitUnknownError,
)
from hawthornpier.coordination._link import Backoff, read_with_retries
from hawthornpier.coordination._marker import CommitMarker, TransactionOutcome
from hawthornpier.coordination._rows import OWNER_PREFIX
from hawthornpier.coordination._timings import CommitLimits
from hawthornpier.messages import (
    ABSENT_VERSION,
    EventKind,
    Row,
    RowCheck,
    RowPut,
    Transaction,
    TransactionResult,
)
from hawthornpier.ports import (
    Clock,
    EventSink,
    StoreReplyLostError,
    StoreUnavailableError,
    TableStore,
)


class GroupCommit:
    """
    Combine the durable writes of many tasks for one owned shard.

    One transaction is in flight at a time, and each checks the owner row, so
    that a process cannot commit after another one has taken over the shard.
    `run` must run in a task of its own.

    Args:
        owned: The shard and the version of its owner row.
        store: The store, usually a `StoreLink`.
        clock: The clock of this process.
        limits: The commit interval, the transaction size and retry delays.
        on_deposed: Awaited with the shard and the epoch when a commit shows
            that another process has taken over the shard.
        rng: The random source of transaction ids and retry jitter.
        events: Records the loss of the shard.
    """

    def __init__(
        self,
        owned: OwnedShard,
        store: TableStore,
        clock: Clock,
        limits: CommitLimits,
        *,
        on_deposed: Callable[[str, int], Awaitable[None]] | None = None,
        rng: random.Random | None = None,
        events: EventSink | None = None,
    ) -> None:
        rng = rng or random.SystemRandom()
        self._owned = owned
        self._store = store
        self._clock = clock
        self._limits = limits
        self._on_deposed = on_deposed
        self._events = events
        self._owner_key = OWNER_PREFIX + owned.shard
        self._backoff = Backoff(
            clock,
            rng,
            min_ms=limits.retry_min_ms,
            max_ms=limits.retry_max_ms,
        )
        self._marker: CommitMarker | None = None
        if limits.has_marker_row:
            self._marker = CommitMarker(
                owned.shard,
                owned.epoch,
                store,
                self._backoff,
            )
        self._queue: deque[PendingCommit] = deque()
        self._in_flight: list[PendingCommit] = []
        self._wakeup = asyncio.Event()
        self._closed_error_type: type[CommitNotAppliedError] | None = None
        self._is_draining = False
        self._token = f'{rng.getrandbits(64):016x}'
        self._sequence = 0

    @property
    def is_closed(self) -> bool:
        """
        Return whether new commits are rejected.
        """
        return self._closed_error_type is not None

    @property
    def waiting_count(self) -> int:
        """
        Return how many commits are queued or in flight.
        """
        return len(self._queue) + len(self._in_flight)

    async def commit(
        self,
        puts: Iterable[RowPut] = (),
        deletes: Iterable[str] = (),
        checks: Iterable[RowCheck] = (),
        *,
        deadline_ms: int,
    ) -> Versions:
        """
        Write rows durably, in one transaction with those of other tasks.

        Args:
            puts: Rows to write.
            deletes: Keys of rows to delete.
            checks: Row versions that this commit requires.  If one differs,
                only this commit fails.
            deadline_ms: When to stop waiting, by the monotonic clock of this
                process.

        Returns:
            The new versions of the written rows by key.

        Raises:
            CommitNotAppliedError: Nothing was applied or will be applied.
                Subclasses distinguish a failed check, the loss of the shard
                and a closed group commit.
            CommitUnknownError: The commit was sent, but its outcome is
                unknown.
        """
        if self._closed_error_type is not None:
            raise self._closed_error_type(self._closed_error_message())
        entry = PendingCommit(
            puts=tuple(puts),
            deletes=tuple(deletes),
            checks=tuple(checks),
            future=asyncio.get_running_loop().create_future(),
        )
        if entry.conflicts_with((), {self._owner_key: self._owned.version}):
            message = 'the commit expects a different version of the owner row'
            raise CommitConflictError(message)
        self._queue.append(entry)
        self._wakeup.set()
        remaining_ms = deadline_ms - self._clock.monotonic_ms()
        try:
            async with asyncio.timeout(max(0, remaining_ms) / 1000):
                return await entry.future
        except TimeoutError as error:
            if not entry.future.cancelled():
                return entry.future.result()
            if entry.is_sent:
                message = (
                    'the commit reached its deadline after it was sent; it may '
                    'have been applied'
                )
                raise CommitUnknownError(message) from error
            message = (
                'the commit reached its deadline before it was sent; it was '
                'not applied'
            )
            raise CommitNotAppliedError(message) from error

    async def drain(self) -> None:
        """
        Reject new commits, and let `run` return after the queued ones.
        """
        self._closed_error_type = self._closed_error_type or CommitClosedError
        self._is_draining = True
        self._wakeup.set()

    async def run(self) -> None:
        """
        Write commits until the shard is lost or `drain` has completed.
        """
        with contextlib.ExitStack() as stack:
            stack.callback(self._close, CommitClosedError)
            while self._is_draining or not self.is_closed:
                await self._step()

    async def _step(self) -> None:
        drop_abandoned(self._queue)
        if not self._queue:
            if self._is_draining:
                self._is_draining = False
                return
            self._wakeup.clear()
            await self._wakeup.wait()
            return
        await self._clock.sleep_ms(self._limits.commit_interval_ms)
        checks = [
            RowCheck(key=self._owner_key, version=self._owned.version),
        ]
        puts = []
        self._sequence += 1
        if self._marker is not None:
            check, put = await self._marker.prepare(self._sequence)
            checks.append(check)
            puts.append(put)
        drop_abandoned(self._queue)
        self._in_flight = pop_batch(self._queue, self._limits.max_row_count)
        if self._in_flight:
            name = f'{self._owned.shard}.{self._token}.{self._sequence}'
            await self._write(
                merge_commits(f'commit.{name}', self._in_flight, checks, puts),
            )

    async def _write(self, transaction: Transaction) -> None:
        for entry in self._in_flight:
            entry.is_sent = True
        reply, is_retry = await self._send(transaction)
        if reply is None:
            self._requeue(self._in_flight)
            await self._backoff.sleep()
            return
        self._backoff.reset()
        if reply.is_committed:
            self._resolve(reply.rows)
        elif is_retry and self._marker is not None:
            await self._resolve_by_marker(self._marker, transaction)
        else:
            await self._resolve_conflict()

    async def _send(
        self,
        transaction: Transaction,
    ) -> tuple[TransactionResult | None, bool]:
        """
        Send a transaction until its outcome is known.

        Returns:
            The result, or None if the store certainly did not apply the
            transaction, and whether an earlier attempt may have been applied.
        """
        is_maybe_applied = False
        while True:
            try:
                reply = await self._store.transact(transaction)
            except StoreReplyLostError:
                is_maybe_applied = True
            except StoreUnavailableError:
                if not is_maybe_applied:
                    return None, False
            else:
                return reply, is_maybe_applied
            await self._backoff.sleep()

    def _requeue(self, entries: Iterable[PendingCommit]) -> None:
        """
        Put commits that were not applied back at the head of the queue.
        """
        waiting = tuple(entries)
        for entry in waiting:
            entry.is_sent = False
        self._queue.extendleft(reversed(waiting))
        self._in_flight = []

    def _resolve(self, rows: Iterable[Row]) -> None:
        versions = {row.key: row.version for row in rows}
        if self._marker is not None:
            self._marker.record_commit(
                self._sequence,
                self._marker.find_version(versions),
            )
        for entry in self._in_flight:
            entry.resolve(versions)
        self._in_flight = []

    async def _resolve_conflict(self) -> None:
        """
        Fail the commits whose own checks failed, and requeue the others.

        If the owner row has changed, all commits fail and the group commit is
        closed.
        """
        batch = self._in_flight
        keys = {check.key for entry in batch for check in entry.checks}
        versions = await self._read_versions({self._owner_key, *keys})
        if versions[self._owner_key] != self._owned.version:
            await self._close_as_deposed(
                CommitDeposedError(self._closed_error_message())
            )
            return
        kept = []
        for entry in batch:
            failed = [
                check.key
                for check in entry.checks
                if versions[check.key] != check.version
            ]
            if failed:
                message = (
                    f'rows with a version other than the expected one: {failed}'
                )
                entry.fail(CommitConflictError(message))
            else:
                kept.append(entry)
        self._requeue(kept)

    async def _resolve_by_marker(
        self,
        marker: CommitMarker,
        transaction: Transaction,
    ) -> None:
        """
        Resolve a conflict that an earlier attempt may have caused.

        The attempt may have been applied although its reply was lost; every
        later attempt then fails on the version of the marker row.
        """
        outcome = await marker.read_outcome(self._sequence)
        if outcome is TransactionOutcome.APPLIED:
            keys = [put.key for put in transaction.puts]
            versions = await self._read_versions(keys)
            self._resolve(
                Row(key=key, version=version, text='')
                for key, version in versions.items()
            )
        elif outcome is TransactionOutcome.UNKNOWN:
            message = (
                'outcome unknown: two later owners replaced the marker row'
            )
            await self._close_as_deposed(CommitUnknownError(message))
        else:
            await self._resolve_conflict()

    async def _read_versions(self, keys: Iterable[str]) -> dict[str, int]:
        versions = {}
        for key in sorted(keys):
            row = await read_with_retries(self._store, key, self._backoff)
            versions[key] = ABSENT_VERSION if row is None else row.version
        return versions

    async def _close_as_deposed(
        self,
        error: CommitDeposedError | CommitUnknownError,
    ) -> None:
        self._is_draining = False
        for entry in self._in_flight:
            entry.fail(error)
        self._in_flight = []
        self._closed_error_type = None
        self._close(CommitDeposedError)
        if self._events is not None:
            self._events.record(
                EventKind.SHARD_LOST,
                shard=self._owned.shard,
                detail='a commit failed because the owner row changed',
            )
        if self._on_deposed is not None:
            await self._on_deposed(self._owned.shard, self._owned.epoch)

    def _close(self, error_type: type[CommitNotAppliedError]) -> None:
        """
        Reject new commits and fail the queued ones.

        Commits that are in flight when `run` is cancelled fail with
        `CommitUnknownError`.
        """
        self._closed_error_type = self._closed_error_type or error_type
        for entry in self._in_flight:
            message = (
                'the group commit was closed while the commit was in flight; '
                'it may have been applied'
            )
            entry.fail(CommitUnknownError(message))
        for entry in self._queue:
            entry.fail(self._closed_error_type(self._closed_error_message()))
        self._queue.clear()

    def _closed_error_message(self) -> str:
        return (
            f'the group commit of shard {self._owned.shard} is closed; the '
            'commit was not applied'
        )
