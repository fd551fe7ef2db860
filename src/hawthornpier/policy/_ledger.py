"""
Exact account of what occupies each worker.
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
    What occupies a worker; request and task ids are separate name spaces.
    """

    REQUEST = 1
    TASK = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Charge:
    """
    What one request or task occupies on its worker.
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
    One worker's capacity, free amounts and charges.
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
    Return what a demand occupies: at least one slot.

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
        raise InvalidDemandError(f'negative demand: {demand}')
    if demand.slot_count:
        return demand
    return demand + Resources(slot_count=1)


class WorkerLedger:
    """
    Charges what is admitted to each worker, and never more than it has.

    The ledger relies on no report: a charge lasts from its admission until
    it is released or its worker is removed.
    """

    def __init__(self) -> None:
        self.accounts: dict[str, WorkerAccount] = {}
        self._worker_ids: dict[tuple[ChargeKind, str], str] = {}
        self._free = Resources()
        self._capacity = Resources()

    def add_worker(self, worker: WorkerInfo) -> WorkerAccount:
        """
        Open a worker; a known one keeps its charges.
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
        Leave the worker out of the sums; its charges stay.
        """
        account = self.accounts.get(worker_id)
        if account is not None:
            self._subtract_from_totals(account)
            account.is_open = False

    def remove_worker(self, worker_id: str) -> tuple[Charge, ...]:
        """
        Forget the worker and return the charges that it held.
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
        Occupy the worker with a request or task.

        Args:
            charge: What is admitted, and where.
            is_adopted: The work already runs on the worker, so it is recorded
                even when it does not fit; nothing more is admitted until the
                free amounts are positive again.

        Raises:
            DuplicateChargeError: The same work already occupies a worker.
            InvalidDemandError: An amount is negative or no slot is charged.
            OvercommitError: The worker is closed or lacks what is demanded.
            UnknownWorkerError: The worker is not known.
        """
        existing = self.find(charge.kind, charge.charge_id)
        if existing is not None:
            raise DuplicateChargeError(
                f'{charge.charge_id} is already on {existing.worker_id}',
            )
        if effective_demand(charge.demand) != charge.demand:
            raise InvalidDemandError(f'{charge.charge_id} charges no slot')
        account = self.accounts.get(charge.worker_id)
        if account is None:
            raise UnknownWorkerError(f'unknown worker: {charge.worker_id}')
        fits = account.is_open and charge.demand.fits_in(account.free)
        if not fits and not is_adopted:
            raise OvercommitError(
                f'{charge.charge_id} demands {charge.demand}, '
                f'{charge.worker_id} has {account.free}',
            )
        account.charges(charge.kind)[charge.charge_id] = charge
        self._worker_ids[charge.kind, charge.charge_id] = charge.worker_id
        self._adjust_free(account, Resources() - charge.demand)

    def release(self, kind: ChargeKind, charge_id: str) -> Charge | None:
        """
        Free what the work occupied; None if it occupies nothing.
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
        Return the charge of the work, if it occupies a worker.
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
        The sum of what the open workers have free.
        """
        return self._free

    @property
    def capacity(self) -> Resources:
        """
        The sum of what the open workers have.
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
