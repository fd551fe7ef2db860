"""
Implements the worker port in memory.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import TypeVar

from hawthornpier.messages import (
    EndpointReply,
    EndpointRequest,
    Fence,
    FenceReply,
    LeaseRenewal,
    LeaseReply,
    Resources,
    StartBatch,
    StartBatchReply,
    TaskControl,
    TaskControlReply,
    WorkerReport,
)
from hawthornpier.ports import (
    Clock,
    WorkerReplyLostError,
    WorkerUnreachableError,
)
from hawthornpier_standin.workers._contention import Contention
from hawthornpier_standin.workers._engine import WorkerEngine
from hawthornpier_standin.workers._journal import (
    Journal,
    Recorder,
    ignore_record,
)
from hawthornpier_standin.workers._model import WorkerFaults, WorkerModel
from hawthornpier_standin.workers._state import WorkerState

_Message = TypeVar('_Message')
_Reply = TypeVar('_Reply')


class MemoryWorker:
    """
    A simulated worker that implements `WorkerPort` without a network.

    A call that has timed out continues, as the message may also take effect
    later on a network.

    Args:
        worker_id: Id of the worker in the host list.
        capacity: Resources of the worker.
        clock: Time source of all runs, requests, leases and delays.
        seed: Seed of the random service times.
        has_guards: Whether the worker rejects lower epochs and demands beyond
            its capacity.
        model: Parameters that all workers of the platform share.
        recorder: Called with each history record.
        deadline_ms: Longest wait in ms for a reply; requests have a deadline of
            their own.
    """

    def __init__(
        self,
        *,
        worker_id: str,
        capacity: Resources,
        clock: Clock,
        seed: int,
        has_guards: bool = True,
        model: WorkerModel | None = None,
        recorder: Recorder = ignore_record,
        deadline_ms: float = 2_000,
    ) -> None:
        model = model or WorkerModel()
        self._state = WorkerState(
            worker_id=worker_id,
            capacity=capacity,
            has_guards=has_guards,
            clock=clock,
            model=model,
            journal=Journal(
                worker_id=worker_id,
                clock=clock,
                recorder=recorder,
            ),
            contention=Contention(model=model, capacity=capacity),
        )
        self._deadline_ms = deadline_ms
        self._engine = WorkerEngine(self._state, seed=seed)
        self._calls: set[asyncio.Task[object]] = set()
        self._reply_allowed = asyncio.Event()
        self._last_reply: EndpointReply | None = None
        self._state.resumed.set()
        self._reply_allowed.set()
        self._state.journal.capacity_declared(capacity)

    @property
    def worker_id(self) -> str:
        """
        Id of the worker in the host list.
        """
        return self._state.worker_id

    @property
    def faults(self) -> WorkerFaults:
        """
        The faults in force.

        Their counts decrease as the faults occur.
        """
        return self._state.faults

    @property
    def charged(self) -> Resources:
        """
        The sum of the demands of the runs and open requests.
        """
        return self._state.charged()

    def apply_faults(self, faults: WorkerFaults) -> None:
        """
        Replace the faults in force.

        Raises:
            ValueError: The worker is dead and *faults* would revive it, or it
                is leaving and *faults* would keep it in use.
        """
        former = self._state.faults
        if former.is_dead and not faults.is_dead:
            raise ValueError('a dead worker stays dead; start another one')
        if former.is_leaving and not (faults.is_leaving or faults.is_dead):
            raise ValueError('a leaving worker stays leaving until it is dead')
        self._state.faults = faults
        if faults.is_leaving and not former.is_leaving:
            self._state.journal.leaving()
        _set_event(self._state.resumed, is_set=not faults.is_paused)
        _set_event(self._reply_allowed, is_set=not faults.is_silent)
        if faults.is_dead and not former.is_dead:
            self._lose_all_work()

    async def fence(self, fence: Fence) -> FenceReply:
        """
        Raise a shard's epoch and return the worker's runs and requests.
        """
        return await self._call(self._engine.fence, fence, self._deadline_ms)

    async def start(self, batch: StartBatch) -> StartBatchReply:
        """
        Start runs; the reply contains a verdict for each.
        """
        return await self._call(self._engine.start, batch, self._deadline_ms)

    async def renew(self, renewal: LeaseRenewal) -> LeaseReply:
        """
        Renew leases, acknowledge outcomes and return the other outcomes.
        """
        return await self._call(self._engine.renew, renewal, self._deadline_ms)

    async def control(self, control: TaskControl) -> TaskControlReply:
        """
        Checkpoint, evict, throttle, resume or stop one run.
        """
        return await self._call(
            self._engine.control, control, self._deadline_ms
        )

    async def request(self, request: EndpointRequest) -> EndpointReply:
        """
        Serve a caller's request and return the endpoint's reply.
        """
        reply = await self._call(
            self._engine.request, request, request.deadline_ms
        )
        return self._apply_reply_faults(reply)

    async def get_request_status(self, request_id: str) -> EndpointReply:
        """
        Return the reply of a request, or its status if it has none.
        """
        return await self._call(
            self._engine.get_request_status,
            request_id,
            self._deadline_ms,
        )

    async def report(self) -> WorkerReport:
        """
        Return a usage report, which shows an earlier state.
        """
        return await self._call(self._engine.report, None, self._deadline_ms)

    async def _call(
        self,
        handle: Callable[[_Message], Awaitable[_Reply]],
        message: _Message,
        deadline_ms: float,
    ) -> _Reply:
        if self._state.faults.is_dead:
            raise WorkerUnreachableError(
                f'worker {self.worker_id} is dead',
            )
        call = asyncio.ensure_future(self._deliver(handle, message))
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)
        await asyncio.wait({call}, timeout=deadline_ms / 1000)
        if call.done() and not call.cancelled():
            return call.result()
        raise WorkerReplyLostError(
            f'worker {self.worker_id} died or did not reply in time',
        )

    async def _deliver(
        self,
        handle: Callable[[_Message], Awaitable[_Reply]],
        message: _Message,
    ) -> _Reply:
        await self._delay(self._state.faults.delivery_delay_ms)
        await self._state.resumed.wait()
        self._engine.end_expired_runs()
        reply = await handle(message)
        self._engine.record_state()
        await self._delay(self._state.faults.reply_delay_ms)
        await self._state.resumed.wait()
        await self._reply_allowed.wait()
        return reply

    async def _delay(self, duration_ms: float) -> None:
        if duration_ms:
            await self._state.clock.sleep_ms(duration_ms)

    def _apply_reply_faults(self, reply: EndpointReply) -> EndpointReply:
        faults = self._state.faults
        stale = self._last_reply
        self._last_reply = reply
        if faults.stale_reply_count and stale is not None:
            self._state.faults = dataclasses.replace(
                faults,
                stale_reply_count=faults.stale_reply_count - 1,
            )
            return stale
        if faults.truncated_reply_count and reply.body:
            self._state.faults = dataclasses.replace(
                faults,
                truncated_reply_count=faults.truncated_reply_count - 1,
            )
            half = reply.body[: len(reply.body) // 2]
            return dataclasses.replace(reply, body=half)
        return reply

    def _lose_all_work(self) -> None:
        self._engine.lose_all()
        for call in tuple(self._calls):
            call.cancel()


def _set_event(event: asyncio.Event, *, is_set: bool) -> None:
    if is_set:
        event.set()
    else:
        event.clear()
