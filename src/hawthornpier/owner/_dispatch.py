"""
Carries out the decisions of the scheduling policy.
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
    Asks the policy after each event and hands its decisions on.

    Requests wait on a future for their worker; decisions on tasks go to
    *on_task_decision*.
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
        self._charged_ids: set[str] = set()
        self._is_applying = False

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
        Wait for a worker; the slot is reserved when this returns one.
        """
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
        outcome: RequestResult,
        duration_ms: float,
    ) -> None:
        """
        Give back the slot of a placed request.
        """
        now_ms = self._clock.monotonic_ms()
        self._charged_ids.discard(request_id)
        self.policy.end_request(request_id, outcome, duration_ms, now_ms)
        self.apply_decisions()

    def is_charged(self, request_id: str) -> bool:
        """
        Tell whether the request holds a slot that this owner gave it.
        """
        return request_id in self._charged_ids

    def apply_decisions(self) -> None:
        """
        Carry out everything that the policy decides now.
        """
        # A handler may cause events that pump again; the loop below already
        # takes up what those events change.
        if self._is_applying:
            return
        self._is_applying = True
        try:
            self._apply_all()
        finally:
            self._is_applying = False

    def shed_all(self) -> None:
        """
        Tell every waiting request that it is not run.
        """
        now_ms = self._clock.monotonic_ms()
        for request_id in tuple(self._futures):
            self.policy.cancel_request(request_id, now_ms)
            self._resolve_waiting(
                ShedRequest(
                    request_id=request_id,
                    reason=ShedReason.NO_WORKER,
                ),
            )

    @property
    def waiting_count(self) -> int:
        """
        Return the number of requests that wait for a worker.
        """
        return len(self._futures)

    def _apply_all(self) -> None:
        if not self._gate.may_admit():
            # Limits of the table may have changed, so nothing is started.
            self.shed_all()
            return
        while decisions := self.policy.decide(self._clock.monotonic_ms()):
            for decision in decisions:
                self._apply(decision)

    @singledispatchmethod
    def _apply(self, decision: Decision) -> None:
        raise TypeError(f'unknown decision {decision!r}')

    @_apply.register(PlaceRequest)
    @_apply.register(ShedRequest)
    def _resolve_waiting(self, decision: PlaceRequest | ShedRequest) -> None:
        future = self._futures.get(decision.request_id)
        if future is not None and not future.done():
            if isinstance(decision, PlaceRequest):
                self._charged_ids.add(decision.request_id)
            future.set_result(decision)
            return
        if isinstance(decision, PlaceRequest):
            # The caller went away between queueing and placement.
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
            self._charged_ids.discard(request_id)
            self.policy.end_request(
                request_id,
                RequestResult.REFUSED,
                0,
                now_ms,
            )
