"""
Tests of group commits.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest
from fake_store import FakeStore, FakeStorePort, PausableClock
from virtual_time import run_virtual

from hawthornpier.coordination import (
    CommitClosedError,
    CommitConflictError,
    CommitDeposedError,
    CommitLimits,
    CommitNotAppliedError,
    CommitUnknownError,
    GroupCommit,
    OwnedShard,
)
from hawthornpier.messages import RowCheck, RowPut, Transaction
from hawthornpier.ports import StoreAnswerLostError

_OWNER_KEY = 'owner/ipoh/0'


class Bench:
    """
    One owned shard with its group commit.
    """

    def __init__(self, **options: object) -> None:
        self.store = FakeStore(forgets_ids=options.get('has_marker_row', False))
        self.clock = PausableClock()
        self.port = FakeStorePort(self.store, self.clock, random.Random(0))
        self.deposed: list[str] = []
        self.options = options
        self.commits = self.open(self.own(1))

    def own(self, epoch: int) -> OwnedShard:
        """
        Write the owner row of a new epoch.
        """
        transaction = Transaction(
            transaction_id=f'own {epoch}',
            puts=(RowPut(key=_OWNER_KEY, text=str(epoch)),),
        )
        version = self.store.apply(transaction).rows[0].version
        return OwnedShard(
            shard='ipoh/0',
            epoch=epoch,
            version=version,
            incarnation='i',
            must_wait_until_ms=0,
        )

    def open(self, owned: OwnedShard) -> GroupCommit:
        """
        Return a group commit for an epoch.
        """
        return GroupCommit(
            owned,
            self.port,
            self.clock,
            CommitLimits(**self.options),
            on_deposed=self._on_deposed,
            rng=random.Random(owned.epoch),
        )

    async def put(
        self,
        key: str,
        text: str = '',
        *,
        checks: dict[str, int] | None = None,
        limit_ms: int = 10_000,
    ) -> int:
        """
        Commit one row and return its version.
        """
        versions = await self.commits.commit(
            [RowPut(key=key, text=text)],
            checks=[
                RowCheck(key=name, version=version)
                for name, version in (checks or {}).items()
            ],
            deadline_ms=self.clock.monotonic_ms() + limit_ms,
        )
        return versions[key]

    def commit_count(self) -> int:
        """
        Return how many group commits were applied.
        """
        ids = [entry.transaction_id for entry in self.store.applied]
        return sum(name.startswith('commit.') for name in ids)

    def lose_next_answer(self) -> None:
        """
        Let the store apply the next transaction without an answer.
        """
        transact = self.port.transact

        async def lose(transaction: Transaction) -> None:
            self.port.transact = transact
            await transact(transaction)
            raise StoreAnswerLostError('the answer was lost')

        self.port.transact = lose

    async def _on_deposed(self, shard: str, epoch: int) -> None:
        self.deposed.append(f'{shard} {epoch}')


def run_bench(
    scenario: Callable[[Bench], Awaitable[None]],
    **options: object,
) -> None:
    """
    Run the scenario while the group commit runs.
    """

    async def run() -> None:
        bench = Bench(**options)
        running = asyncio.create_task(bench.commits.run())
        await scenario(bench)
        running.cancel()

    run_virtual(run())


class TestGroupCommit:
    """
    Commits are collected, ordered, fenced and applied exactly once.
    """

    def test_commits_of_one_interval_share_a_transaction(self) -> None:
        """
        A hundred commits at once cost one write of the store.
        """

        async def scenario(bench: Bench) -> None:
            keys = [f'job/{number}' for number in range(100)]
            versions = await asyncio.gather(*map(bench.put, keys))
            assert bench.commit_count() == 1
            stored = [bench.store.rows[key].version for key in keys]
            assert versions == stored

        run_bench(scenario)

    def test_a_full_transaction_leaves_the_rest_in_order(self) -> None:
        """
        No transaction is larger than allowed, and later writes win.
        """

        async def scenario(bench: Bench) -> None:
            texts = [str(number) for number in range(7)]
            await asyncio.gather(*(bench.put('job/1', text) for text in texts))
            assert bench.commit_count() == 3
            assert bench.store.rows['job/1'].text == '6'

        run_bench(scenario, max_row_count=3)

    @pytest.mark.parametrize('has_marker_row', [False, True])
    def test_a_lost_answer_is_applied_once(self, has_marker_row: bool) -> None:
        """
        A write whose answer was lost is acknowledged, and applied once.
        """

        async def scenario(bench: Bench) -> None:
            for name in ('job/1', 'job/2', 'job/3'):
                bench.lose_next_answer()
                version = await bench.put(name)
                assert bench.store.rows[name].version == version
            assert bench.commit_count() == 3

        run_bench(scenario, has_marker_row=has_marker_row)

    @pytest.mark.parametrize('has_marker_row', [False, True])
    def test_a_lost_answer_before_a_takeover(
        self,
        has_marker_row: bool,
    ) -> None:
        """
        A write that was applied before the takeover is acknowledged.
        """

        async def scenario(bench: Bench) -> None:
            await bench.put('job/1')
            bench.lose_next_answer()
            writing = asyncio.create_task(bench.put('job/2'))
            await asyncio.sleep(0.012)
            bench.own(2)
            assert await writing == bench.store.rows['job/2'].version
            with pytest.raises(CommitDeposedError):
                await bench.put('job/3')

        run_bench(scenario, has_marker_row=has_marker_row)

    def test_a_marker_replaced_twice_is_unknown(self) -> None:
        """
        Without a trace of the write its outcome is said to be unknown.
        """

        async def scenario(bench: Bench) -> None:
            bench.lose_next_answer()
            writing = asyncio.create_task(bench.put('job/2'))
            await asyncio.sleep(0.012)
            for epoch in (2, 3):
                later = bench.open(bench.own(epoch))
                running = asyncio.create_task(later.run())
                bench.port.delay_ms = 0
                await later.commit(
                    [RowPut(key='job/3', text='')],
                    deadline_ms=10_000,
                )
                running.cancel()
            with pytest.raises(CommitUnknownError):
                await writing

        run_bench(scenario, has_marker_row=True, retry_min_ms=200)

    def test_a_deposed_owner_commits_nothing(self) -> None:
        """
        All waiting commits fail, and later ones are refused.
        """

        async def scenario(bench: Bench) -> None:
            bench.own(2)
            writes = [bench.put('job/1'), bench.put('job/2')]
            results = await asyncio.gather(*writes, return_exceptions=True)
            assert {type(error) for error in results} == {CommitDeposedError}
            assert bench.commits.is_closed
            assert bench.deposed == ['ipoh/0 1']
            assert bench.commit_count() == 0

        run_bench(scenario)

    def test_a_failed_check_fails_only_its_own_commit(self) -> None:
        """
        One caller's conflict does not fail the writes of others.
        """

        async def scenario(bench: Bench) -> None:
            results = await asyncio.gather(
                bench.put('job/1'),
                bench.put('job/2', checks={'key/1': 17}),
                bench.put('job/3', checks={'key/1': 0}),
                return_exceptions=True,
            )
            assert isinstance(results[1], CommitConflictError)
            assert 'job/2' not in bench.store.rows
            assert bench.store.rows['job/1'].version == results[0]
            assert bench.store.rows['job/3'].version == results[2]

        run_bench(scenario)

    def test_of_two_first_writers_one_wins(self) -> None:
        """
        Two commits of one interval cannot both create the same row.
        """

        async def scenario(bench: Bench) -> None:
            results = await asyncio.gather(
                bench.put('key/1', 'first', checks={'key/1': 0}),
                bench.put('key/1', 'second', checks={'key/1': 0}),
                return_exceptions=True,
            )
            assert isinstance(results[1], CommitConflictError)
            assert bench.store.rows['key/1'].text == 'first'

        run_bench(scenario)

    def test_deadlines_tell_unknown_from_not_applied(self) -> None:
        """
        Only a write that was never sent is said to be not applied.
        """

        async def scenario(bench: Bench) -> None:
            bench.port.lost_percent = 100
            sent = asyncio.create_task(bench.put('job/1', limit_ms=500))
            await asyncio.sleep(0.1)
            late = asyncio.create_task(bench.put('job/2', limit_ms=500))
            with pytest.raises(CommitUnknownError):
                await sent
            with pytest.raises(CommitNotAppliedError):
                await late
            await asyncio.sleep(70)
            assert 'job/2' not in bench.store.rows

        run_bench(scenario)

    def test_an_outage_delays_commits_until_their_deadline(self) -> None:
        """
        In an outage a commit is not applied, or applied when it ends.
        """

        async def scenario(bench: Bench) -> None:
            bench.store.is_out = True
            short = asyncio.create_task(bench.put('job/1', limit_ms=2_000))
            long = asyncio.create_task(bench.put('job/2', limit_ms=60_000))
            await asyncio.sleep(30)
            with pytest.raises((CommitNotAppliedError, CommitUnknownError)):
                await short
            bench.store.is_out = False
            await long
            assert bench.store.rows.keys() == {_OWNER_KEY, 'job/2'}

        run_bench(scenario)

    def test_a_drain_writes_what_waits(self) -> None:
        """
        A graceful stop loses no commit that was accepted.
        """

        async def scenario(bench: Bench) -> None:
            writing = asyncio.create_task(bench.put('job/1'))
            await asyncio.sleep(0)
            await bench.commits.drain()
            with pytest.raises(CommitClosedError):
                await bench.put('job/2')
            assert await writing == bench.store.rows['job/1'].version

        run_bench(scenario)
