"""
Interfaces of the fleet scheduler to the store, the registry and workers.
"""

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

import msgspec

from hawthornpier.steps import RunOutcome


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredRow:
    """
    A row of the store; *version* 0 means that the row does not exist.
    """

    table: str
    part: str
    key: str
    content: bytes = b''
    version: int = 0
    is_deleted: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RowTransaction:
    """
    Writes to one partition that are applied atomically, under a condition.

    *expected* maps (table, key) to the version that the row must have, or to
    0 if the row must not exist.  *part* names the partition.
    """

    part: str
    expected: dict[tuple[str, str], int]
    writes: dict[tuple[str, str], bytes]
    removals: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class TransactionOutcome:
    """
    The result of a transaction.

    If it was not applied, *rows* has the current rows that its condition
    names.  *store_ms* is the monotonic clock of the store.
    """

    is_applied: bool
    version: int
    store_ms: int
    rows: tuple[StoredRow, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class RowPage:
    """
    A consistent read of rows as of *version*.

    *store_ms* is the monotonic clock of the store.  If *has_more*, rows were
    left out, and reading continues after the last one.
    """

    rows: tuple[StoredRow, ...]
    version: int
    store_ms: int
    has_more: bool = False


class RecordStore(Protocol):
    """
    The platform's transactional store.

    Every method raises `StoreUnavailableError` if the request had no effect,
    or `StoreReplyLostError` if it is unknown whether it had one.
    """

    async def transact(
        self,
        transaction: RowTransaction,
        *,
        timeout_ms: float = ...,
    ) -> TransactionOutcome:
        """
        Apply *transaction* atomically if its condition holds.
        """
        ...

    async def read(
        self,
        table: str,
        part: str,
        *,
        first_key: str = '',
        end_key: str = '',
        row_limit: int | None = None,
    ) -> RowPage:
        """
        Return the rows of a partition with *first_key* <= key < *end_key*.

        A page has at most *row_limit* rows, and no more than the store allows.
        """
        ...

    async def changes(
        self,
        table: str,
        *,
        after_version: int,
        wait_ms: int,
    ) -> RowPage:
        """
        Return the rows that changed after a version.

        Args:
            table: The table to read.
            after_version: The last version that the caller has seen.
            wait_ms: How long to wait if there are no changes yet.

        Raises:
            HistoryGoneError: The store no longer has all these changes.
        """
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerEntry:
    """
    A worker according to the registry.

    The resources are the capacity of the whole worker; processors are in
    thousandths of a core.
    """

    worker_id: str
    service: str
    address: str
    failure_domain: str
    processor_millis: int
    memory_mb: int
    accelerator_count: int
    # Unix time at which this incarnation of the worker started.
    incarnation_ms: int
    labels: tuple[str, ...] = ()
    is_draining: bool = False
    # Time left until a draining worker stops, if it is known.
    remaining_ms: int | None = None

    def is_same_incarnation(self, other: 'WorkerEntry') -> bool:
        """
        Return whether two entries name one incarnation at one address.
        """
        return (self.incarnation_ms, self.address) == (
            other.incarnation_ms,
            other.address,
        )

    @property
    def rack(self) -> str:
        """
        Return the label that names the rack, or an empty string.
        """
        return self.labels[1] if len(self.labels) > 1 else ''


# A worker lists this many ended runs at a time, the earliest ones.
LISTED_ENDS_MAX = 500


class RunningRun(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    A run that is executing on a worker, as the worker lists it.

    *percent* is its progress; a long-running task is ready at 100.  *usage* is
    the tail latency in ms of a long-running task, and the processors in use
    (thousandths of a core) of any other task.  It is about half a second old.
    """

    task_key: str
    attempt: int
    checkpoint: str
    percent: int
    usage: int = 0


class EndedRun(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    An ended run, which the worker lists until it is acknowledged.

    *number* increases with each run that ends on this incarnation of the
    worker.
    """

    number: int
    task_key: str
    attempt: int
    kind: RunOutcome
    checkpoint: str


class WorkerListing(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    tag='listing',
):
    """
    A worker's response to a renewal of its lease.

    *incarnation_ms* is the Unix time at which the worker started, *clock_ms*
    the time of its clock.  *ended* contains the ended runs that the owner has
    not acknowledged yet; if *has_more_ended*, only the earliest of them.  A run
    that is not listed may then have ended in any way.
    """

    incarnation_ms: int
    clock_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    has_more_ended: bool = False


class Verdict(enum.StrEnum):
    """
    The result of a request to a worker.
    """

    ACCEPTED = 'accepted'
    # The worker has seen a higher fencing token: of another process that owns
    # the shard, or of this one if it has met another incarnation since.
    FENCED = 'fenced'
    # The worker has seen this or a higher attempt number of the task.
    OUTDATED = 'outdated'
    # The deadline in the request had passed.
    TOO_LATE = 'too_late'
    # The worker lacks resources for the run.
    NO_CAPACITY = 'no_room'
    # The worker rejected the ticket of the start, or the lack of one.
    NO_TICKET = 'no_ticket'
    # The request was addressed to another incarnation of the worker.
    OTHER_INCARNATION = 'other_life'
    UNHEALTHY = 'unhealthy'
    MALFORMED = 'malformed'


# Verdicts on a start order that imply that the worker did not start the run.
NOT_STARTED = frozenset(
    (
        Verdict.NO_CAPACITY,
        Verdict.NO_TICKET,
        Verdict.UNHEALTHY,
        Verdict.MALFORMED,
        Verdict.OTHER_INCARNATION,
        Verdict.OUTDATED,
    ),
)


class OrderReply(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    tag='order',
):
    """
    The response to a start, a stop or a change of a run's speed.

    *clock_ms* is the worker's clock, or 0 if the response did not include it.
    """

    verdict: Verdict
    clock_ms: int = 0


class Renewal(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    tag='renew',
):
    """
    A request that renews the lease of all runs on a worker.

    It also acknowledges ended runs, up to *acknowledged_number*.  The
    deadline is on the worker's clock; without one, the lease is not extended.
    The worker delays its response by up to *wait_ms* until it has an ended
    run to list.
    """

    fencing_token: int
    acknowledged_number: int
    deadline_clock_ms: int | None
    wait_ms: int


class StartOrder(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    tag='start',
):
    """
    A request to start one run.

    The deadline is the end of the run's lease on the worker's clock.
    """

    task_key: str
    attempt: int
    payload: str
    fencing_token: int
    deadline_clock_ms: int
    checkpoint: str = ''
    ticket: str = ''


class FleetWorker(Protocol):
    """
    A client of one incarnation of a worker.

    Every asynchronous method raises `WorkerUnreachableError` if the request
    was not sent, or `WorkerReplyLostError` if the worker may have received it.
    """

    async def renew(self, renewal: Renewal) -> WorkerListing | Verdict:
        """
        Renew the lease.

        Returns:
            The running and ended runs, or why the renewal was rejected.
        """
        ...

    async def start(self, order: StartOrder) -> OrderReply:
        """
        Start a run; repeating the same order has no further effect.
        """
        ...

    async def stop(
        self, task_key: str, attempt: int, fencing_token: int
    ) -> OrderReply:
        """
        Stop a run, and prevent this and lower attempts from starting.

        This applies to this worker only.
        """
        ...

    async def pace(
        self,
        task_key: str,
        attempt: int,
        percent: int,
        fencing_token: int,
    ) -> OrderReply:
        """
        Throttle a run to a percentage of its full speed.
        """
        ...

    def close(self) -> None:
        """
        Close the connections.
        """
        ...


class WorkerDialer(Protocol):
    """
    Creates the client of one incarnation of a worker.
    """

    def __call__(self, entry: WorkerEntry) -> FleetWorker:
        """
        Return a client whose requests are addressed to this incarnation.
        """
        ...


class RowDecoder(Protocol):
    """
    Decodes store rows that other processes wrote.
    """

    def workers(self, rows: Sequence[StoredRow]) -> list[WorkerEntry]:
        """
        Decode rows of the registry, skipping those that are unreadable.
        """
        ...
