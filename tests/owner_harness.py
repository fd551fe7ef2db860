"""
A harness that runs a shard's owner against stand-ins on virtual time.
"""

import itertools
from collections.abc import Sequence

from virtual_time import VirtualClock

from hawthornpier.messages import (
    EventKind,
    ForwardedRequest,
    HostRecord,
    HostState,
    JobSpec,
    Resources,
    RowCheck,
    RowPut,
    Transaction,
)
from hawthornpier.owner import (
    CommitNotAppliedError,
    CommitUnknownError,
    OwnerTiming,
    ShardClosedError,
    ShardOwner,
)
from hawthornpier.policy import PolicySettings, Scheduler, WorkloadLimits
from hawthornpier.ports import StoreReplyLostError, StoreUnavailableError
from hawthornpier_standin.history import Record
from hawthornpier_standin.platform import MemoryStore, StoreFaults
from hawthornpier_standin.workers import MemoryWorker, WorkerModel

SHARD = 'ipoh/0'
CAPACITY = Resources(
    processor_millis=32_000,
    memory_bytes=125_000_000_000,
    slot_count=8,
)
REQUEST_DEMAND = Resources(
    processor_millis=1_000,
    memory_bytes=100_000_000,
    slot_count=1,
)
TASK_DEMAND = Resources(
    processor_millis=4_000,
    memory_bytes=1_000_000_000,
    slot_count=1,
)


class OwnerRowCommitter:
    """
    Commits each write in a transaction that checks the shard's owner row.
    """

    def __init__(self, store: MemoryStore, version: int, prefix: str) -> None:
        self._store = store
        self._version = version
        self._ids = (f'{prefix}.{count}' for count in itertools.count())

    async def commit(
        self,
        puts: Sequence[RowPut],
        deletes: Sequence[str] = (),
        *,
        timeout_ms: int,
    ) -> None:
        """
        Apply the writes if the owner row is unchanged.
        """
        transaction = Transaction(
            transaction_id=next(self._ids),
            checks=(RowCheck(key=f'owner/{SHARD}', version=self._version),),
            puts=tuple(puts),
            deletes=tuple(deletes),
        )
        try:
            outcome = await self._store.transact(transaction)
        except StoreUnavailableError as error:
            raise CommitNotAppliedError('the store is unavailable') from error
        except StoreReplyLostError as error:
            raise CommitUnknownError(
                'the reply of the store was lost'
            ) from error
        if not outcome.is_committed:
            raise ShardClosedError('another process owns the shard')


class FixedCatalog:
    """
    A catalog with one idempotent service and one that is not idempotent.
    """

    is_empty = False

    def demand(self, member: str, service: str) -> Resources:
        """
        Return the same demand for each service, unless the catalog is empty.
        """
        if self.is_empty:
            raise KeyError(service)
        return REQUEST_DEMAND

    def is_idempotent(self, member: str, service: str) -> bool:
        """
        Return whether the service is the stock check.
        """
        return service == 'stock-check'

    def limits(self, shard: str) -> Sequence[WorkloadLimits]:
        """
        Return no limits.
        """
        return ()


class OpenGate:
    """
    An admission gate that is always open.
    """

    def may_admit(self) -> bool:
        """
        Return True.
        """
        return True


class RecordedEventKinds:
    """
    An event sink that records only the kinds of events.
    """

    def __init__(self) -> None:
        self.kinds: list[EventKind] = []

    def record(self, kind: EventKind, **_fields: str) -> None:
        """
        Record the kind of the event.
        """
        self.kinds.append(kind)


class OwnerHarness:
    """
    A store, workers and a sequence of owners of one shard.
    """

    def __init__(self, *, worker_count: int = 3, seed: int = 1) -> None:
        self.clock = VirtualClock()
        self.store = MemoryStore(clock=self.clock)
        self.history: list[Record] = []
        self.events = RecordedEventKinds()
        self.catalog = FixedCatalog()
        self.workers = {
            f'w{index}': MemoryWorker(
                worker_id=f'w{index}',
                capacity=CAPACITY,
                clock=self.clock,
                seed=seed + index,
                model=WorkerModel(seed=seed),
                recorder=self.history.append,
            )
            for index in range(worker_count)
        }
        self._epoch = 0

    def hosts(self, *, leaving: Sequence[str] = ()) -> list[HostRecord]:
        """
        Return the host list, with the workers in *leaving* marked so.
        """
        return [
            HostRecord(
                worker_id=worker_id,
                address=worker_id,
                region='semenanjung',
                failure_domain='ipoh',
                rack='rack-0',
                capacity=CAPACITY,
                state=(
                    HostState.LEAVING
                    if worker_id in leaving
                    else HostState.LIVE
                ),
            )
            for worker_id in self.workers
        ]

    async def new_owner(self, timing: OwnerTiming | None = None) -> ShardOwner:
        """
        Claim the shard with the next epoch and open its new owner.
        """
        self._epoch += 1
        transaction_outcome = await self.store.transact(
            Transaction(
                transaction_id=f'owner.{self._epoch}',
                puts=(RowPut(key=f'owner/{SHARD}', text='{}'),),
            ),
        )
        owner = ShardOwner(
            shard=SHARD,
            epoch=self._epoch,
            policy=Scheduler(settings=PolicySettings(), seed=self._epoch),
            committer=OwnerRowCommitter(
                self.store,
                transaction_outcome.rows[0].version,
                f'commit.{self._epoch}',
            ),
            store=self.store,
            connect=lambda host: self.workers[host.worker_id],
            catalog=self.catalog,
            gate=OpenGate(),
            clock=self.clock,
            timing=timing or OwnerTiming(),
            events=self.events,
        )
        await owner.open(self.hosts)
        await self.clock.sleep_ms(50)
        return owner

    def set_store_outage(self, *, is_out: bool) -> None:
        """
        Set whether the store is unavailable.
        """
        self.store.apply_faults(StoreFaults(is_out=is_out))


def request_of(
    operation: str,
    *,
    key: str = '',
    remaining_ms: int = 2_000,
) -> ForwardedRequest:
    """
    Return a request to which an `Answer` must contain *operation*.
    """
    return ForwardedRequest(
        request_id=f'request-{operation}',
        shard=SHARD,
        member='yayasan',
        service='order' if key else 'stock-check',
        body=f'{{"operation": "{operation}"}}',
        remaining_ms=remaining_ms,
        idempotency_key=key,
    )


def job_of(
    task_count: int = 4,
    *,
    work_ms: int = 3_000,
    is_idempotent: bool = True,
) -> JobSpec:
    """
    Return a batch job of identical tasks.
    """
    return JobSpec(
        member='yayasan',
        workload='carving-plan',
        task_count=task_count,
        demand=TASK_DEMAND,
        declared_work_ms=work_ms,
        is_idempotent=is_idempotent,
    )
