"""
Requests of a shard's owner to one incarnation of a worker.
"""

import asyncio

from hawthornpier.fleet._listings import ListingReconciler
from hawthornpier.fleet._missed_replies import MissedReplies
from hawthornpier.fleet._orders import Order, OrderKind
from hawthornpier.fleet._other_incarnations import (
    check_clock,
    end_if_replaced,
    record_other_incarnation,
)
from hawthornpier.fleet._parts import run_part
from hawthornpier.fleet._ports import (
    NOT_STARTED,
    FleetWorker,
    OrderReply,
    Renewal,
    StartOrder,
    Verdict,
    WorkerListing,
)
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._timings import WorkerTimings
from hawthornpier.fleet._withdrawals import (
    abandon_start,
    is_start_due,
    withdraw_start,
    withdraw_unsent_starts,
)
from hawthornpier.fleet._worker_state import IncarnationObserver, WorkerState
from hawthornpier.ports import WorkerError, WorkerReplyLostError
from hawthornpier.steps import Run

# Time without further starts on a worker after it rejected one for lack of
# resources.
_NO_CAPACITY_DELAY_MS = 250.0
# If the reply to a start is lost sooner than this, the connection has ended; a
# host that does not respond takes until the timeout.
_CONNECTION_END_MS = 300.0
# How long the next renewal is delayed until ended runs are durable and can be
# acknowledged.  After that, the worker lists them again.
_COMMIT_TIMEOUT_MS = 300.0


