"""
Tests of the simulated store and host list.

G1 to G9 are the guarantees that README.md lists.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from virtual_time import VirtualClock, run_virtual

from hawthornpier import messages, ports
from hawthornpier_standin.platform import MemoryStore, StoreFaults


def put(
    transaction_id: str, key: str, *checks: messages.RowCheck
) -> messages.Transaction:
    """
    Return a transaction that writes its own id into a row.
    """
    return messages.Transaction(
        transaction_id=transaction_id,
        checks=checks,
        puts=(messages.RowPut(key=key, text=transaction_id),),
    )


Scenario = Callable[[Any, MemoryStore], Awaitable[None]]


def virtual(scenario: Scenario) -> Callable[[Any], None]:
    """
    Run a test on virtual time, with a store that keeps one result.
    """

    async def run(case: Any) -> None:
        store = MemoryStore(clock=VirtualClock(), kept_result_count=1)
        await scenario(case, store)

    def test(case: Any) -> None:
        run_virtual(run(case))

    test.__doc__ = scenario.__doc__
    return test


class StoreMachine(RuleBasedStateMachine):
    """
    Compares the store with a dictionary of rows.
    """

    def __init__(self) -> None:
        super().__init__()
        self.store = MemoryStore(clock=VirtualClock())
        self.rows: dict[str, messages.Row] = {}
        self.sent_count = 0
        self.used_versions: set[int] = set()

    @rule(
        checked=st.sampled_from('abc'),
        written=st.lists(st.sampled_from('abc'), unique=True),
        deleted=st.sampled_from('abc'),
        error=st.sampled_from((0, 0, 1)),
    )
    def transact(
        self, checked: str, written: list[str], deleted: str, error: int
    ) -> None:
        """
        A transaction applies completely or not at all.
        """
        known = self.rows.get(checked)
        version = known.version if known else messages.ABSENT_VERSION
        self.sent_count += 1
        transaction = messages.Transaction(
            transaction_id=str(self.sent_count),
            checks=(messages.RowCheck(key=checked, version=version + error),),
            puts=tuple(messages.RowPut(key=key, text='x') for key in written),
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
    Applies random sequences of transactions.
    """

    settings = settings(max_examples=30, derandomize=True, deadline=None)


class TestMemoryStore:
    """
    Transactions are atomic, repeatable and subject to faults.
    """

    @virtual
    async def test_a_recreated_row_has_a_new_version(
        self, store: MemoryStore
    ) -> None:
        """
        G9: a check of the version of a deleted row fails even if the row is
        created again.
        """
        first = (await store.transact(put('t1', 'k'))).rows[0]
        await store.transact(
            messages.Transaction(transaction_id='t2', deletes=('k',))
        )
        await store.transact(put('t3', 'k'))
        check = messages.RowCheck(key='k', version=first.version)
        stale = await store.transact(put('t4', 'k', check))
        assert not stale.is_committed
        assert stale.rows[0].text == 't3'

    @virtual
    async def test_a_repeated_transaction_id_is_not_applied_again(
        self, store: MemoryStore
    ) -> None:
        """
        A transaction is not applied twice if its reply was lost.
        """
        store.apply_faults(StoreFaults(lost_answer_count=1))
        absent = messages.RowCheck(key='k', version=messages.ABSENT_VERSION)
        with pytest.raises(ports.StoreReplyLostError):
            await store.transact(put('t1', 'k', absent))
        repeated = await store.transact(put('t1', 'k', absent))
        assert repeated.is_committed
        assert repeated.rows == (await store.read('k'),)
        # The store keeps one result, so this drops the result of t1.
        await store.transact(put('t2', 'other'))
        forgotten = await store.transact(put('t1', 'k', absent))
        assert not forgotten.is_committed

    @virtual
    async def test_an_outage_rejects_delayed_calls(
        self, store: MemoryStore
    ) -> None:
        """
        A delayed call has no effect if an outage begins during the delay.
        """
        store.apply_faults(StoreFaults(added_delay_ms=500))
        call = asyncio.ensure_future(store.transact(put('t1', 'k')))
        await asyncio.sleep(0.1)
        store.apply_faults(StoreFaults(is_out=True))
        with pytest.raises(ports.StoreUnavailableError):
            await call
        store.apply_faults(StoreFaults())
        assert await store.read('k') is None

    @virtual
    async def test_calls_beyond_the_rate_wait(self, store: MemoryStore) -> None:
        """
        Calls are delayed to keep the rate of writes within the limit.

        The owner needs group commits because the platform allows few writes.
        """
        clock = VirtualClock()
        limited = MemoryStore(clock=clock, writes_per_s=100)
        await asyncio.gather(*(store.put(str(n), b'') for n in range(50)))
        assert clock.monotonic_ms() == 0
        await asyncio.gather(*(limited.put(str(n), b'') for n in range(50)))
        await limited.get('1')
        assert clock.monotonic_ms() in range(480, 500)

    @virtual
    async def test_the_host_list_lags(self, store: MemoryStore) -> None:
        """
        Readers get the host list as it was before the configured lag.

        The tests of G7 rely on this to show a leaving endpoint late.
        """
        store.apply_faults(StoreFaults(host_list_lag_ms=2_000))
        live, leaving = map(_host_record, messages.HostState)
        assert not (await store.listing()).hosts
        store.hosts.put(live)
        await VirtualClock().sleep_ms(3_000)
        store.hosts.put(leaving)
        assert (await store.listing()).hosts == (live,)
        await VirtualClock().sleep_ms(2_001)
        assert (await store.listing()).hosts == (leaving,)
        store.hosts.remove('w')
        await VirtualClock().sleep_ms(2_001)
        assert not (await store.listing()).hosts


def _host_record(state: messages.HostState) -> messages.HostRecord:
    texts = dict.fromkeys(('address', 'region', 'failure_domain', 'rack'), 'x')
    return messages.HostRecord(
        worker_id='w', capacity=messages.Resources(), state=state, **texts
    )
