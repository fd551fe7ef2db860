"""
The shards that this process owns, and access to those of other processes.
"""

import asyncio
import functools
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from hawthornpier.coordination import (
    CommitLimits,
    GroupCommit,
    HostView,
    OwnedShard,
    ShardOwnership,
    ShardWorker,
    WorkerState,
)
from hawthornpier.messages import (
    ForwardedRequest,
    HostRecord,
    HostState,
    JobSpec,
    JobView,
    Outcome,
    ShardLoad,
)
from hawthornpier.owner import (
    CommitNotAppliedError,
    OwnerError,
    ShardClosedError,
    ShardOwner,
)
from hawthornpier.ports import (
    Clock,
    EventSink,
    PeerPort,
    PeerRefusedError,
    PeerReplyLostError,
    PeerUnreachableError,
    TableStore,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class _ServedShard:
    """
    The owner of a shard, its group commit and their asyncio tasks.
    """

    owner: ShardOwner
    group_commit: GroupCommit
    commit_task: asyncio.Task[None]
    open_task: asyncio.Task[None]


OwnerFactory = Callable[[OwnedShard, GroupCommit], ShardOwner]


class LocalShards:
    """
    Runs a `ShardOwner` for each shard that the process owns.
    """

    def __init__(
        self,
        *,
        store: TableStore,
        clock: Clock,
        limits: CommitLimits,
        make_owner: OwnerFactory,
        has_guards: bool,
        rng: random.Random,
        events: EventSink,
    ) -> None:
        self._store = store
        self._clock = clock
        self._limits = limits
        self._make_owner = make_owner
        self._has_guards = has_guards
        self._rng = rng
        self._events = events
        self._served: dict[str, _ServedShard] = {}
        self._ownership: ShardOwnership | None = None
        self._host_view: HostView | None = None

    def bind(self, ownership: ShardOwnership, host_view: HostView) -> None:
        """
        Set the components that are created later, with callbacks of this one.
        """
        self._ownership = ownership
        self._host_view = host_view

    def owner(self, shard: str) -> ShardOwner | None:
        """
        Return the owner of the shard, or None if another process owns it.
        """
        served = self._served.get(shard)
        return None if served is None else served.owner

    def owners(self) -> Mapping[str, ShardOwner]:
        """
        Return all owners in this process by shard.
        """
        return {shard: served.owner for shard, served in self._served.items()}

    def loads(self) -> tuple[ShardLoad, ...]:
        """
        Return the loads of the shards whose owners accept work.
        """
        return tuple(
            owner.load() for owner in self.owners().values() if owner.is_open
        )

    def refresh_limits(self) -> None:
        """
        Make all owners reload the weights and limits from the table.
        """
        for owner in self.owners().values():
            owner.refresh_limits()

    async def on_gain(self, owned: OwnedShard) -> None:
        """
        Start the owner of a shard that this process has claimed.
        """
        await self.on_loss(owned.shard)
        on_deposed = self._ownership.report_deposed if self._ownership else None
        group_commit = GroupCommit(
            owned,
            self._store,
            self._clock,
            self._limits,
            on_deposed=on_deposed,
            rng=self._rng,
            events=self._events,
        )
        owner = self._make_owner(owned, group_commit)
        wait_until_ms = 0 if self._has_guards else owned.must_wait_until_ms
        loop = asyncio.get_running_loop()
        self._served[owned.shard] = _ServedShard(
            owner=owner,
            group_commit=group_commit,
            commit_task=loop.create_task(group_commit.run()),
            open_task=loop.create_task(
                owner.open(
                    functools.partial(self._hosts_of, owned.shard),
                    wait_until_ms=wait_until_ms,
                ),
            ),
        )

    async def on_loss(self, shard: str) -> None:
        """
        Stop the owner at once, since another process may own the shard now.
        """
        served = self._served.pop(shard, None)
        if served is None:
            return
        served.open_task.cancel()
        await served.owner.close()
        served.commit_task.cancel()

    async def on_hand_over(self, shard: str) -> None:
        """
        Finish the open requests and commits before the shard is released.
        """
        served = self._served.get(shard)
        if served is not None:
            served.open_task.cancel()
            await served.owner.drain()
            await served.group_commit.drain()
            await asyncio.wait({served.commit_task})

    async def on_host_change(self, worker: ShardWorker) -> None:
        """
        Update the workers of the shard's owner from the host list.
        """
        owner = self.owner(worker.shard)
        if owner is not None:
            await owner.set_hosts(self._hosts_of(worker.shard))

    def _hosts_of(self, shard: str) -> list[HostRecord]:
        if self._host_view is None:
            return []
        return [
            _host_record(worker)
            for worker in self._host_view.workers(shard)
            if worker.state is not WorkerState.GONE
        ]


class RoutingShardClient:
    """
    Calls the owner of a shard, in this process or through its peer port.
    """

    def __init__(
        self,
        *,
        process_id: str,
        local_shards: LocalShards,
        owner_address: Callable[[str], tuple[str, str] | None],
        connect: Callable[[str], PeerPort],
    ) -> None:
        self._process_id = process_id
        self._local_shards = local_shards
        self._owner_address = owner_address
        self._connect = connect

    async def forward(self, request: ForwardedRequest) -> Outcome:
        """
        Send the request to the owner of its shard and return the outcome.
        """
        owner = self._local_shards.owner(request.shard)
        if owner is None:
            return await self._peer_of(request.shard).forward(request)
        return await serve_locally(owner, request)

    async def submit_job(
        self,
        shard: str,
        job_id: str,
        spec: JobSpec,
    ) -> JobView:
        """
        Submit a job to the owner of the shard.
        """
        owner = self._local_shards.owner(shard)
        if owner is None:
            return await self._peer_of(shard).submit_job(job_id, spec)
        return await submit_locally(owner, job_id, spec)

    async def show_job(self, shard: str, job_id: str) -> JobView | None:
        """
        Return the state of a job, or None if the owner does not know it.
        """
        owner = self._local_shards.owner(shard)
        if owner is None:
            return await self._peer_of(shard).show_job(job_id)
        return owner.jobs.view(job_id)

    async def cancel_job(self, shard: str, job_id: str) -> JobView | None:
        """
        Cancel a job; return None if the owner does not know it.
        """
        owner = self._local_shards.owner(shard)
        if owner is None:
            return await self._peer_of(shard).cancel_job(job_id)
        return await cancel_locally(owner, job_id)

    def _peer_of(self, shard: str) -> PeerPort:
        owner_address = self._owner_address(shard)
        if owner_address is None:
            raise PeerUnreachableError(f'shard {shard} has no owner')
        process_id, address = owner_address
        if process_id == self._process_id:
            raise PeerRefusedError(
                f'shard {shard} is not open in this process yet'
            )
        return self._connect(address)


async def serve_locally(
    owner: ShardOwner, request: ForwardedRequest
) -> Outcome:
    """
    Serve a request through an owner in this process.

    Raises:
        PeerRefusedError: The owner is closed; the request was not run.
    """
    try:
        return await owner.serve(request)
    except ShardClosedError as error:
        raise PeerRefusedError(str(error)) from error


async def submit_locally(
    owner: ShardOwner,
    job_id: str,
    spec: JobSpec,
) -> JobView:
    """
    Submit a job to an owner in this process.

    Raises:
        PeerRefusedError: The job was not accepted.
        PeerReplyLostError: The job may have been accepted.
    """
    try:
        return await owner.submit_job(job_id, spec)
    except (ShardClosedError, CommitNotAppliedError) as error:
        raise PeerRefusedError(str(error)) from error
    except OwnerError as error:
        raise PeerReplyLostError(str(error)) from error


async def cancel_locally(owner: ShardOwner, job_id: str) -> JobView | None:
    """
    Cancel a job of an owner in this process.

    Raises:
        PeerRefusedError: The cancellation was not recorded.
        PeerReplyLostError: The cancellation may have been recorded.
    """
    try:
        return await owner.cancel_job(job_id)
    except (ShardClosedError, CommitNotAppliedError) as error:
        raise PeerRefusedError(str(error)) from error
    except OwnerError as error:
        raise PeerReplyLostError(str(error)) from error


def _host_record(worker: ShardWorker) -> HostRecord:
    record = worker.record
    is_leaving = worker.state is WorkerState.LEAVING
    return HostRecord(
        worker_id=record.worker_id,
        address=record.address,
        region=record.region,
        failure_domain=record.failure_domain,
        rack=record.rack,
        capacity=record.capacity,
        state=HostState.LEAVING if is_leaving else HostState.LIVE,
    )
