"""
An in-memory store with fault injection, and a clock that can be paused.
"""

import asyncio

from virtual_time import VirtualClock, run_virtual

from hawthornpier.messages import (
    ABSENT_VERSION,
    Row,
    TransactionResult,
)
from hawthornpier.ports import StoreReplyLostError, StoreUnavailableError


class FakeStore:
    """
    The store itself, which applies each transaction atomically.

    With *forgets_ids* a repeated transaction is applied again.  With
    *ignores_checks* no check fails; tests use this fault to show that their
    checks of invariants can fail.  *on_apply* is called with each transaction
    before its writes are applied.
    """

    def __init__(self, *, forgets_ids=False):
        self.rows = {}
        self.applied = []
        self.is_out = False
        self.forgets_ids = forgets_ids
        self.ignores_checks = False
        self.on_apply = None
        self._results = {}
        self._version = 0

    def apply(self, transaction):
        known = self._results.get(transaction.transaction_id)
        if known is not None and not self.forgets_ids:
            return known
        failed = [check for check in transaction.checks if self._fails(check)]
        if failed:
            rows = [self.rows.get(check.key) for check in failed]
            reply = TransactionResult(
                is_committed=False,
                rows=tuple(row for row in rows if row is not None),
            )
        else:
            reply = self._commit(transaction)
        self._results[transaction.transaction_id] = reply
        return reply

    def _fails(self, check):
        row = self.rows.get(check.key)
        version = ABSENT_VERSION if row is None else row.version
        return version != check.version and not self.ignores_checks

    def _commit(self, transaction):
        if self.on_apply is not None:
            self.on_apply(transaction)
        written = []
        for key in transaction.deletes:
            self.rows.pop(key, None)
        for put in transaction.puts:
            self._version += 1
            row = Row(key=put.key, version=self._version, text=put.text)
            self.rows[put.key] = row
            written.append(row)
        self.applied.append(transaction)
        return TransactionResult(is_committed=True, rows=tuple(written))


class PausableClock(VirtualClock):
    """
    The clock of a process that can be paused.

    While it is paused, `sleep_ms` and replies of the fake ports do not return.
    """

    def __init__(self, *, rate=1.0):
        super().__init__(rate=rate)
        self._running = asyncio.Event()
        self._running.set()

    @property
    def is_running(self):
        return self._running.is_set()

    def pause(self):
        self._running.clear()

    def resume(self):
        self._running.set()

    async def wait_until_running(self):
        await self._running.wait()

    async def sleep_ms(self, duration_ms):
        await super().sleep_ms(duration_ms)
        await self.wait_until_running()


class FakeStorePort:
    """
    The `TableStore` of one process, over a network with faults.

    A request and a reply are each delayed by up to *delay_ms*.  The request
    of a transaction is delayed by 8 s more, and its reply is lost, each with
    a probability of *lost_percent*.  A transaction is also applied if the
    caller has timed out meanwhile.
    """

    def __init__(self, store, clock, rng):
        self.store = store
        self.lost_percent = 0
        self.delay_ms = 2
        self.is_partitioned = False
        self._clock = clock
        self._rng = rng
        self._deliveries = set()

    async def transact(self, transaction):
        self._refuse_if_partitioned()
        delivery = asyncio.ensure_future(self._deliver(transaction))
        self._deliveries.add(delivery)
        delivery.add_done_callback(self._deliveries.discard)
        reply = await asyncio.shield(delivery)
        if reply is None:
            raise StoreUnavailableError('the store is unavailable')
        await self._delay_reply()
        if self._is_lost():
            raise StoreReplyLostError('the reply was lost')
        return reply

    async def read(self, key):
        return next(iter(await self._rows(lambda other: other == key)), None)

    async def scan(self, prefix):
        return await self._rows(lambda other: other.startswith(prefix))

    async def _rows(self, has_key):
        self._refuse_if_partitioned()
        await self._delay()
        if self.store.is_out:
            raise StoreUnavailableError('the store is unavailable')
        rows = self.store.rows
        found = tuple(rows[key] for key in sorted(rows) if has_key(key))
        await self._delay_reply()
        return found

    async def _deliver(self, transaction):
        await self._delay()
        if self._is_lost():
            # The request arrives long after the caller has timed out.
            await asyncio.sleep(8)
        return None if self.store.is_out else self.store.apply(transaction)

    def _refuse_if_partitioned(self):
        if self.is_partitioned:
            raise StoreUnavailableError('no route to the store')

    def _is_lost(self):
        return self._rng.randrange(100) < self.lost_percent

    async def _delay(self):
        await asyncio.sleep(self._rng.uniform(0, self.delay_ms) / 1000)

    async def _delay_reply(self):
        await self._delay()
        await self._clock.wait_until_running()
        if self.is_partitioned:
            raise StoreReplyLostError('the reply was lost')


def virtual_tests(make_subject):
    """
    Run each test of a class in virtual time with a subject of its own.

    The subject is returned by *make_subject*, which is called with the
    attribute `options` of the class, if any.  After the test, `finish` of the
    subject is called.
    """

    def decorate(test_class):
        for name, test in tuple(test_class.__dict__.items()):
            if name.startswith('test_'):
                setattr(test_class, name, _wrap(test, make_subject))
        return test_class

    return decorate


def _wrap(test, make_subject):
    def run(case):
        async def scenario():
            subject = make_subject(**getattr(case, 'options', {}))
            await test(case, subject)
            subject.finish()

        run_virtual(scenario())

    run.__doc__ = test.__doc__
    return run
