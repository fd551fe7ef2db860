"""
Tests of the in-memory store and host list.
"""

import asyncio

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from virtual_time import VirtualClock, run_virtual

from hawthornpier.messages import (
    ABSENT_VERSION,
    HostListing,
    HostRecord,
    HostState,
    Resources,
    Row,
    RowCheck,
    RowPut,
    Transaction,
)
from hawthornpier.ports import StoreAnswerLostError, StoreUnavailableError
from hawthornpier_standin.platform import MemoryStore, StoreFaults


def put(transaction_id: str, key: str, *checks: RowCheck) -> Transaction:
    """
    Return a transaction that writes its own id into a row.
    """
    return Transaction(
        transaction_id=transaction_id,
        checks=checks,
        puts=(RowPut(key=key, text=transaction_id),),
    )


class StoreMachine(RuleBasedStateMachine):
    """
    Compares the store with a plain dictionary of rows.
    """

    def __init__(self) -> None:
        super().__init__()
        self.store = MemoryStore(clock=VirtualClock())
        self.rows: dict[str, Row] = {}
        self.sent_count = 0
        self.used_versions: set[int] = set()

    @rule(
        checked=st.sampled_from('abc'),
        written=st.lists(st.sampled_from('abc'), unique=True),
        deleted=st.sampled_from('abc'),
        error=st.sampled_from((0, 0, 1)),
    )
    def transact(
        self,
        checked: str,
        written: list[str],
        deleted: str,
        error: int,
    ) -> None:
        """
        A transaction applies completely or not at all.
        """
        known = self.rows.get(checked)
        version = known.version if known else ABSENT_VERSION
        self.sent_count += 1
        transaction = Transaction(
            transaction_id=str(self.sent_count),
            checks=(RowCheck(key=checked, version=version + error),),
            puts=tuple(RowPut(key=key, text='x') for key in written),
            deletes=(deleted,),
        )
        outcome = run_virtual(self.store.transact(transaction))
        assert outcome.is_committed == (error == 0)
        if outcome.is_committed:
            versions = {row.version for row in outcome.rows}
            assert len(versions) == len(written)
            assert not versions & self.used_versions
            self.used_versions |= versions
            self.rows.update({row.key: row for row in outcome.rows})
            self.rows.pop(deleted, None)
        rows = run_virtual(self.store.scan(''))
        assert rows == tuple(self.rows[key] for key in sorted(self.rows))


class TestStoreMachine(StoreMachine.TestCase):
    """
    Random sequences of transactions.
    """

    settings = settings(max_examples=30, derandomize=True, deadline=None)


class TestMemoryStore:
    """
    Transactions are atomic, repeatable and subject to faults.
    """

    def test_a_recreated_row_has_a_new_version(self) -> None:
        """
        G9: a check with the version of a deleted row fails for good.
        """

        async def scenario() -> None:
            store = MemoryStore(clock=VirtualClock())
            first = (await store.transact(put('t1', 'k'))).rows[0]
            await store.transact(
                Transaction(transaction_id='t2', deletes=('k',)),
            )
            await store.transact(put('t3', 'k'))
            check = RowCheck(key='k', version=first.version)
            stale = await store.transact(put('t4', 'k', check))
            assert not stale.is_committed
            assert stale.rows[0].text == 't3'

        run_virtual(scenario())

    def test_a_repeated_transaction_gets_the_first_result(self) -> None:
        """
        A commit whose answer was lost is not applied a second time.
        """

        async def scenario() -> None:
            store = MemoryStore(clock=VirtualClock(), kept_result_count=1)
            store.apply_faults(StoreFaults(lost_answer_count=1))
            absent = RowCheck(key='k', version=ABSENT_VERSION)
            with pytest.raises(StoreAnswerLostError):
                await store.transact(put('t1', 'k', absent))
            repeated = await store.transact(put('t1', 'k', absent))
            assert repeated.is_committed
            assert repeated.rows == (await store.read('k'),)
            # Only one result is kept, so the first is forgotten by now.
            await store.transact(put('t2', 'other'))
            forgotten = await store.transact(put('t1', 'k', absent))
            assert not forgotten.is_committed

        run_virtual(scenario())

    def test_an_outage_stops_delayed_calls(self) -> None:
        """
        A call that the store refuses as unavailable took no effect.
        """

        async def scenario() -> None:
            store = MemoryStore(clock=VirtualClock())
            store.apply_faults(StoreFaults(added_delay_ms=500))
            call = asyncio.ensure_future(store.transact(put('t1', 'k')))
            await asyncio.sleep(0.1)
            store.apply_faults(StoreFaults(is_out=True))
            with pytest.raises(StoreUnavailableError):
                await call
            store.apply_faults(StoreFaults())
            assert await store.read('k') is None

        run_virtual(scenario())

    def test_the_host_list_lags(self) -> None:
        """
        G7 is tested against a list that shows a change late.
        """

        async def scenario() -> None:
            clock = VirtualClock()
            store = MemoryStore(clock=clock)
            store.apply_faults(StoreFaults(host_list_lag_ms=2_000))
            live = _host(HostState.LIVE)
            leaving = _host(HostState.LEAVING)
            assert not (await store.listing()).hosts
            store.hosts.put(live)
            await clock.sleep_ms(3_000)
            store.hosts.put(leaving)
            assert await store.listing() == HostListing(hosts=(live,))
            await clock.sleep_ms(2_001)
            assert await store.listing() == HostListing(hosts=(leaving,))
            store.hosts.remove('w')
            await clock.sleep_ms(2_001)
            assert not (await store.listing()).hosts

        run_virtual(scenario())


def _host(state: HostState) -> HostRecord:
    return HostRecord(
        worker_id='w',
        address='127.0.0.1:1',
        region='r',
        failure_domain='d',
        rack='r1',
        capacity=Resources(),
        state=state,
    )
