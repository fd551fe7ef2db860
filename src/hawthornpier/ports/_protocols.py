"""
Protocols for everything outside a process.
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
    A recorder of the state changes that appear on the timeline.
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
        Record an event with a timestamp of the hybrid logical clock.

        The ids name the objects that the event concerns.
        """
        ...


class Clock(Protocol):
    """
    The local time of a process.
    """

    def monotonic_ms(self) -> int:
        """
        Return milliseconds since an arbitrary origin; never decreases.
        """
        ...

    def wall_ms(self) -> int:
        """
        Return milliseconds since the Unix epoch; may jump or drift.
        """
        ...

    async def sleep_ms(self, duration_ms: float) -> None:
        """
        Suspend the current coroutine for *duration_ms*.
        """
        ...


class TableStore(Protocol):
    """
    The platform's transactional table service.

    A method that fails raises one of these errors.

    Raises:
        StoreUnavailableError: Nothing was applied.
        StoreReplyLostError: The operation may have been applied.
    """

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """
        Apply *transaction* atomically if all of its checks hold.
        """
        ...

    async def read(self, key: str) -> Row | None:
        """
        Return the row with this key, or None if it does not exist.
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
        Write an object, replacing any existing one of the same name.
        """
        ...

    async def get(self, name: str) -> bytes | None:
        """
        Return the content of an object, or None if it does not exist.
        """
        ...


class HostList(Protocol):
    """
    The platform's list of live and leaving hosts.
    """

    async def listing(self) -> HostListing:
        """
        Return the current list.

        Raises:
            StoreUnavailableError: The list could not be read.
        """
        ...


class WorkerPort(Protocol):
    """
    One worker of the platform.

    A method that fails raises one of these errors.

    Raises:
        WorkerUnreachableError: Nothing was applied.
        WorkerReplyLostError: The call may have been applied.
    """

    async def fence(self, fence: Fence) -> FenceReply:
        """
        Make the worker reject lower epochs; return its runs and requests.
        """
        ...

    async def start(self, batch: StartBatch) -> StartBatchReply:
        """
        Start runs; the reply has one verdict for each run.
        """
        ...

    async def renew(self, renewal: LeaseRenewal) -> LeaseReply:
        """
        Renew leases, acknowledge recorded outcomes and fetch new ones.
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
        Return the status of a request that was sent to this worker.
        """
        ...

    async def report(self) -> WorkerReport:
        """
        Return the latest report on usage and latencies.
        """
        ...


class PeerPort(Protocol):
    """
    Another entry process.

    A method that fails raises one of these errors.

    Raises:
        PeerUnreachableError: Nothing was sent.
        PeerRefusedError: The peer rejected the call and applied nothing.
        PeerReplyLostError: The call may have been applied.
    """

    async def heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """
        Send the state of this process and return the state of the peer.
        """
        ...

    async def forward(self, request: ForwardedRequest) -> Outcome:
        """
        Forward a request to the peer, which owns the request's shard.
        """
        ...

    async def submit_job(self, job_id: str, spec: JobSpec) -> JobView:
        """
        Submit a job to the peer, which owns the job's shard.
        """
        ...

    async def show_job(self, job_id: str) -> JobView | None:
        """
        Return the state of a job, or None if the peer does not know it.
        """
        ...

    async def cancel_job(self, job_id: str) -> JobView | None:
        """
        Cancel a job; return its state, or None if the peer does not know it.
        """
        ...

    async def events(self) -> bytes:
        """
        Return the events that the peer has recorded, as JSON.
        """
        ...
