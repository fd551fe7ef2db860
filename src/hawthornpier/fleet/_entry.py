"""
The operations for callers: submit, cancel, show and count jobs.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, NoReturn, Protocol

from hawthornpier.events import DecisionLog
from hawthornpier.fleet._errors import (
    JobRejectedError,
    NotStoredError,
    OutcomeUnknownError,
    UnknownJobError,
)
from hawthornpier.fleet._intake import cancel_key, end_key, intake_partition
from hawthornpier.fleet._peer_port import Peer
from hawthornpier.fleet._ports import RecordStore, RowTransaction
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._unknown_outcomes import UnknownOutcomes
from hawthornpier.fleet._writer import INTAKE_TABLE, PROGRESS_TABLE
from hawthornpier.ports import (
    Clock,
    PeerError,
    StoreError,
    StoreRejectedError,
    StoreReplyLostError,
)
from hawthornpier.steps import (
    JobPhase,
    JobPlan,
    decode_phase,
    encode_plan,
)

# Callers time out after about three seconds.  A write to the store that times
# out and the relaying through peers both fit into that.
_STORE_TIMEOUT_MS = 1_000
# After the store has rejected a write or failed, writes are relayed through
# other processes for this long, without trying the store first.
_STORE_BACKOFF_MS = 700.0
_MAX_RELAY_ATTEMPTS = 3
# After the owner has not replied, states come from the store for this long.
_OWNER_BACKOFF_MS = 500.0
# After this time, a write is not relayed to a further process.  Callers time
# out after about three seconds, and the reply must arrive before that.
_RELAY_BUDGET_MS = 700.0
# The content of the row of a cancellation; its key names the job.
_CANCELLATION = b'{}'
# After relaying has failed too, writes are rejected immediately for this long,
# so that callers retry later instead of waiting.
_REJECT_MS = 500.0


class ShardDirectory(Protocol):
    """
    Provides access to the owner of the shard and to other processes.
    """

    def local_shard(self) -> Shard | None:
        """
        Return the shard if this process owns it and has loaded it.
        """
        ...

    def owner(self) -> Peer | None:
        """
        Return a client of the owner, or None if it is this process or unknown.
        """
        ...

    def relays(self) -> list[Peer]:
        """
        Return the processes to which writes can be relayed.

        Those that are most likely to reach the store come first.
        """
        ...


_RelayedWrite = Callable[[Peer], Awaitable[bool | None]]


class JobEntry:
    """
    Serves requests of callers.

    Submissions and cancellations are written to the store.  The state of a job
    comes from the owner of the shard, or from the store if the owner does not
    reply or does not know the job.

    Args:
        store: The platform's store.
        directory: Provides the owner of the shard and the other processes.
        shard_name: The name of the shard.
        row_bytes: The largest content of a row of the store.
        clock: The clock of this process.
        log: The log of scheduling decisions.
    """

    def __init__(
        self,
        store: RecordStore,
        directory: ShardDirectory,
        *,
        shard_name: str,
        row_bytes: int,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._directory = directory
        self._shard_name = shard_name
        self._row_bytes = row_bytes
        self._clock = clock
        self._log = log
        self._store_backoff_until_ms: float = 0
        self._reject_until_ms: float = 0
        self._owner_backoff_until_ms: float = 0
        self._unknown_outcomes = UnknownOutcomes()
        self._notification_tasks: set[asyncio.Task[None]] = set()
        self._pending_counts: dict[str, tuple[float, int]] = {}

    async def submit(self, plan: JobPlan) -> None:
        """
        Store a job; has no effect if a job with this id exists.

        Raises:
            JobRejectedError: The store cannot hold the job.
            NotStoredError: The job was not stored and never will be.
            OutcomeUnknownError: The job may or may not have been stored.
        """
        self._check_accepting(plan.job_id)
        content = encode_plan(plan)
        if len(content) > self._row_bytes:
            raise JobRejectedError(
                f'the job takes {len(content)} bytes, the store holds at most '
                f'{self._row_bytes}'
            )
        if not await self._write_row(plan.job_id, plan.job_id, content):
            await self._relay(plan.job_id, lambda peer: peer.relay_job(content))
        self._start_notification(self._notify_owner_of_job(plan, content))

    async def store_job(self, job_id: str, content: bytes) -> bool:
        """
        Write the row of a job to the store, without relaying.

        Returns:
            Whether the job is stored; if not, it never will be.

        Raises:
            OutcomeUnknownError: The job may or may not have been stored.
        """
        is_stored = await self._write_row(job_id, job_id, content)
        if not is_stored:
            self._unknown_outcomes.check(job_id)
        return is_stored

    async def cancel(self, job_id: str) -> None:
        """
        Store the cancellation of a job, also if the job is not known.

        A submission whose reply was lost may create the job seconds later.

        Raises:
            UnknownJobError: No job with this id exists, and one that appears
                later is cancelled.
            NotStoredError: The cancellation was not stored and never will be.
            OutcomeUnknownError: It may or may not have been stored.
        """
        key = cancel_key(job_id)
        self._check_accepting(key)
        is_known = await self.show(job_id) is not None
        if not await self._write_row(job_id, key, _CANCELLATION):
            await self._relay(key, lambda peer: peer.relay_cancel(job_id))
        self._start_notification(self._notify_owner_of_cancel(job_id))
        if not is_known:
            raise UnknownJobError(job_id)

    async def store_cancel(self, job_id: str) -> bool:
        """
        Write the row of a cancellation to the store, without relaying.

        Returns:
            Whether it is stored; if not, it never will be.

        Raises:
            OutcomeUnknownError: It may or may not have been stored.
        """
        key = cancel_key(job_id)
        is_stored = await self._write_row(job_id, key, _CANCELLATION)
        if not is_stored:
            self._unknown_outcomes.check(key)
        return is_stored

    async def show(self, job_id: str) -> JobPhase | None:
        """
        Return the state of a job, or None if the job does not exist.

        Raises:
            NotStoredError: Neither the owner nor the store returned a state.
        """
        phase = await self._get_phase_from_owner(job_id)
        if phase is not None:
            return phase
        try:
            return await self._read_phase(job_id)
        except StoreError as error:
            raise NotStoredError(str(error)) from error

    async def pending(self, queue: str) -> int:
        """
        Return how many accepted jobs of a queue have not started.

        If the owner does not reply, the last count is returned while it is
        recent.

        Raises:
            NotStoredError: Neither the owner's nor a recent count is available.
        """
        shard = self._directory.local_shard()
        if shard is not None:
            return shard.pending_count(queue)
        owner = self._directory.owner()
        now_ms = self._clock.monotonic_ms()
        if owner is not None:
            try:
                count = await owner.pending(queue)
            except PeerError as error:
                self._log.record('owner_request_failed', why=str(error))
            else:
                self._pending_counts[queue] = (now_ms, count)
                return count
        counted_at_ms, count = self._pending_counts.get(queue, (-10_000.0, 0))
        if now_ms - counted_at_ms < 1_500:
            return count
        raise NotStoredError('the owner is unknown or did not reply')

    async def _write_row(self, job_id: str, key: str, content: bytes) -> bool:
        """
        Write a row, and return whether this request has stored it.
        """
        if self._clock.monotonic_ms() < self._store_backoff_until_ms:
            return False
        try:
            await self._store.transact(
                RowTransaction(
                    part=intake_partition(self._shard_name, job_id),
                    expected={(INTAKE_TABLE, key): 0},
                    writes={(INTAKE_TABLE, key): content},
                ),
                timeout_ms=_STORE_TIMEOUT_MS,
            )
        except StoreRejectedError as error:
            # The store serves other requests, so there is no reason to wait.
            raise JobRejectedError(str(error)) from error
        except StoreReplyLostError as error:
            self._store_backoff_until_ms = (
                self._clock.monotonic_ms() + _STORE_BACKOFF_MS
            )
            self._unknown_outcomes.add(key)
            raise OutcomeUnknownError(str(error)) from error
        except StoreError:
            self._store_backoff_until_ms = (
                self._clock.monotonic_ms() + _STORE_BACKOFF_MS
            )
            return False
        # If the row existed already, an earlier request of the caller wrote it,
        # so the request has succeeded whether or not the write was applied.
        self._store_backoff_until_ms = 0
        self._unknown_outcomes.discard(key)
        return True

    async def _relay(self, key: str, send: _RelayedWrite) -> None:
        """
        Have other processes write the row with a key.
        """
        end_ms = self._clock.monotonic_ms() + _RELAY_BUDGET_MS
        for peer in self._directory.relays()[:_MAX_RELAY_ATTEMPTS]:
            if self._clock.monotonic_ms() > end_ms:
                break
            if await self._relay_through(peer, key, send):
                return
        self._start_rejecting()
        self._refuse(
            key, 'neither this process nor a peer could write to the store'
        )

    async def _relay_through(
        self, peer: Peer, key: str, send: _RelayedWrite
    ) -> bool:
        try:
            is_stored = await send(peer)
        except PeerError:
            return False
        if is_stored is None:
            self._start_rejecting()
            self._unknown_outcomes.add(key)
            raise OutcomeUnknownError(
                'a peer did not report whether it stored the request',
            )
        if is_stored:
            self._unknown_outcomes.discard(key)
        return is_stored

    def _check_accepting(self, key: str) -> None:
        """
        Refuse to write a row if relaying failed shortly before.
        """
        if self._clock.monotonic_ms() < self._reject_until_ms:
            self._refuse(
                key,
                'rejected because a recent write to the store was not '
                'confirmed',
            )

    def _refuse(self, key: str, why: str) -> NoReturn:
        self._unknown_outcomes.check(key)
        raise NotStoredError(why)

    def _start_rejecting(self) -> None:
        self._reject_until_ms = self._clock.monotonic_ms() + _REJECT_MS

    async def _get_phase_from_owner(self, job_id: str) -> JobPhase | None:
        shard = self._directory.local_shard()
        if shard is not None:
            job = shard.jobs.get(job_id)
            return None if job is None else job.phase
        owner = self._directory.owner()
        now_ms = self._clock.monotonic_ms()
        if owner is None or now_ms < self._owner_backoff_until_ms:
            return None
        try:
            return await owner.show(job_id)
        except PeerError as error:
            now_ms = self._clock.monotonic_ms()
            self._owner_backoff_until_ms = now_ms + _OWNER_BACKOFF_MS
            self._log.record('owner_request_failed', job=job_id, why=str(error))
            return None

    async def _read_phase(self, job_id: str) -> JobPhase | None:
        intake = await self._store.read(
            INTAKE_TABLE,
            intake_partition(self._shard_name, job_id),
            first_key=job_id,
            end_key=end_key(job_id),
        )
        keys = {row.key for row in intake.rows}
        if job_id not in keys:
            return None
        progress = await self._store.read(
            PROGRESS_TABLE,
            self._shard_name,
            first_key=job_id,
            end_key=f'{job_id}\0',
        )
        phases = [
            decode_phase(row.content)
            for row in progress.rows
            if row.key == job_id
        ]
        phase = phases[0] if phases else JobPhase.QUEUED
        if phase in {JobPhase.COMPLETED, JobPhase.FAILED}:
            return phase
        return JobPhase.CANCELLED if cancel_key(job_id) in keys else phase

    async def _notify_owner_of_job(self, plan: JobPlan, content: bytes) -> None:
        shard = self._directory.local_shard()
        owner = self._directory.owner()
        if shard is not None:
            shard.add_job(plan)
        elif owner is not None:
            await owner.notify_job(content)

    async def _notify_owner_of_cancel(self, job_id: str) -> None:
        shard = self._directory.local_shard()
        owner = self._directory.owner()
        if shard is not None:
            shard.cancel_job(job_id)
        elif owner is not None:
            await owner.notify_cancel(job_id)

    def _start_notification(
        self, notification: Coroutine[Any, Any, None]
    ) -> None:
        task = asyncio.ensure_future(self._run_notification(notification))
        self._notification_tasks.add(task)
        task.add_done_callback(self._notification_tasks.discard)

    async def _run_notification(
        self, notification: Coroutine[Any, Any, None]
    ) -> None:
        try:
            await notification
        except PeerError as error:
            # No retry is needed: the owner also reads the row from the store's
            # feed of changes.
            self._log.record('owner_notification_failed', why=str(error))
