"""
Exact accounting of the resources that running work occupies on workers.
"""

import enum
from collections.abc import Iterator
from dataclasses import dataclass, field

from hawthornpier.messages import Resources
from hawthornpier.policy._decisions import WorkerInfo
from hawthornpier.policy._errors import (
    DuplicateChargeError,
    InvalidDemandError,
    OvercommitError,
    UnknownWorkerError,
)


class ChargeKind(enum.Enum):
    """
    The kind of work that is charged to a worker.

    A request and a task may have the same id.
    """

    REQUEST = 1
    TASK = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Charge:
    """
    The resources that one request or task occupies on its worker.
    """

    kind: ChargeKind
    charge_id: str
    worker_id: str
    member: str
    workload: str
    demand: Resources
    started_ms: int


@dataclass(slots=True, kw_only=True)
class WorkerAccount:
    """
    The capacity, free resources and charges of one worker.

    *free* is negative in a resource if adopted work exceeds the capacity.  The
    worker accepts new work only while *is_open* is true.
    """

    info: WorkerInfo
    free: Resources
    is_open: bool = True
    requests: dict[str, Charge] = field(default_factory=dict)
    tasks: dict[str, Charge] = field(default_factory=dict)

    def charges(self, kind: ChargeKind) -> dict[str, Charge]:
        """
        Return the charges of this kind by their id.
        """
        return self.requests if kind is ChargeKind.REQUEST else self.tasks


def effective_demand(demand: Resources) -> Resources:
    """
    Return the resources to charge for a demand, at least one slot.

    Raises:
        InvalidDemandError: An amount is negative.
    """
    amounts = (
        demand.processor_millis,
        demand.memory_bytes,
        demand.accelerator_count,
        demand.slot_count,
    )
    if min(amounts) < 0:
        raise InvalidDemandError(f'demand has a negative amount: {demand}')
    if demand.slot_count:
        return demand
    return demand + Resources(slot_count=1)


class WorkerLedger:
    """
    Accounts for the work admitted to each worker and prevents overcommit.

    The ledger does not use the workers' usage reports: a charge lasts from the
    admission of the work until it is released or the worker is removed.
    """

    def __init__(self) -> None:
        self.accounts: dict[str, WorkerAccount] = {}
        self._worker_ids: dict[tuple[ChargeKind, str], str] = {}
        self._free = Resources()
        self._capacity = Resources()

    def add_worker(self, worker: WorkerInfo) -> WorkerAccount:
        """
        Accept work for a worker; a known worker keeps its charges.
        """
        account = self.accounts.get(worker.worker_id)
        if account is None:
            account = WorkerAccount(
                info=worker,
                free=worker.capacity,
                is_open=False,
            )
            self.accounts[worker.worker_id] = account
        self._subtract_from_totals(account)
        change = worker.capacity - account.info.capacity
        account.info = worker
        account.free += change
        account.is_open = True
        self._add_to_totals(account)
        return account

    def close_worker(self, worker_id: str) -> None:
        """
        Accept no more work for the worker; its charges stay.

        Its resources no longer count in `free` and `capacity`.
        """
        account = self.accounts.get(worker_id)
        if account is not None:
            self._subtract_from_totals(account)
            account.is_open = False

    def remove_worker(self, worker_id: str) -> tuple[Charge, ...]:
        """
        Remove the worker and return the charges on it.
        """
        self.close_worker(worker_id)
        account = self.accounts.pop(worker_id, None)
        if account is None:
            return ()
        charges = (*account.requests.values(), *account.tasks.values())
        for charge in charges:
            self._worker_ids.pop((charge.kind, charge.charge_id))
        return charges

    def charge(self, charge: Charge, *, is_adopted: bool = False) -> None:
        """
        Charge a request or task to a worker.

        Args:
            charge: The work and the worker that runs it.
            is_adopted: Whether the work already runs on the worker.  It is then
                charged even if it exceeds the free resources; no other work is
                admitted until enough is free again.

        Raises:
            DuplicateChargeError: The work is already charged to a worker.
            InvalidDemandError: An amount is negative or no slot is charged.
            OvercommitError: The worker is closed or has too little free.
            UnknownWorkerError: The worker was never added or was removed.
        """
        existing = self.find(charge.kind, charge.charge_id)
        if existing is not None:
            raise DuplicateChargeError(
                f'{charge.charge_id} is already charged to worker '
                f'{existing.worker_id}',
            )
        if effective_demand(charge.demand) != charge.demand:
            raise InvalidDemandError(
                f'{charge.charge_id} has no slot in its charge'
            )
        account = self.accounts.get(charge.worker_id)
        if account is None:
            raise UnknownWorkerError(f'unknown worker: {charge.worker_id}')
        fits = account.is_open and charge.demand.fits_in(account.free)
        if not fits and not is_adopted:
            raise OvercommitError(
                f'{charge.charge_id} demands {charge.demand}, but worker '
                f'{charge.worker_id} is closed or has too little free: '
                f'{account.free}',
            )
        account.charges(charge.kind)[charge.charge_id] = charge
        self._worker_ids[charge.kind, charge.charge_id] = charge.worker_id
        self._adjust_free(account, Resources() - charge.demand)

    def release(self, kind: ChargeKind, charge_id: str) -> Charge | None:
        """
        Release the charge of the work and return it, or None if there is none.
        """
        worker_id = self._worker_ids.pop((kind, charge_id), None)
        if worker_id is None:
            return None
        account = self.accounts[worker_id]
        charge = account.charges(kind).pop(charge_id)
        self._adjust_free(account, charge.demand)
        return charge

    def find(self, kind: ChargeKind, charge_id: str) -> Charge | None:
        """
        Return the charge of the work, or None if there is none.
        """
        worker_id = self._worker_ids.get((kind, charge_id), '')
        account = self.accounts.get(worker_id)
        if account is None:
            return None
        return account.charges(kind)[charge_id]

    def open_accounts(self) -> Iterator[WorkerAccount]:
        """
        Iterate over the workers that accept work.
        """
        return (
            account for account in self.accounts.values() if account.is_open
        )

    @property
    def free(self) -> Resources:
        """
        The total free resources of the open workers.
        """
        return self._free

    @property
    def capacity(self) -> Resources:
        """
        The total capacity of the open workers.
        """
        return self._capacity

    def _adjust_free(self, account: WorkerAccount, change: Resources) -> None:
        account.free += change
        if account.is_open:
            self._free += change

    def _subtract_from_totals(self, account: WorkerAccount) -> None:
        if account.is_open:
            self._free -= account.free
            self._capacity -= account.info.capacity

    def _add_to_totals(self, account: WorkerAccount) -> None:
        self._free += account.free
        self._capacity += account.info.capacity