class WorkerLink:
    """
    Renews the lease of one incarnation of a worker and sends it orders.

    Args:
        worker: The owner's state of the worker.
        port: The client of this incarnation.
        shard: The shard that the worker belongs to.
        listings: Applies the worker's listings to the shard.
        timings: Durations and limits of requests.
        on_incarnation: Called if the worker replies as another incarnation,
            with the Unix time in ms at which that started.
    """

    def __init__(
        self,
        worker: WorkerState,
        port: FleetWorker,
        *,
        shard: Shard,
        listings: ListingReconciler,
        timings: WorkerTimings,
        on_incarnation: IncarnationObserver | None = None,
    ) -> None:
        self._worker = worker
        self._port = port
        self._shard = shard
        self._listings = listings
        self._timings = timings
        self._on_incarnation = on_incarnation
        self._retry_ms: float = timings.retry_min_ms
        self._orders = worker.orders
        self._missed = MissedReplies(shard, worker)
        # When the worker last replied to an order.
        self._answered_ms: float = 0

    async def run(self) -> None:
        """
        Renew the lease and send orders until cancelled.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(run_part(self._renew_lease_forever))
            for _ in range(self._timings.max_concurrent_orders):
                group.create_task(run_part(self._execute_orders))

    async def _renew_lease_forever(self) -> None:
        while True:
            if await self._renew_lease():
                self._retry_ms = self._timings.retry_min_ms
                await self._wait_until_durable()
            else:
                await self._shard.clock.sleep_ms(self._retry_ms)
                self._retry_ms = min(
                    self._retry_ms * 2,
                    self._timings.retry_max_ms,
                )

    async def _renew_lease(self) -> bool:
        """
        Send one renewal; return whether the next may follow without a delay.
        """
        shard, worker = self._shard, self._worker
        sent_ms = shard.now_ms
        deadline = None
        # The worker may execute a renewal long after it was sent.  While
        # renewals get no reply, only the first one carries a new deadline, so
        # that the time by which the runs must have ended is not postponed.
        is_replying = worker.is_reached and not (
            worker.is_unresponsive or self._missed.is_excused
        )
        if is_replying and shard.permits.is_unclaimed:
            deadline = worker.next_deadline(self._timings.lease_ms, sent_ms)
        # A worker that does not reply may be restarting.
        may_acknowledge = is_replying and not worker.may_have_restarted
        acknowledged_number = (
            worker.next_acknowledgement() if may_acknowledge else 0
        )
        worker.may_have_restarted = False
        try:
            reply = await self._port.renew(
                Renewal(
                    fencing_token=shard.tokens.token(worker),
                    acknowledged_number=acknowledged_number,
                    deadline_clock_ms=deadline,
                    wait_ms=self._renewal_wait_ms(),
                ),
            )
        except WorkerError as error:
            self._missed.record_error(error, sent_ms)
            return False
        if isinstance(reply, WorkerListing):
            if reply.incarnation_ms != worker.entry.incarnation_ms:
                return self._report_incarnation(reply.incarnation_ms)
            was_reached = worker.is_reached
            worker.confirm_acknowledgement(acknowledged_number)
            self._listings.apply(worker, reply, sent_ms)
            worker.assume_lease(shard.now_ms, self._timings.lease_max_ms)
            return was_reached
        if reply is Verdict.FENCED:
            shard.deposed.set()
        is_first = not worker.is_superseded
        if reply is Verdict.OTHER_INCARNATION and not end_if_replaced(
            self._shard, self._worker
        ):
            return is_first
        return False

    def _renewal_wait_ms(self) -> int:
        if self._missed.is_excused:
            return 0
        return self._worker.renewal_wait_ms(self._timings)

    async def _wait_until_durable(self) -> None:
        """
        Wait until the ended runs that were listed are durable.

        Only then may the next renewal acknowledge them.  Until then the worker
        would reply at once, with the same ends.
        """
        worker = self._worker
        is_durable = worker.processed_number <= worker.acknowledged_number
        has_all = is_durable and not worker.has_deferred_ends
        if has_all or worker.is_unresponsive:
            return
        worker.acknowledged.clear()
        try:
            async with asyncio.timeout(_COMMIT_TIMEOUT_MS / 1000):
                await worker.acknowledged.wait()
        except TimeoutError:
            return

    def _report_incarnation(self, incarnation_ms: int) -> bool:
        """
        Report another incarnation; return whether to ask again at once.
        """
        is_first = not self._worker.is_superseded
        record_other_incarnation(
            self._shard, self._worker, 'another incarnation replied'
        )
        if not incarnation_ms or self._on_incarnation is None:
            return False
        has_begun = self._on_incarnation(self._worker, incarnation_ms)
        return is_first and not has_begun

    async def _execute_orders(self) -> None:
        while True:
            order = await self._orders.get()
            try:
                await self._execute(order)
            except BaseException:
                # Also if this task is cancelled, because the link starts anew
                # after an unexpected error.
                if order.run and order.kind is OrderKind.START:
                    order.run.may_start_late = True
                self._orders.put_nowait(order)
                raise

    async def _execute(self, order: Order) -> None:
        if order.kind is OrderKind.START:
            await self._start(order)
        elif order.kind is OrderKind.STOP:
            await self._stop(order)
        else:
            await self._throttle(order)

    def _postpone(self, order: Order, delay_ms: float) -> None:
        """
        Execute an order again later, and others in the meantime.
        """
        asyncio.get_running_loop().call_later(
            delay_ms / 1000, self._orders.put_nowait, order
        )

    async def _start(self, order: Order) -> None:
        run = order.run
        if run is None:
            return
        for _ in range(self._timings.start_try_count):
            if not self._may_send_start(order, run):
                return
            earlier_sent_ms = run.sent_ms
            tried_ms = self._shard.now_ms
            try:
                with self._shard.start_gate.in_flight():
                    reply = await self._port.start(self._start_order(run))
            except WorkerReplyLostError:
                self._handle_lost_reply(run, tried_ms)
            except WorkerError as error:
                run.sent_ms = earlier_sent_ms
                self._missed.record_error(error, tried_ms)
                await self._shard.clock.sleep_ms(self._timings.retry_min_ms)
            else:
                self._handle_start_reply(run, reply, tried_ms)
                return
        self._abandon_start(
            run, is_uncertain=run.may_start_late, why='no reply'
        )

    def _handle_lost_reply(self, run: Run, tried_ms: float) -> None:
        now_ms, worker = self._shard.now_ms, self._worker
        run.may_start_late = True
        worker.may_have_restarted = True
        if now_ms - tried_ms < _CONNECTION_END_MS:
            run.has_lost_connection = True
            return
        if self._missed.is_own_delay(tried_ms):
            return
        worker.unanswered_until_ms = now_ms + self._timings.order_timeout_ms
        placed_by_ms = now_ms if self._answered_ms < tried_ms else tried_ms
        withdraw_unsent_starts(self._shard, worker, placed_by_ms)

    def _may_send_start(self, order: Order, run: Run) -> bool:
        """
        Return whether to send a start now; otherwise it waits if it is due.
        """
        is_due = not self._has_ended(order) and is_start_due(
            self._shard, self._worker, run
        )
        if not is_due:
            return False
        if not self._shard.permits.may_start_on(self._worker.entry.service):
            self._postpone(order, self._timings.retry_min_ms)
            return False
        return run.sent_ms > 0 or self._shard.start_gate.admit(
            order, run, self._worker
        )

    def _start_order(self, run: Run) -> StartOrder:
        shard = self._shard
        deadline = self._worker.start_deadline(
            run, self._timings.lease_ms, shard.now_ms
        )
        run.sent_ms = run.sent_ms or shard.now_ms
        return StartOrder(
            task_key=run.task.key,
            attempt=run.attempt,
            payload=run.task.step.job.plan.payload,
            fencing_token=shard.tokens.token(self._worker),
            deadline_clock_ms=deadline,
            checkpoint=run.checkpoint,
            ticket=run.ticket,
        )

    def _handle_start_reply(
        self,
        run: Run,
        reply: OrderReply,
        sent_ms: float,
    ) -> None:
        now_ms = self._shard.now_ms
        check_clock(self._shard, self._worker, reply.clock_ms, sent_ms)
        self._answered_ms = now_ms
        # Only a listing tells which incarnation replies.
        if reply.clock_ms and not self._worker.is_unresponsive:
            self._worker.synchronize(reply.clock_ms, sent_ms, now_ms)
        if reply.verdict is Verdict.ACCEPTED:
            self._shard.confirm_run(run)
            return
        if reply.verdict is Verdict.FENCED:
            self._shard.deposed.set()
            return
        is_other = reply.verdict is Verdict.OTHER_INCARNATION
        if is_other and end_if_replaced(self._shard, self._worker):
            return
        if reply.verdict is Verdict.UNHEALTHY:
            self._worker.health.record_refusal(now_ms)
        if reply.verdict is Verdict.NO_CAPACITY:
            self._worker.refused_until_ms = now_ms + _NO_CAPACITY_DELAY_MS
        if reply.verdict in NOT_STARTED and not run.may_start_late:
            withdraw_start(self._shard, run, reply.verdict)
            return
        self._abandon_start(run, is_uncertain=True, why=reply.verdict)

    def _abandon_start(self, run: Run, *, is_uncertain: bool, why: str) -> None:
        abandon_start(
            self._shard,
            run,
            is_uncertain=is_uncertain,
            why=why,
            is_own_delay=self._missed.is_own_delay(
                run.sent_ms or self._shard.now_ms
            ),
        )

    async def _stop(self, order: Order) -> None:
        """
        Send a stop, and repeat it later unless the worker accepts it.

        A stop that the worker accepts also prevents a late start of the run.
        """
        if self._has_ended(order):
            return
        sent_ms = self._shard.now_ms
        try:
            reply = await self._port.stop(
                order.task_key,
                order.attempt,
                self._shard.tokens.token(self._worker),
            )
        except WorkerError as error:
            self._missed.record_error(error, sent_ms)
            self._postpone(order, self._timings.retry_max_ms)
            return
        check_clock(self._shard, self._worker, reply.clock_ms, sent_ms)
        self._answered_ms = self._shard.now_ms
        is_other = reply.verdict is Verdict.OTHER_INCARNATION
        if reply.verdict is Verdict.FENCED:
            self._shard.deposed.set()
        elif is_other and end_if_replaced(self._shard, self._worker):
            return
        elif reply.verdict is not Verdict.ACCEPTED:
            self._postpone(order, self._timings.retry_max_ms)
        elif order.run is not None:
            order.run.order_acknowledged_ms = self._shard.now_ms

    def _has_ended(self, order: Order) -> bool:
        key = (order.task_key, order.attempt)
        return order.run is not None and key not in self._worker.runs

    async def _throttle(self, order: Order) -> None:
        run = order.run
        if run is None or self._has_ended(order):
            return
        if run.speed_percent != order.percent:
            return
        sent_ms = self._shard.now_ms
        try:
            reply = await self._port.pace(
                order.task_key,
                order.attempt,
                order.percent,
                self._shard.tokens.token(self._worker),
            )
        except WorkerError as error:
            self._missed.record_error(error, sent_ms)
            # With an invalid speed, `control_throttling` orders the speed again
            # after the next listing.
            run.speed_percent = -1
            return
        if reply.verdict is not Verdict.ACCEPTED:
            run.speed_percent = 100
