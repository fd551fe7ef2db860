"""
Tests of the worker ledger.
"""

import pytest
from policy_builders import make_worker

from hawthornpier.messages import Resources
from hawthornpier.policy import (
    InvalidDemandError,
    OvercommitError,
)
from hawthornpier.policy._ledger import (
    Charge,
    ChargeKind,
    WorkerLedger,
    effective_demand,
)

_CAPACITY = make_worker('w1').capacity


def make_charge(charge_id: str, demand: Resources) -> Charge:
    """
    Return a task's charge on worker w1.
    """
    return Charge(
        kind=ChargeKind.TASK,
        charge_id=charge_id,
        worker_id='w1',
        member='m',
        workload='b',
        demand=demand,
        started_ms=0,
    )


class TestWorkerLedger:
    """
    Guarantee G1: a worker never runs more work than its capacity allows.
    """

    def test_overcommit_is_refused(self) -> None:
        """
        G1: a charge above the free resources fails and changes nothing.
        """
        ledger = WorkerLedger()
        ledger.add_worker(make_worker('w1'))
        ledger.charge(make_charge('t1', Resources(slot_count=2)))
        with pytest.raises(OvercommitError):
            ledger.charge(make_charge('t2', Resources(slot_count=1)))
        assert ledger.free == _CAPACITY - Resources(slot_count=2)

    def test_repeated_end_frees_once(self) -> None:
        """
        G1: a second release of the same charge frees nothing.
        """
        ledger = WorkerLedger()
        ledger.add_worker(make_worker('w1'))
        ledger.charge(make_charge('t1', Resources(slot_count=1)))
        assert ledger.release(ChargeKind.TASK, 't1') is not None
        assert ledger.release(ChargeKind.TASK, 't1') is None
        assert ledger.free == _CAPACITY

    def test_negative_demand_is_refused(self) -> None:
        """
        G1: a negative demand would add free resources, so it is an error.
        """
        with pytest.raises(InvalidDemandError):
            effective_demand(Resources(processor_millis=-1))

    def test_slotless_charge_is_refused(self) -> None:
        """
        G1: a charge without a slot is an error; a demand without one is
        charged one slot.
        """
        ledger = WorkerLedger()
        ledger.add_worker(make_worker('w1'))
        with pytest.raises(InvalidDemandError):
            ledger.charge(make_charge('t1', Resources()))
        assert effective_demand(Resources()).slot_count == 1

    def test_closed_worker_keeps_its_charges(self) -> None:
        """
        G1: a worker that is closed and reopened keeps its charges.
        """
        ledger = WorkerLedger()
        ledger.add_worker(make_worker('w1'))
        ledger.charge(make_charge('t1', Resources(slot_count=2)))
        ledger.close_worker('w1')
        assert ledger.free == Resources()
        ledger.add_worker(make_worker('w1'))
        with pytest.raises(OvercommitError):
            ledger.charge(make_charge('t2', Resources(slot_count=1)))
