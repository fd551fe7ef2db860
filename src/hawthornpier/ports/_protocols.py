"""
The interfaces to everything outside a process.
"""

from typing import Protocol

from hawthornpier.messages import (
    EndpointReply,
    EndpointRequest,
    EventKind,
    Fence,
    FenceReply,
    ForwardedRequest,
    Heartbeat,
    HeartbeatReply,
    HostListing,
    JobSpec,
    JobView,
    LeaseRenewal,
    LeaseReply,
    Outcome,
    Row,
    StartBatch,
    StartBatchReply,
    TaskControl,
    TaskControlReply,
    Transaction,
    TransactionResult,
    WorkerReport,
)


class EventSink(Protocol):
    """
    Where a module records the changes of state for the time line.
    """

    def record(
        self,
        kind: EventKind,
        *,
        shard: str = '',
        worker_id: str = '',
        task_id: str = '',
        request_id: str = '',
        member: str = '',
        detail: str = '',
    ) -> None:
        """
        Record one event, stamped with the process's hybrid logical clock.
        """
        ...


class Clock(Protocol):
    """
    Time as one process sees it.
    """

    def monotonic_ms(self) -> int:
        """
        Return milliseconds that never go back, from an arbitrary origin.
        """
        ...

    def wall_ms(self) -> int:
        """
        Return milliseconds since the Unix epoch; may step or drift.
        """
        ...

    async def sleep_ms(self, duration_ms: float) -> None:
        """
        Suspend the current task for *duration_ms*.
        """
        ...


class TableStore(Protocol):
    """
    The platform's transactional table service.

    Every method raises `StoreUnavailableError` or `StoreReplyLostError`.
    """

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """
        Apply *transaction* atomically if all of its checks hold.
        """
        ...

    async def read(self, key: str) -> Row | None:
        """
        Return the row *key*, or None if there is none.
        """
        ...

    async def scan(self, prefix: str) -> tuple[Row, ...]:
        """
        Return all rows whose key starts with *prefix*, ordered by key.
        """
        ...


class ObjectStore(Protocol):
    """
    The platform's object store.
    """

    async def put(self, name: str, content: bytes) -> None:
        """
        Store *content* under *name*, replacing what was there.
        """
        ...

    async def get(self, name: str) -> bytes | None:
        """
        Return the object *name*, or None if there is none.
        """
        ...


class HostList(Protocol):
    """
    The platform's list of live and leaving hosts.
    """

    async def listing(self) -> HostListing:
        """
        Return the current list; raises `StoreUnavailableError`.
        """
        ...


class WorkerPort(Protocol):
    """
    One worker of the platform.

    Every method raises `WorkerUnreachableError` or `WorkerReplyLostError`.
    """

    async def fence(self, fence: Fence) -> FenceReply:
        """
        Present an epoch and learn what the worker holds.
        """
        ...

    async def start(self, batch: StartBatch) -> StartBatchReply:
        """
        Start runs; the reply has one verdict for each.
        """
        ...

    async def renew(self, renewal: LeaseRenewal) -> LeaseReply:
        """
        Renew leases, acknowledge outcomes and fetch new outcomes.
        """
        ...

    async def control(self, control: TaskControl) -> TaskControlReply:
        """
        Checkpoint, evict, throttle, resume or stop one run.
        """
        ...

    async def request(self, request: EndpointRequest) -> EndpointReply:
        """
        Send a caller's request to the service's endpoint on this worker.
        """
        ...

    async def get_request_status(self, request_id: str) -> EndpointReply:
        """
        Ask what became of a request.
        """
        ...

    async def report(self) -> WorkerReport:
        """
        Return the latest usage report.
        """
        ...


class PeerPort(Protocol):
    """
    Another entry process.

    Every method raises `PeerUnreachableError`, `PeerReplyLostError` or
    `PeerRefusedError`.
    """

    async def heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """
        Exchange the states of two processes.
        """
        ...

    async def forward(self, request: ForwardedRequest) -> Outcome:
        """
        Have the owner of the request's shard serve it.
        """
        ...

    async def submit_job(self, job_id: str, spec: JobSpec) -> JobView:
        """
        Have the owner of the job's shard accept it.
        """
        ...

    async def show_job(self, job_id: str) -> JobView | None:
        """
        Return the job as its owner sees it.
        """
        ...

    async def cancel_job(self, job_id: str) -> JobView | None:
        """
        Have the job's owner cancel it.
        """
        ...

    async def events(self) -> bytes:
        """
        Return the peer's own events as JSON.
        """
        ...
