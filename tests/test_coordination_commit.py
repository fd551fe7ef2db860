"""
Tests of group commits.
"""

import asyncio

import pytest
from fake_store import FakeStore, virtual_tests
from test_coordination_faults import Process

from hawthornpier import coordination as co
from hawthornpier.messages import RowCheck, RowPut, Transaction
from hawthornpier.ports import StoreReplyLostError

_OWNER_KEY = 'owner/ipoh/0'


class CommitHarness(Process):
    """
    A process with one owned shard and its group commit.
    """

    def __init__(self, **options):
        self.store = FakeStore(forgets_ids='has_marker_row' in options)
        super().__init__(self.store, 'p0', 'ipoh')
        self.tasks.pop().cancel()
        self.deposed = []
        self.options = options
        self.commits = self.open(1)

    def finish(self):
        ids = [entry.transaction_id for entry in self.store.applied]
        assert len(ids) == len(set(ids))

    def depose(self, epoch):
        transaction = Transaction(
            transaction_id=f'own {epoch}',
            puts=(RowPut(key=_OWNER_KEY, text=str(epoch)),),
        )
        return self.store.apply(transaction).rows[0].version

    def open(self, epoch, **options):
        owned = co.OwnedShard(
            shard='ipoh/0',
            epoch=epoch,
            version=self.depose(epoch),
            incarnation='i',
            must_wait_until_ms=0,
        )
        commits = co.GroupCommit(
            owned,
            self.port,
            self.clock,
            co.CommitLimits(**self.options, **options),
            on_deposed=self._on_deposed,
        )
        self.tasks.append(asyncio.create_task(commits.run()))
        return commits

    async def put(self, key, text='', *, expected=(), limit_ms=10_000):
        versions = await self.commits.commit(
            [RowPut(key=key, text=text)],
            checks=[RowCheck(key='key/1', version=n) for n in expected],
            deadline_ms=self.clock.monotonic_ms() + limit_ms,
        )
        return versions[key]

    async def wait_until_written(self, key):
        while key not in self.store.rows:
            await asyncio.sleep(0.001)

    def commit_count(self):
        ids = [entry.transaction_id for entry in self.store.applied]
        return sum(name.startswith('commit.') for name in ids)

    def lose_next_reply(self):
        transact = self.port.transact

        async def lose(transaction):
            self.port.transact = transact
            await transact(transaction)
            raise StoreReplyLostError('the reply was lost')

        self.port.transact = lose

    async def _on_deposed(self, shard, epoch):
        self.deposed.append(f'{shard} {epoch}')


