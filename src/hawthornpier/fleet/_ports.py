"""
The interfaces of the fleet scheduler to everything outside a process.
"""

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from hawthornpier.steps import RunOutcome


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredRow:
    """
    A row of the store; *version* 0 means that there is none.
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
    Writes within one part that apply together, if *expected* holds.

    *expected* maps (table, key) to a version, 0 for a row that must not
    exist.
    """

    part: str
    expected: dict[tuple[str, str], int]
    writes: dict[tuple[str, str], bytes]
    removals: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class TransactionOutcome:
    """
    Whether a transaction was applied; if not, the rows that it expected.

    *store_ms* is the steady clock of the store.
    """

    is_applied: bool
    version: int
    store_ms: int
    rows: tuple[StoredRow, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class RowPage:
    """
    Rows as of the moment of *version*.
    """

    rows: tuple[StoredRow, ...]
    version: int
    store_ms: int
    has_more: bool = False


class RecordStore(Protocol):
    """
    The platform's transactional store.

    Every method raises `StoreUnavailableError` if nothing was done, or
    `StoreAnswerLostError` if that is not known.
    """

    async def transact(
        self,
        transaction: RowTransaction,
        *,
        timeout_ms: float = ...,
    ) -> TransactionOutcome:
        """
        Apply *transaction* atomically if its expectations hold.
        """
        ...

    async def read(
        self,
        table: str,
        part: str,
        *,
        first_key: str = '',
        end_key: str = '',
    ) -> RowPage:
        """
        Return the rows of a part from *first_key* to before *end_key*.
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
        Return the rows changed since a version, as soon as there are some.

        Raises:
            HistoryGoneError: The store no longer has these changes.
        """
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerEntry:
    """
    What the registry says of a worker; the resources are its capacity.
    """

    worker_id: str
    service: str
    address: str
    failure_domain: str
    processor_millis: int
    memory_mb: int
    accelerator_count: int
    incarnation_ms: int
    labels: tuple[str, ...] = ()
    is_draining: bool = False
    remaining_ms: int | None = None

    @property
    def rack(self) -> str:
        """
        Return the label that names the rack, or an empty text.
        """
        return self.labels[1] if len(self.labels) > 1 else ''


@dataclass(frozen=True, slots=True, kw_only=True)
class RunningRun:
    """
    A run that a worker lists as running.

    *usage* is the tail in ms of a lasting task, and the processor millis in
    use of any other; it is about half a second old.
    """

    task_key: str
    attempt: int
    checkpoint: str
    percent: int
    usage: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedRun:
    """
    An end that a worker lists until it is acknowledged.
    """

    number: int
    task_key: str
    attempt: int
    kind: RunOutcome
    checkpoint: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerListing:
    """
    What a worker answers to a renewal of its lease.
    """

    incarnation_ms: int
    clock_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]


class Verdict(enum.StrEnum):
    """
    What a worker answered to an order.
    """

    ACCEPTED = 'accepted'
    # A higher epoch was seen: another process owns the worker.
    FENCED = 'fenced'
    # A run with this number or a higher one was there before.
    OUTDATED = 'outdated'
    TOO_LATE = 'too_late'
    NO_ROOM = 'no_room'
    NO_TICKET = 'no_ticket'
    OTHER_INCARNATION = 'other_life'
    UNHEALTHY = 'unhealthy'
    MALFORMED = 'malformed'


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderReply:
    """
    The answer to a start, a stop or a change of pace; no clock is 0.
    """

    verdict: Verdict
    clock_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Renewal:
    """
    Renews the lease of everything on a worker and acknowledges its ends.

    The times are of the worker's clock; no deadline leaves the lease as is.
    """

    epoch: int
    acknowledged_number: int
    deadline_clock_ms: int | None
    wait_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StartOrder:
    """
    Starts one run.
    """

    task_key: str
    attempt: int
    payload: str
    epoch: int
    deadline_clock_ms: int
    checkpoint: str = ''
    ticket: str = ''


class FleetWorker(Protocol):
    """
    One life of a worker.

    Every method raises `WorkerUnreachableError` or `WorkerAnswerLostError`.
    """

    async def renew(self, renewal: Renewal) -> WorkerListing | Verdict:
        """
        Renew the lease and return both lists, or why this was refused.
        """
        ...

    async def start(self, order: StartOrder) -> OrderReply:
        """
        Start a run; repeating the same order is harmless.
        """
        ...

    async def stop(self, task_key: str, attempt: int, epoch: int) -> OrderReply:
        """
        Stop a run and bar this and lower attempts from starting there.
        """
        ...

    async def pace(
        self,
        task_key: str,
        attempt: int,
        percent: int,
        epoch: int,
    ) -> OrderReply:
        """
        Let a run work at a share of its speed.
        """
        ...

    def close(self) -> None:
        """
        Close the connections.
        """
        ...


class WorkerDialer(Protocol):
    """
    Makes the client of one life of a worker.
    """

    def __call__(self, entry: WorkerEntry) -> FleetWorker:
        """
        Return a client that addresses exactly this life.
        """
        ...


class RowDecoder(Protocol):
    """
    Reads rows that others wrote.
    """

    def workers(self, rows: Sequence[StoredRow]) -> list[WorkerEntry]:
        """
        Return the workers of the registry's rows, without unreadable ones.
        """
        ...
