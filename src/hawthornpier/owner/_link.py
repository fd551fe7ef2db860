"""
The communication of a shard's owner with one worker.
"""

import asyncio
import enum
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from hawthornpier.messages import (
    EndpointReply,
    EndpointRequest,
    Fence,
    FenceReply,
    HostRecord,
    LeaseRenewal,
    StartBatch,
    StartVerdict,
    TaskAction,
    TaskControl,
    TaskOutcome,
    TaskStart,
    WorkerReport,
)
from hawthornpier.owner._timing import OwnerTiming
from hawthornpier.ports import (
    Clock,
    WorkerError,
    WorkerPort,
    WorkerReplyLostError,
)

# Limits the size of a batch of starts, because a large message would delay
# the lease renewals sent after it.
MAX_STARTS_PER_BATCH = 256


# The epoch sent to the worker consists of the shard's epoch in the high bits
# and the link's generation in the low bits.  One owner never fences a worker
# often enough (a million times) for the generation to overflow.
_GENERATION_BITS = 20


class LinkState(enum.StrEnum):
    """
    The state of the link to a worker.

    `FENCING`: the worker has not confirmed the current epoch.  `OPEN`: it
    accepts work.  `CLOSED`: it failed to reply, and its leases are no longer
    renewed.  `LOST`: all of its leases have expired.
    """

    FENCING = 'fencing'
    OPEN = 'open'
    CLOSED = 'closed'
    LOST = 'lost'


@dataclass(frozen=True, slots=True, kw_only=True)
class LeasedRun:
    """
    A run that the worker executes or may execute under a lease.

    *sent_ms* is the monotonic time at which its start was sent or at which it
    was adopted.
    """

    run_id: str
    task_id: str
    sent_ms: int


class LinkListener(Protocol):
    """
    The callbacks of a link to its shard's owner.
    """

    def on_fenced(
        self,
        link: 'WorkerLink',
        reply: FenceReply,
        report: WorkerReport,
    ) -> None:
        """
        The worker has confirmed the epoch and reported its current work.

        *report* tells whether it is leaving.
        """
        ...

    def on_closed(self, link: 'WorkerLink') -> None:
        """
        The worker has stopped replying.
        """
        ...

    def on_lost(self, link: 'WorkerLink', runs: Iterable[LeasedRun]) -> None:
        """
        All leases on the worker have expired; *runs* are its unended runs.
        """
        ...

    def on_start_refused(
        self,
        link: 'WorkerLink',
        run: LeasedRun,
        verdict: StartVerdict | None,
    ) -> None:
        """
        The run has not started and will never start.

        *verdict* is the worker's, or None if the start has not reached it.
        """
        ...

    def on_outcome(self, link: 'WorkerLink', outcome: TaskOutcome) -> None:
        """
        A run has ended.

        The worker reports an outcome until it is acknowledged, but this is
        called once.
        """
        ...

    def on_run_missing(self, link: 'WorkerLink', run: LeasedRun) -> None:
        """
        The worker replied but reported neither the run nor its outcome.
        """
        ...

    def on_report(self, link: 'WorkerLink', report: WorkerReport) -> None:
        """
        The worker has sent a usage report.
        """
        ...

    def on_deposed(self, link: 'WorkerLink', highest_epoch: int) -> None:
        """
        The worker has rejected a fence or a lease renewal.

        It has accepted a higher epoch, so this owner is deposed, or the
        renewal arrived after its expiry.  *highest_epoch* is the worker's, with
        the generation in the low bits.
        """
        ...