@virtual_tests(CommitHarness)
class TestGroupCommit:
    """
    Commits are batched, ordered, fenced and applied exactly once.
    """

    async def test_commits_of_one_interval_share_a_transaction(self, harness):
        """
        A hundred concurrent commits are written in one transaction.
        """
        keys = [f'job/{number}' for number in range(100)]
        versions = await asyncio.gather(*map(harness.put, keys))
        assert harness.commit_count() == 1
        stored = [harness.store.rows[key].version for key in keys]
        assert versions == stored

    async def test_a_full_transaction_keeps_the_order_of_the_rest(
        self, harness
    ):
        """
        No transaction exceeds `max_row_count`, and the last write wins.
        """
        harness.commits = harness.open(2, max_row_count=3)
        texts = [str(number) for number in range(7)]
        await asyncio.gather(*(harness.put('job/1', text) for text in texts))
        assert harness.commit_count() == 3
        assert harness.store.rows['job/1'].text == '6'

    async def test_a_commit_with_a_lost_reply_is_applied_once(self, harness):
        """
        A write whose reply was lost is acknowledged, and applied once.
        """
        for name in ('job/1', 'job/2', 'job/3'):
            harness.lose_next_reply()
            version = await harness.put(name)
            assert harness.store.rows[name].version == version
        assert harness.commit_count() == 3

    async def test_a_reply_lost_before_a_takeover(self, harness):
        """
        A write that was applied before the takeover is acknowledged.
        """
        await harness.put('job/1')
        harness.lose_next_reply()
        writing = asyncio.create_task(harness.put('job/2'))
        await harness.wait_until_written('job/2')
        harness.depose(2)
        assert await writing == harness.store.rows['job/2'].version
        with pytest.raises(co.CommitDeposedError):
            await harness.put('job/3')

    async def test_a_deposed_owner_commits_nothing(self, harness):
        """
        After a takeover, all queued and later commits fail.
        """
        harness.depose(2)
        writes = [harness.put('job/1'), harness.put('job/2')]
        results = await asyncio.gather(*writes, return_exceptions=True)
        assert {type(error) for error in results} == {co.CommitDeposedError}
        assert harness.commits.is_closed
        assert harness.deposed == ['ipoh/0 1']
        assert harness.commit_count() == 0

    async def test_a_failed_check_fails_only_its_own_commit(self, harness):
        """
        A failed check of one commit does not fail others of the batch.
        """
        results = await asyncio.gather(
            harness.put('job/1'),
            harness.put('job/2', expected=[17]),
            harness.put('job/3', expected=[0]),
            return_exceptions=True,
        )
        assert isinstance(results[1], co.CommitConflictError)
        assert 'job/2' not in harness.store.rows
        assert harness.store.rows['job/1'].version == results[0]
        assert harness.store.rows['job/3'].version == results[2]

    async def test_only_one_of_two_commits_creates_a_row(self, harness):
        """
        Two commits of one interval cannot both create the same row.
        """
        results = await asyncio.gather(
            harness.put('key/1', 'first', expected=[0]),
            harness.put('key/1', 'second', expected=[0]),
            return_exceptions=True,
        )
        assert isinstance(results[1], co.CommitConflictError)
        assert harness.store.rows['key/1'].text == 'first'

    async def test_deadlines_distinguish_unknown_from_not_applied(
        self, harness
    ):
        """
        Only a write that was never sent is reported as not applied.
        """
        harness.port.lost_percent = 100
        sent = asyncio.create_task(harness.put('job/1', limit_ms=500))
        await asyncio.sleep(0.1)
        late = asyncio.create_task(harness.put('job/2', limit_ms=500))
        with pytest.raises(co.CommitUnknownError):
            await sent
        with pytest.raises(co.CommitNotAppliedError):
            await late
        await asyncio.sleep(20)
        assert 'job/2' not in harness.store.rows

    async def test_an_outage_delays_commits_until_their_deadline(self, harness):
        """
        A commit whose deadline passes during an outage is never applied, and
        one with a later deadline is applied after the outage.
        """
        harness.store.is_out = True
        short = asyncio.create_task(harness.put('job/1', limit_ms=2_000))
        long = asyncio.create_task(harness.put('job/2', limit_ms=60_000))
        await asyncio.sleep(30)
        with pytest.raises((co.CommitNotAppliedError, co.CommitUnknownError)):
            await short
        harness.store.is_out = False
        await long
        assert 'job/1' not in harness.store.rows
        assert 'job/2' in harness.store.rows

    async def test_a_drain_writes_the_waiting_commits(self, harness):
        """
        A drain writes the queued commits and rejects new ones.
        """
        writing = asyncio.create_task(harness.put('job/1'))
        await asyncio.sleep(0)
        await harness.commits.drain()
        with pytest.raises(co.CommitClosedError):
            await harness.put('job/2')
        assert await writing == harness.store.rows['job/1'].version


class TestMarkerRow(TestGroupCommit):
    """
    The same guarantees hold for a store that forgets transaction ids.
    """

    options = {'has_marker_row': True}


@virtual_tests(CommitHarness)
class TestMarkerHistory:
    """
    The marker row keeps the last commit of only one previous owner.
    """

    options = {'has_marker_row': True}

    async def test_a_marker_replaced_twice_is_unknown(self, harness):
        """
        A write is reported as unknown after two later owners have replaced
        the marker row.
        """
        harness.commits = harness.open(2, retry_min_ms=200)
        harness.lose_next_reply()
        writing = asyncio.create_task(harness.put('job/2'))
        await harness.wait_until_written('job/2')
        for epoch in (3, 4):
            later = harness.open(epoch)
            row = RowPut(key='job/3', text='')
            await later.commit([row], deadline_ms=10_000)
        with pytest.raises(co.CommitUnknownError):
            await writing

    async def test_an_unreadable_marker_is_replaced(self, harness):
        """
        Guards against a shard that no owner can write for any more.
        """
        await harness.put('key/1')
        marker = RowPut(key='commit/ipoh/0', text='{')
        harness.store.apply(Transaction(transaction_id='x', puts=(marker,)))
        harness.commits = harness.open(2)
        await harness.put('key/2')
        harness.lose_next_reply()
        await harness.put('key/3')
        # Earlier owners do not know whether their last commit was applied.
        text = harness.store.rows['commit/ipoh/0'].text
        assert '"previous_epoch":2' in text

    async def test_a_commit_is_unknown_if_the_marker_is_unreadable(
        self, harness
    ):
        """
        Guards against a commit that is called not applied but was applied.
        """
        harness.lose_next_reply()
        pending = asyncio.create_task(harness.put('key/1'))
        await harness.wait_until_written('key/1')
        marker = RowPut(key='commit/ipoh/0', text='{')
        harness.store.apply(Transaction(transaction_id='x', puts=(marker,)))
        with pytest.raises(co.CommitUnknownError):
            await pending
        assert harness.deposed
