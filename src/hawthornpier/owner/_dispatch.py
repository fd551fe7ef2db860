"""
Application of the scheduling policy's decisions.
"""

import asyncio
from collections.abc import Callable
from functools import singledispatchmethod

from hawthornpier.messages import Resources
from hawthornpier.owner._interfaces import AdmissionGate
from hawthornpier.policy import (
    Decision,
    EvictTask,
    PlaceRequest,
    PlaceTask,
    RejectTask,
    RequestDemand,
    RequestResult,
    SchedulingPolicy,
    ShedReason,
    ShedRequest,
    ThrottleTask,
)
from hawthornpier.ports import Clock

TaskDecision = PlaceTask | ThrottleTask | EvictTask | RejectTask


class Dispatcher:
    """
    Queries the policy after each event and applies its decisions.

    A decision on a request completes the future that the request awaits; a
    decision on a batch task is passed to *on_task_decision*.
    """

    def __init__(
        self,
        *,
        policy: SchedulingPolicy,
        clock: Clock,
        gate: AdmissionGate,
        on_task_decision: Callable[[TaskDecision], None],
    ) -> None:
        self.policy = policy
        self._gate = gate
        self._clock = clock
        self._on_task_decision = on_task_decision
        self._futures: dict[
            str, asyncio.Future[PlaceRequest | ShedRequest]
        ] = {}
        self._slot_holder_ids: set[str] = set()
        self._is_applying = False
        self._is_closed = False

    async def place(
        self,
        *,
        request_id: str,
        member: str,
        service: str,
        demand: Resources,
        deadline_ms: int,
    ) -> PlaceRequest | ShedRequest:
        """
        Queue a request and wait for the policy's decision.

        If the decision is a `PlaceRequest`, a slot of the worker is reserved
        until `release` is called.  *deadline_ms* is monotonic time.

        After `close`, the request is shed at once.
        """
        if self._is_closed:
            return _shed_without_worker(request_id)
        future: asyncio.Future[PlaceRequest | ShedRequest] = (
            asyncio.get_running_loop().create_future()
        )
        self._futures[request_id] = future
        now_ms = self._clock.monotonic_ms()
        self.policy.add_request(
            RequestDemand(
                request_id=request_id,
                member=member,
                service=service,
                demand=demand,
                deadline_ms=deadline_ms,
            ),
            now_ms,
        )
        self.apply_decisions()
        try:
            return await future
        except asyncio.CancelledError:
            self._cancel_placement(request_id, future)
            raise
        finally:
            self._futures.pop(request_id, None)

    def release(
        self,
        request_id: str,
        result: RequestResult,
        duration_ms: float,
    ) -> None:
        """
        Release the slot of a placed or adopted request.
        """
        now_ms = self._clock.monotonic_ms()
        self._slot_holder_ids.discard(request_id)
        self.policy.end_request(request_id, result, duration_ms, now_ms)
        self.apply_decisions()

    def holds_slot(self, request_id: str) -> bool:
        """
        Return whether this owner placed the request and its slot is held.
        """
        return request_id in self._slot_holder_ids

    def apply_decisions(self) -> None:
        """
        Apply the policy's decisions until it makes no more.
        """
        # Applying a decision may call this method again.  The nested call can
        # return, because the running loop asks the policy once more.
        if self._is_applying:
            return
        self._is_applying = True
        try:
            self._apply_all()
        finally:
            self._is_applying = False

    def shed_all(self) -> None:
        """
        Shed every queued request.
        """
        now_ms = self._clock.monotonic_ms()
        for request_id in tuple(self._futures):
            self.policy.cancel_request(request_id, now_ms)
            self._resolve_waiting(_shed_without_worker(request_id))

    def close(self) -> None:
        """
        Shed every queued request, and all later ones as they arrive.
        """
        self._is_closed = True
        self.shed_all()

    @property
    def waiting_count(self) -> int:
        """
        Return the number of queued requests.
        """
        return len(self._futures)

    def _apply_all(self) -> None:
        if not self._gate.may_admit():
            # The limits in the table may have changed, so nothing may be
            # admitted under the limits that this process last read.
            self.shed_all()
            return
        while decisions := self.policy.decide(self._clock.monotonic_ms()):
            for decision in decisions:
                self._apply(decision)

    @singledispatchmethod
    def _apply(self, decision: Decision) -> None:
        raise TypeError(
            f'the policy returned an unknown decision: {decision!r}'
        )

    @_apply.register(PlaceRequest)
    @_apply.register(ShedRequest)
    def _resolve_waiting(self, decision: PlaceRequest | ShedRequest) -> None:
        future = self._futures.get(decision.request_id)
        if future is not None and not future.done():
            if isinstance(decision, PlaceRequest):
                self._slot_holder_ids.add(decision.request_id)
            future.set_result(decision)
            return
        if isinstance(decision, PlaceRequest):
            # The caller disconnected before the placement.
            self.policy.end_request(
                decision.request_id,
                RequestResult.REFUSED,
                0,
                self._clock.monotonic_ms(),
            )

    @_apply.register(PlaceTask)
    @_apply.register(ThrottleTask)
    @_apply.register(EvictTask)
    @_apply.register(RejectTask)
    def _forward_task_decision(self, decision: TaskDecision) -> None:
        self._on_task_decision(decision)

    def _cancel_placement(
        self,
        request_id: str,
        future: asyncio.Future[PlaceRequest | ShedRequest],
    ) -> None:
        now_ms = self._clock.monotonic_ms()
        if not future.done() or future.cancelled():
            self.policy.cancel_request(request_id, now_ms)
            return
        if isinstance(future.result(), PlaceRequest):
            self._slot_holder_ids.discard(request_id)
            self.policy.end_request(
                request_id,
                RequestResult.REFUSED,
                0,
                now_ms,
            )


def _shed_without_worker(request_id: str) -> ShedRequest:
    return ShedRequest(request_id=request_id, reason=ShedReason.NO_WORKER)
