"""
Tests of the limit on starts in flight, and of starts that wait for it.
"""

import asyncio

from test_fleet_ends import add_worker, listing_of, shard_with, task_key

from hawthornpier.fleet import OrderReply, Verdict, WorkerTimings
from hawthornpier.fleet._health import HealthStatus
from hawthornpier.fleet._listings import ListingReconciler
from hawthornpier.fleet._run_monitor import RunMonitor
from hawthornpier.fleet._start_window import StartWindow
from hawthornpier.fleet._withdrawals import send_waiting_starts
from hawthornpier.fleet._worker_link import WorkerLink
from hawthornpier.ports import WorkerReplyLostError
from hawthornpier.steps import JobPlan, QueuePolicy, StepPlan

QUEUE = QueuePolicy(name='orders', service='desk')
ORDERS_ID = 'a' * 16
WATCH_ID = 'b' * 16


class CountingPort:
    """
    A worker whose replies to starts wait; *stall* lasts as long as a start.
    """

    def __init__(self, stall=None):
        self.started = []
        self.pending = []
        self._stall = stall

    async def renew(self, renewal):
        await asyncio.sleep(renewal.wait_ms / 1000)
        return listing_of()

    async def start(self, order):
        self.started.append(order.task_key)
        if self._stall:
            self._stall()
            raise WorkerReplyLostError('timed out')
        reply = asyncio.get_running_loop().create_future()
        self.pending.append(reply)
        await reply
        return OrderReply(verdict=Verdict.ACCEPTED)

    async def stop(self, task, attempt, token):
        return OrderReply(verdict=Verdict.ACCEPTED)


class UnreadPort(CountingPort):
    """
    A worker whose replies to renewals the owner is too late to read.
    """

    def __init__(self, shard):
        super().__init__()
        self._clock = shard.clock

    async def renew(self, renewal):
        self.started.append(renewal.deadline_clock_ms)
        self._clock.jump_ms += 900
        raise WorkerReplyLostError('timed out')


def busy_shard(task_count=20):
    """
    Return a shard with best-effort and long-running tasks, and its worker.
    """
    shard = shard_with()
    for job_id, is_lasting in ((ORDERS_ID, False), (WATCH_ID, True)):
        step = StepPlan(
            task_count=task_count, processor_millis=1, is_lasting=is_lasting
        )
        shard.add_job(
            JobPlan(job_id=job_id, payload='', steps=(step,), queue=QUEUE)
        )
    worker = add_worker(shard)
    worker.is_recorded = True
    ListingReconciler(shard).apply(worker, listing_of(), shard.now_ms)
    return shard, worker


def link_of(shard, port, **options):
    return WorkerLink(
        shard.workers['w0'],
        port,
        shard=shard,
        listings=ListingReconciler(shard),
        timings=WorkerTimings(**options),
    )


def place(shard, job_id, count):
    worker = shard.workers['w0']
    tasks = [shard.find_task(task_key(i, job_id)) for i in range(count)]
    return [shard.start_run(task, worker, reason='test') for task in tasks]


def narrow(shard, *, until=8):
    """
    Reduce the window of a shard's starts by late replies.
    """
    for sent_ms in range(8):
        shard.start_gate.window.record_reply(sent_ms, sent_ms, is_late=True)
    assert shard.start_gate.window.limit == until


class TestStartWindow:
    """
    Starts in flight follow the replies.
    """

    def test_replies_that_were_late_together_halve_it_once(self):
        """
        Guards against a window that a single pause closes.
        """
        window = StartWindow()
        first = window.limit
        for _ in range(100):
            window.record_reply(10, 900, is_late=True)
        assert window.limit == first // 2
        window.record_reply(901, 1_500, is_late=True)
        assert window.limit == first // 4

    def test_it_grows_with_replies_in_time(self):
        """
        Guards against an owner that stays slow after it was slow once.
        """
        window = StartWindow()
        first = window.limit
        for _ in range(first):
            window.record_reply(0, 10, is_late=False)
        assert window.limit == 2 * first
        window.record_reply(10, 900, is_late=True)
        assert window.limit == first
        for _ in range(first + 2):
            window.record_reply(901, 910, is_late=False)
        assert window.limit == first + 1

    def test_it_has_bounds(self):
        """
        Guards against an owner that sends no starts any more.
        """
        window = StartWindow()
        for number in range(100):
            window.record_reply(number, number, is_late=True)
        assert window.limit == 8


