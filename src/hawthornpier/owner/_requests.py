"""
Execution of idempotent requests on the workers of a shard.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from hawthornpier.messages import (
    Answer,
    EndpointReply,
    EndpointRequest,
    EndpointStatus,
    ForwardedRequest,
    NotRun,
    Outcome,
    Resources,
    Unknown,
)
from hawthornpier.owner._context import ShardContext
from hawthornpier.owner._dispatch import Dispatcher
from hawthornpier.owner._final_status import (
    SentRequest,
    did_not_run,
    poll_final_status,
)
from hawthornpier.owner._link import WorkerLink
from hawthornpier.policy import RequestResult, ShedReason, ShedRequest
from hawthornpier.ports import (
    WorkerReplyLostError,
    WorkerUnreachableError,
)

# No attempt is made if less time than this remains for the endpoint to reply.
MIN_REMAINING_MS = 5
MAX_ATTEMPTS = 3

_SHED_REASONS = frozenset(reason.value for reason in ShedReason)

_RESULT_BY_STATUS: Mapping[EndpointStatus, RequestResult] = MappingProxyType(
    {
        EndpointStatus.ANSWERED: RequestResult.ANSWERED,
        EndpointStatus.FAILED: RequestResult.FAILED,
        EndpointStatus.RUNNING: RequestResult.LOST,
        EndpointStatus.NEVER_SEEN: RequestResult.REFUSED,
        EndpointStatus.REFUSED_EPOCH: RequestResult.REFUSED,
        EndpointStatus.REFUSED_CAPACITY: RequestResult.REFUSED,
        EndpointStatus.LEAVING: RequestResult.REFUSED,
    }
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """
    One attempt to run a request on one worker.

    *attempt_id* is unique; *deadline_ms* and *sent_ms* are monotonic times.
    """

    attempt_id: str
    deadline_ms: int
    sent_ms: int
    epoch: int
    incarnation: str


def is_complete_reply(reply: EndpointReply, attempt_id: str) -> bool:
    """
    Return whether *reply* belongs to the attempt and is not truncated.
    """
    return (
        reply.request_id == attempt_id
        and len(reply.body.encode()) == reply.body_bytes
    )


class RequestServer:
    """
    Runs idempotent requests, retrying failed attempts on other workers.
    """

    def __init__(
        self,
        context: ShardContext,
        dispatcher: Dispatcher,
    ) -> None:
        self._context = context
        self._dispatcher = dispatcher
        self._attempt_count = 0

    async def serve(self, request: ForwardedRequest) -> Outcome:
        """
        Run a request, with up to `MAX_ATTEMPTS` attempts until its deadline.

        Raises:
            ShardClosedError: The request was not run, because the table of
                this process has no such service.
        """
        demand = self._context.demand_of(request)
        deadline_ms = self._context.now_ms() + request.remaining_ms
        outcome: Outcome = _not_run(request, 'deadline')
        had_unknown_outcome = False
        for _ in range(MAX_ATTEMPTS):
            if self._remaining_ms(deadline_ms) < MIN_REMAINING_MS:
                break
            outcome = await self._attempt(request, demand, deadline_ms)
            had_unknown_outcome = had_unknown_outcome or isinstance(
                outcome, Unknown
            )
            if _is_final(outcome):
                break
        if had_unknown_outcome and not isinstance(outcome, Answer):
            return Unknown(
                request_id=request.request_id,
                reason='the endpoint failed or sent no complete reply in time',
                ask_again='send the same request again; it is idempotent',
            )
        return outcome

    def _remaining_ms(self, deadline_ms: int) -> int:
        return deadline_ms - self._context.now_ms()

    async def _attempt(
        self,
        request: ForwardedRequest,
        demand: Resources,
        deadline_ms: int,
    ) -> Outcome:
        self._attempt_count += 1
        attempt_id = (
            f'{request.request_id}.{self._context.epoch}.{self._attempt_count}'
        )
        decision = await self._dispatcher.place(
            request_id=attempt_id,
            member=request.member,
            service=request.service,
            demand=demand,
            deadline_ms=deadline_ms,
        )
        if isinstance(decision, ShedRequest):
            return NotRun(
                request_id=request.request_id,
                reason=decision.reason.value,
                retry_after_ms=decision.retry_after_ms,
            )
        link = self._context.links[decision.worker_id]
        attempt = Attempt(
            attempt_id=attempt_id,
            deadline_ms=deadline_ms,
            sent_ms=self._context.now_ms(),
            epoch=link.confirmed_epoch,
            incarnation=link.incarnation,
        )
        return await self._send(request, demand, attempt, link)

    async def _send(
        self,
        request: ForwardedRequest,
        demand: Resources,
        attempt: Attempt,
        link: WorkerLink,
    ) -> Outcome:
        message = EndpointRequest(
            request_id=attempt.attempt_id,
            service=request.service,
            shard=self._context.shard,
            epoch=attempt.epoch,
            demand=demand,
            deadline_ms=max(1, self._remaining_ms(attempt.deadline_ms)),
            body=request.body,
        )
        try:
            reply = await link.request(message)
        except WorkerUnreachableError:
            link.mark_unreachable()
            self._release(attempt, RequestResult.LOST)
            return _not_run(request, 'worker_unreachable')
        except (WorkerReplyLostError, asyncio.CancelledError) as error:
            # The endpoint may still be running the request, so its slot stays
            # reserved until the worker reports the final status.
            self._context.tasks.spawn(self._release_when_ended(link, attempt))
            if isinstance(error, asyncio.CancelledError):
                raise
            return _unknown(request)
        return self._outcome_of_reply(request, attempt, reply)

    def _outcome_of_reply(
        self,
        request: ForwardedRequest,
        attempt: Attempt,
        reply: EndpointReply,
    ) -> Outcome:
        self._release(attempt, _RESULT_BY_STATUS[reply.status])
        if did_not_run(reply.status):
            return _not_run(request, reply.status.value)
        has_answer_status = reply.status is EndpointStatus.ANSWERED
        if has_answer_status and is_complete_reply(reply, attempt.attempt_id):
            return Answer(request_id=request.request_id, body=reply.body)
        return _unknown(request)

    async def _release_when_ended(
        self, link: WorkerLink, attempt: Attempt
    ) -> None:
        await poll_final_status(
            link,
            SentRequest(
                request_id=attempt.attempt_id,
                epoch=attempt.epoch,
                incarnation=attempt.incarnation,
                sent_ms=attempt.sent_ms,
            ),
            clock=self._context.clock,
            timing=self._context.timing,
        )
        self._release(attempt, RequestResult.LOST)

    def _release(self, attempt: Attempt, result: RequestResult) -> None:
        duration_ms = self._context.now_ms() - attempt.sent_ms
        self._dispatcher.release(attempt.attempt_id, result, duration_ms)


def _unknown(request: ForwardedRequest) -> Unknown:
    return Unknown(request_id=request.request_id, reason='no_whole_answer')


def _not_run(request: ForwardedRequest, reason: str) -> NotRun:
    return NotRun(request_id=request.request_id, reason=reason)


def _is_final(outcome: Outcome) -> bool:
    """
    Return whether another attempt on this shard would be pointless.
    """
    if isinstance(outcome, NotRun):
        return outcome.reason in _SHED_REASONS
    return isinstance(outcome, Answer)
