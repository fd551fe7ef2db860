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
        self._waiting: dict[
            str, asyncio.Future[PlaceRequest | ShedRequest]
        ] = {}
        self._charged: set[str] = set()
        self._is_pumping = False

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
        self._waiting[request_id] = future
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
        self.pump()
        try:
            return await future
        except asyncio.CancelledError:
            self._abandon(request_id, future)
            raise
        finally:
            self._waiting.pop(request_id, None)

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
        self._charged.discard(request_id)
        self.policy.end_request(request_id, outcome, duration_ms, now_ms)
        self.pump()

    def is_charged(self, request_id: str) -> bool:
        """
        Tell whether the request holds a slot that this owner gave it.
        """
        return request_id in self._charged

    def pump(self) -> None:
        """
        Carry out everything that the policy decides now.
        """
        # A handler may cause events that pump again; the loop below already
        # takes up what those events change.
        if self._is_pumping:
            return
        self._is_pumping = True
        try:
            self._run_decisions()
        finally:
            self._is_pumping = False

    def shed_all(self) -> None:
        """
        Tell every waiting request that it is not run.
        """
        now_ms = self._clock.monotonic_ms()
        for request_id in tuple(self._waiting):
            self.policy.cancel_request(request_id, now_ms)
            self._settle(
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
        return len(self._waiting)

    def _run_decisions(self) -> None:
        if not self._gate.may_admit():
            # Limits of the table may have changed, so nothing is started.
            self.shed_all()
            return
        while decisions := self.policy.decide(self._clock.monotonic_ms()):
            for decision in decisions:
                self._carry_out(decision)

    @singledispatchmethod
    def _carry_out(self, decision: Decision) -> None:
        raise TypeError(f'unknown decision {decision!r}')

    @_carry_out.register(PlaceRequest)
    @_carry_out.register(ShedRequest)
    def _settle(self, decision: PlaceRequest | ShedRequest) -> None:
        future = self._waiting.get(decision.request_id)
        if future is not None and not future.done():
            if isinstance(decision, PlaceRequest):
                self._charged.add(decision.request_id)
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

    @_carry_out.register(PlaceTask)
    @_carry_out.register(ThrottleTask)
    @_carry_out.register(EvictTask)
    @_carry_out.register(RejectTask)
    def _hand_on(self, decision: TaskDecision) -> None:
        self._on_task_decision(decision)

    def _abandon(
        self,
        request_id: str,
        future: asyncio.Future[PlaceRequest | ShedRequest],
    ) -> None:
        now_ms = self._clock.monotonic_ms()
        if not future.done() or future.cancelled():
            self.policy.cancel_request(request_id, now_ms)
            return
        if isinstance(future.result(), PlaceRequest):
            self._charged.discard(request_id)
            self.policy.end_request(
                request_id,
                RequestResult.REFUSED,
                0,
                now_ms,
            )