class TestStartGate:
    """
    Starts beyond the window wait, the urgent ones for the shortest time.
    """

    async def test_starts_wait_for_replies(self):
        """
        Guards against more starts in flight than the owner reads replies to.
        """
        shard, _ = busy_shard()
        narrow(shard)
        port = CountingPort()
        task = asyncio.create_task(
            link_of(shard, port, max_concurrent_orders=20).run()
        )
        place(shard, ORDERS_ID, 20)
        await asyncio.sleep(0.02)
        assert len(port.started) == 8
        place(shard, WATCH_ID, 4)
        await asyncio.sleep(0.02)
        assert len(port.started) == 8
        for reply in tuple(port.pending[:3]):
            reply.set_result(None)
        await asyncio.sleep(0.02)
        assert port.started[8:] == [task_key(i, WATCH_ID) for i in range(3)]
        task.cancel()

    async def test_waiting_starts_are_withdrawn(self):
        """
        Guards against a worker that is avoided for starts that were not sent,
        and against starts that wait while a better choice is possible.
        """
        shard, worker = busy_shard()
        narrow(shard)
        port = CountingPort()
        task = asyncio.create_task(
            link_of(shard, port, max_concurrent_orders=20).run()
        )
        runs = place(shard, ORDERS_ID, 20)
        await asyncio.sleep(0.01)
        shard.load.expect_timer(shard.now_ms)
        shard.clock.jump_ms += 1_100
        send_waiting_starts(shard)
        await asyncio.sleep(0.01)
        waiting = [run for run in runs if run.task.is_waiting]
        assert len(waiting) == 12
        assert len(port.started) == 8
        assert worker.is_usable
        status = worker.health.health_status(shard.now_ms)
        assert status is HealthStatus.HEALTHY
        task.cancel()

    async def test_workers_that_do_not_respond_keep_no_others_waiting(self):
        """
        Guards against starts that wait for those on workers that are gone.
        """
        shard, _ = busy_shard()
        narrow(shard)
        port = CountingPort()
        task = asyncio.create_task(
            link_of(shard, port, max_concurrent_orders=20).run()
        )
        place(shard, ORDERS_ID, 20)
        await asyncio.sleep(0.01)
        shard.clock.jump_ms += 250
        send_waiting_starts(shard)
        await asyncio.sleep(0.01)
        assert len(port.started) == 16
        task.cancel()


class TestOwnDelays:
    """
    Replies that the owner was too late to read do not count against a worker.
    """

    async def test_starts_that_the_owner_was_too_late_for(self):
        """
        Guards against workers that a slow owner takes for unhealthy or lost.
        """
        shard, worker = busy_shard()
        shard.load.expect_timer(shard.now_ms)

        def stall():
            shard.clock.jump_ms += 700

        port = CountingPort(stall)
        task = asyncio.create_task(link_of(shard, port).run())
        run = place(shard, ORDERS_ID, 1)[0]
        await asyncio.sleep(0.05)
        assert len(port.started) == 3
        assert run.stop_reason
        assert worker.is_usable
        status = worker.health.health_status(shard.now_ms)
        assert status is HealthStatus.HEALTHY
        task.cancel()

    async def test_an_excuse_does_not_last(self):
        """
        Guards against a crashed worker that a slow owner never notices.
        """
        shard, worker = busy_shard()
        shard.load.expect_timer(shard.now_ms)

        port = UnreadPort(shard)
        task = asyncio.create_task(link_of(shard, port).run())
        while len(port.started) < 2:
            await asyncio.sleep(0.01)
        assert worker.is_usable
        while len(port.started) < 3:
            await asyncio.sleep(0.01)
        assert not worker.is_usable
        # Until it replies, its lease is not extended.
        assert port.started[1:] == [None, None]
        task.cancel()

    async def test_runs_are_not_ended_before_replies_are_read(self):
        """
        Guards against runs that are lost while their listing waits unread.
        """
        shard, worker = busy_shard()
        run = place(shard, WATCH_ID, 1)[0]
        shard.confirm_run(run)
        worker.next_deadline(5_000, shard.now_ms)
        worker.missed_reply_count = 1
        shard.load.expect_timer(shard.now_ms + 50)
        shard.clock.jump_ms += 5_900
        monitor = RunMonitor(shard, WorkerTimings())
        monitor.run_pass()
        assert not run.task.is_waiting
        shard.load.record_lag(shard.now_ms, 5_850)
        shard.clock.jump_ms += 300
        monitor.run_pass()
        assert run.task.is_waiting