class WorkerLink:
    """
    Fences one worker, then starts, renews and ends runs on it.

    All messages except callers' requests and the polls of their status are
    sent by one task, so that starts and controls arrive in order.
    """

    def __init__(
        self,
        *,
        host: HostRecord,
        port: WorkerPort,
        shard: str,
        epoch: int,
        clock: Clock,
        timing: OwnerTiming,
        listener: LinkListener,
    ) -> None:
        self.host = host
        self.state = LinkState.FENCING
        self.incarnation = ''
        self.confirmed_epoch = -1
        self.runs: dict[str, LeasedRun] = {}
        self._port = port
        self._shard = shard
        self._epoch = epoch
        self._clock = clock
        self._timing = timing
        self._listener = listener
        self._queued_starts: list[TaskStart] = []
        self._queued_controls: list[tuple[str, TaskAction]] = []
        self._acknowledged_run_ids: set[str] = set()
        self._reported_run_ids: set[str] = set()
        self._wake = asyncio.Event()
        self._generation = 0
        self._failure_count = 0
        self._last_renewal_ms = clock.monotonic_ms()
        self._last_report_ms = 0

    @property
    def worker_id(self) -> str:
        """
        Return the id of the worker.
        """
        return self.host.worker_id

    def refence(self) -> None:
        """
        Make the worker reject all messages sent before this call.

        A message that got no reply may arrive at any later time; for example,
        a paused worker processes it when it resumes.
        """
        if self.state is LinkState.OPEN:
            self.state = LinkState.FENCING
            self._generation += 1
            self._wake.set()

    def start(self, start: TaskStart) -> None:
        """
        Queue a start for the next batch.
        """
        self._queued_starts.append(start)
        self._wake.set()

    def control(self, run_id: str, action: TaskAction) -> None:
        """
        Queue an action on a run.
        """
        self._queued_controls.append((run_id, action))
        self._wake.set()

    def acknowledge(self, run_id: str) -> None:
        """
        Queue the acknowledgement of an outcome that is now durable.

        The worker discards the outcome when it receives the acknowledgement.
        """
        self._acknowledged_run_ids.add(run_id)

    def adopt_run(self, run_id: str, task_id: str) -> None:
        """
        Include a run that an earlier owner started in the lease renewals.
        """
        now_ms = self._clock.monotonic_ms()
        self.runs[run_id] = LeasedRun(
            run_id=run_id,
            task_id=task_id,
            sent_ms=now_ms,
        )

    def mark_unreachable(self) -> None:
        """
        Close the link until the worker has confirmed the epoch again.

        Called when a request or a start found the worker unreachable, so that
        no further ones are sent to it.
        """
        if self.state is LinkState.OPEN:
            self._close()

    async def request(self, request: EndpointRequest) -> EndpointReply:
        """
        Send a caller's request to the endpoint on this worker.
        """
        return await self._port.request(request)

    async def get_request_status(self, request_id: str) -> EndpointReply:
        """
        Request the status of a caller's request from the worker.
        """
        return await self._port.get_request_status(request_id)

    async def run(self) -> None:
        """
        Exchange messages with the worker until cancelled.
        """
        # After an error, messages of the last run may still arrive.
        self.refence()
        while True:
            if self.state is not LinkState.OPEN:
                await self._fence_worker()
                continue
            try:
                await self._run_cycle()
            except WorkerError:
                self._count_failure()
                await self._clock.sleep_ms(self._timing.retry_delay_ms)

    async def _fence_worker(self) -> None:
        """
        Send one fence and process its result; a fence renews no lease.
        """
        epoch = (self._epoch << _GENERATION_BITS) + self._generation
        fence = Fence(shard=self._shard, epoch=epoch)
        try:
            # Only the report tells whether the worker is leaving, which a
            # previous owner may have known.
            reply, report = await asyncio.gather(
                self._port.fence(fence),
                self._port.report(),
            )
        except WorkerError:
            if self.state is LinkState.FENCING:
                self._close()
            self._mark_lost_if_expired()
            await self._clock.sleep_ms(self._timing.retry_delay_ms)
            return
        if not reply.is_accepted:
            self._listener.on_deposed(self, reply.highest_epoch)
            await self._clock.sleep_ms(self._timing.retry_delay_ms)
            return
        if epoch != (self._epoch << _GENERATION_BITS) + self._generation:
            return
        self.state = LinkState.OPEN
        self.confirmed_epoch = epoch
        self.incarnation = reply.incarnation
        self._failure_count = 0
        self._listener.on_fenced(self, reply, report)
        held_run_ids = {running.run_id for running in reply.running}
        self._reconcile(
            held_run_ids, reply.outcomes, self._clock.monotonic_ms()
        )

    async def _run_cycle(self) -> None:
        await self._send_starts()
        await self._send_controls()
        now_ms = self._clock.monotonic_ms()
        interval_ms = self._timing.lease_renew_interval_ms
        if now_ms - self._last_renewal_ms >= interval_ms:
            await self._renew()
        if now_ms - self._last_report_ms >= self._timing.report_interval_ms:
            self._last_report_ms = now_ms
            self._listener.on_report(self, await self._port.report())
        await self._wait_for_work()

    async def _wait_for_work(self) -> None:
        if self._queued_starts or self._queued_controls:
            return
        self._wake.clear()
        due_ms = self._last_renewal_ms + self._timing.lease_renew_interval_ms
        wait_ms = max(1, due_ms - self._clock.monotonic_ms())
        timeout_task = asyncio.ensure_future(self._clock.sleep_ms(wait_ms))
        wake_task = asyncio.ensure_future(self._wake.wait())
        try:
            await asyncio.wait(
                (timeout_task, wake_task),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            timeout_task.cancel()
            wake_task.cancel()

    async def _send_starts(self) -> None:
        while self._queued_starts:
            starts = tuple(self._queued_starts[:MAX_STARTS_PER_BATCH])
            self._queued_starts = self._queued_starts[MAX_STARTS_PER_BATCH:]
            await self._send_batch(starts)

    async def _send_batch(self, starts: tuple[TaskStart, ...]) -> None:
        now_ms = self._clock.monotonic_ms()
        runs = [
            LeasedRun(
                run_id=start.run_id, task_id=start.task_id, sent_ms=now_ms
            )
            for start in starts
        ]
        self.runs.update((run.run_id, run) for run in runs)
        batch = StartBatch(
            shard=self._shard,
            epoch=self.confirmed_epoch,
            starts=starts,
            expires_wall_ms=self._message_expiry_wall_ms(),
        )
        try:
            reply = await self._port.start(batch)
        except WorkerReplyLostError:
            # The runs may have started or may still start.  The reply to the
            # next fence lists the started ones, and the worker rejects the
            # others from then on.
            self.refence()
            raise
        except WorkerError:
            self.mark_unreachable()
            for run in runs:
                self._refuse(run, None)
            raise
        for run, verdict in zip(runs, reply.verdicts, strict=True):
            if verdict is not StartVerdict.STARTED:
                self._refuse(run, verdict)

    def _refuse(self, run: LeasedRun, verdict: StartVerdict | None) -> None:
        self.runs.pop(run.run_id, None)
        self._listener.on_start_refused(self, run, verdict)

    async def _send_controls(self) -> None:
        while self._queued_controls:
            # An action is removed only after a reply, so it is sent again if
            # the message was lost; all actions are idempotent.
            run_id, action = self._queued_controls[0]
            await self._port.control(
                TaskControl(
                    shard=self._shard,
                    epoch=self.confirmed_epoch,
                    run_id=run_id,
                    action=action,
                ),
            )
            self._queued_controls.pop(0)

    async def _renew(self) -> None:
        sent_ms = self._clock.monotonic_ms()
        self._last_renewal_ms = sent_ms
        acknowledged = tuple(self._acknowledged_run_ids)
        renewal = LeaseRenewal(
            shard=self._shard,
            epoch=self.confirmed_epoch,
            lease_ms=self._timing.task_lease_ms,
            run_ids=tuple(self.runs),
            acknowledged_run_ids=acknowledged,
            expires_wall_ms=self._message_expiry_wall_ms(),
        )
        reply = await self._port.renew(renewal)
        self._failure_count = 0
        if not reply.is_accepted:
            self.refence()
            self._listener.on_deposed(self, reply.highest_epoch)
            return
        self._discard_acknowledged(acknowledged)
        if reply.incarnation != self.incarnation:
            # A restarted worker has lost the epoch and must be fenced again
            # before it gets more work.
            self.refence()
        self._reconcile(set(reply.renewed_run_ids), reply.outcomes, sent_ms)

    def _discard_acknowledged(self, acknowledged: Iterable[str]) -> None:
        self._acknowledged_run_ids.difference_update(acknowledged)
        self._reported_run_ids.difference_update(acknowledged)

    def _reconcile(
        self,
        held_run_ids: set[str],
        outcomes: tuple[TaskOutcome, ...],
        request_sent_ms: int,
    ) -> None:
        for outcome in outcomes:
            self._report_outcome(outcome)
        # A start that may still be in transit does not count as missing.
        delivered_before_ms = request_sent_ms - self._timing.delivery_delay_ms
        missing = [
            run
            for run in self.runs.values()
            if run.run_id not in held_run_ids
            and run.sent_ms < delivered_before_ms
        ]
        for run in missing:
            self.runs.pop(run.run_id)
            self._listener.on_run_missing(self, run)

    def _report_outcome(self, outcome: TaskOutcome) -> None:
        self.runs.pop(outcome.run_id, None)
        if outcome.run_id in self._reported_run_ids:
            return
        self._listener.on_outcome(self, outcome)
        # After an error, the outcome is passed on again.
        self._reported_run_ids.add(outcome.run_id)

    def _count_failure(self) -> None:
        self._failure_count += 1
        if self._failure_count < self._timing.close_after_failure_count:
            return
        self._close()

    def _close(self) -> None:
        # No renewal is sent while the link is closed, so that the leases
        # expire at a known time.  The worker is probed with fences, which
        # renew no lease.
        self.state = LinkState.CLOSED
        self._generation += 1
        self._refuse_unsent()
        self._listener.on_closed(self)

    def _refuse_unsent(self) -> None:
        unsent = self._queued_starts
        self._queued_starts = []
        self._queued_controls.clear()
        for start in unsent:
            run = LeasedRun(
                run_id=start.run_id,
                task_id=start.task_id,
                sent_ms=self._clock.monotonic_ms(),
            )
            self._refuse(run, None)

    def _mark_lost_if_expired(self) -> None:
        if self.state is not LinkState.CLOSED:
            return
        elapsed_ms = self._clock.monotonic_ms() - self._last_lease_grant_ms()
        if elapsed_ms <= self._timing.lease_expiry_ms:
            return
        self.state = LinkState.LOST
        runs = tuple(self.runs.values())
        self.runs.clear()
        self._listener.on_lost(self, runs)

    def _message_expiry_wall_ms(self) -> int:
        # The worker rejects the message after this time, so the leases that the
        # message grants expire within `lease_expiry_ms` of its sending.
        return self._clock.wall_ms() + self._timing.delivery_delay_ms

    def _last_lease_grant_ms(self) -> int:
        sent = [run.sent_ms for run in self.runs.values()]
        return max([self._last_renewal_ms, *sent])
