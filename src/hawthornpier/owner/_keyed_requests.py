"""
At-most-once execution of requests that carry an idempotency key.

The intent is made durable before a request is sent to a worker, and the
outcome before it is returned to the caller.  A repeated request with the same
key therefore gets the first outcome, also from later owners of the shard.
"""

import asyncio
import contextlib
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from hawthornpier.messages import (
    Answer,
    EndpointReply,
    EndpointRequest,
    EndpointStatus,
    EventKind,
    ForwardedRequest,
    NotRun,
    Outcome,
    OutcomeKind,
    Resources,
    Unknown,
)
from hawthornpier.owner._context import ShardContext
from hawthornpier.owner._dispatch import Dispatcher
from hawthornpier.owner._errors import (
    OwnerError,
    ShardClosedError,
)
from hawthornpier.owner._final_status import (
    SentRequest,
    did_not_run,
    poll_final_status,
)
from hawthornpier.owner._link import LinkState, WorkerLink
from hawthornpier.owner._records import IntentRecord, intent_key, put
from hawthornpier.owner._requests import is_complete_reply
from hawthornpier.policy import RequestResult, ShedRequest
from hawthornpier.ports import (
    WorkerReplyLostError,
    WorkerUnreachableError,
)

# Limits the size of one transaction; further rows are deleted in the next
# purge interval.
MAX_PURGED_ROWS = 500

_REPEAT_ADVICE = 'send the same request again with the same Idempotency-Key'


@dataclass(slots=True, kw_only=True)
class _KeyedRequest:
    """
    A request with an idempotency key, and the future of its outcome.

    Requests that repeat the key await the same future.
    """

    intent: IntentRecord
    outcome: asyncio.Future[Outcome] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future(),
    )


class KeyedRequestServer:
    """
    Runs the request of each idempotency key at most once.

    Outcomes are kept for the retention time.
    """

    def __init__(
        self,
        context: ShardContext,
        dispatcher: Dispatcher,
    ) -> None:
        self._context = context
        self._dispatcher = dispatcher
        self._requests_by_key: dict[str, _KeyedRequest] = {}

    def load(self, intents: Iterable[IntentRecord]) -> None:
        """
        Load recorded requests and resolve those without an outcome.

        The records were written by earlier owners of the shard.
        """
        for intent in intents:
            keyed_request = _KeyedRequest(intent=intent)
            self._requests_by_key[intent.idempotency_key] = keyed_request
            if intent.outcome_kind:
                keyed_request.outcome.set_result(_recorded_outcome(intent))
            else:
                self._context.tasks.spawn(self._resolve(keyed_request))

    async def serve(self, request: ForwardedRequest) -> Outcome:
        """
        Return the outcome of the key; run the request if the key is new.

        Raises:
            ShardClosedError: The request was not run, because the table of
                this process has no such service.
        """
        keyed_request = self._requests_by_key.get(request.idempotency_key)
        if keyed_request is None:
            keyed_request = self._register(request)
        try:
            outcome = await asyncio.wait_for(
                asyncio.shield(keyed_request.outcome),
                request.remaining_ms / 1000,
            )
        except TimeoutError:
            return Unknown(
                request_id=request.request_id,
                reason='the outcome is not known yet',
                ask_again=_REPEAT_ADVICE,
            )
        return replace(outcome, request_id=request.request_id)

    async def purge(self) -> None:
        """
        Delete requests with an outcome that are past the retention time.

        Raises:
            OwnerError: They were not deleted, or it is unknown whether they
                were.
        """
        cutoff_ms = self._context.retention_cutoff_ms()
        expired = [
            key
            for key, keyed_request in self._requests_by_key.items()
            if keyed_request.outcome.done()
            and keyed_request.intent.created_wall_ms < cutoff_ms
        ][:MAX_PURGED_ROWS]
        if not expired:
            return
        shard = self._context.shard
        await self._context.commit(
            deletes=tuple(intent_key(shard, key) for key in expired),
        )
        for key in expired:
            self._requests_by_key.pop(key, None)

    def _register(self, request: ForwardedRequest) -> _KeyedRequest:
        demand = self._context.demand_of(request)
        keyed_request = _KeyedRequest(
            intent=IntentRecord(
                idempotency_key=request.idempotency_key,
                request_id=f'{request.request_id}.{self._context.epoch}',
                service=request.service,
                worker_id='',
                worker_incarnation='',
                epoch=0,
                created_wall_ms=self._context.clock.wall_ms(),
            ),
        )
        self._requests_by_key[request.idempotency_key] = keyed_request
        # A separate task runs the request to its end even if the caller
        # disconnects.
        self._context.tasks.spawn(self._run(keyed_request, request, demand))
        return keyed_request

    async def _run(
        self,
        keyed_request: _KeyedRequest,
        request: ForwardedRequest,
        demand: Resources,
    ) -> None:
        deadline_ms = self._context.now_ms() + request.remaining_ms
        decision = await self._dispatcher.place(
            request_id=keyed_request.intent.request_id,
            member=request.member,
            service=request.service,
            demand=demand,
            deadline_ms=deadline_ms,
        )
        if isinstance(decision, ShedRequest):
            self._set_not_run(
                keyed_request, decision.reason.value, decision.retry_after_ms
            )
            return
        link = self._context.links[decision.worker_id]
        keyed_request.intent = replace(
            keyed_request.intent,
            worker_id=decision.worker_id,
            worker_incarnation=link.incarnation,
            epoch=link.confirmed_epoch,
        )
        if not await self._record_intent(keyed_request, deadline_ms):
            self._release(keyed_request, RequestResult.REFUSED, 0)
            return
        await self._send(keyed_request, request, demand, deadline_ms)

    async def _record_intent(
        self, keyed_request: _KeyedRequest, deadline_ms: int
    ) -> bool:
        """
        Make the intent to send the request durable.

        Returns:
            False if the commit failed; the request must not be sent then.
        """
        timeout_ms = max(1, deadline_ms - self._context.now_ms())
        key = intent_key(
            self._context.shard, keyed_request.intent.idempotency_key
        )
        try:
            await self._context.committer.commit(
                (put(key, keyed_request.intent),),
                timeout_ms=min(
                    timeout_ms, self._context.timing.commit_deadline_ms
                ),
            )
        except ShardClosedError:
            self._set_not_run(keyed_request, 'shard_moved')
            return False
        except OwnerError:
            # The intent may be recorded, but the request is never sent, so
            # "not run" is certain.
            self._set_not_run(keyed_request, 'store_unavailable')
            return False
        self._context.events.record(
            EventKind.INTENT_RECORDED,
            shard=self._context.shard,
            worker_id=keyed_request.intent.worker_id,
            request_id=keyed_request.intent.request_id,
        )
        return True

    async def _send(
        self,
        keyed_request: _KeyedRequest,
        request: ForwardedRequest,
        demand: Resources,
        deadline_ms: int,
    ) -> None:
        link = self._context.links[keyed_request.intent.worker_id]
        sent_ms = self._context.now_ms()
        message = EndpointRequest(
            request_id=keyed_request.intent.request_id,
            service=request.service,
            shard=self._context.shard,
            epoch=keyed_request.intent.epoch,
            demand=demand,
            deadline_ms=max(1, deadline_ms - sent_ms),
            body=request.body,
            idempotency_key=request.idempotency_key,
        )
        reply: EndpointReply | None
        try:
            reply = await link.request(message)
        except WorkerUnreachableError:
            link.mark_unreachable()
            self._release(keyed_request, RequestResult.LOST, sent_ms)
            await self._delete_intent(keyed_request, 'worker_unreachable')
            return
        except WorkerReplyLostError:
            reply = None
        if reply is None or not self._is_final_reply(keyed_request, reply):
            reply = await self._poll_final_status(keyed_request, link, sent_ms)
        self._release(keyed_request, _request_result(reply), sent_ms)
        if reply is None:
            await self._resolve(keyed_request)
            return
        await self._record_reply(keyed_request, reply)

    def _is_final_reply(
        self, keyed_request: _KeyedRequest, reply: EndpointReply
    ) -> bool:
        if did_not_run(reply.status) or reply.status is EndpointStatus.FAILED:
            return True
        return reply.status is EndpointStatus.ANSWERED and is_complete_reply(
            reply,
            keyed_request.intent.request_id,
        )

    async def _poll_final_status(
        self,
        keyed_request: _KeyedRequest,
        link: WorkerLink,
        sent_ms: int,
    ) -> EndpointReply | None:
        return await poll_final_status(
            link,
            SentRequest(
                request_id=keyed_request.intent.request_id,
                epoch=keyed_request.intent.epoch,
                incarnation=keyed_request.intent.worker_incarnation,
                sent_ms=sent_ms,
            ),
            clock=self._context.clock,
            timing=self._context.timing,
        )

    async def _resolve(self, keyed_request: _KeyedRequest) -> None:
        """
        Determine and record the outcome of a request that may have been sent.

        The outcome is pending while the worker is unreachable.  It is recorded
        as unknown if the worker has restarted, since the restart erased its
        record of requests.  The request is never run again.
        """
        reply = None
        while reply is None:
            link = await self._wait_for_open_link(
                keyed_request.intent.worker_id
            )
            if link.incarnation != keyed_request.intent.worker_incarnation:
                await self._record_forgotten(keyed_request)
                return
            # The worker has confirmed the current epoch, so it rejects a
            # request of an earlier owner that is still in transit.
            now_ms = self._context.now_ms()
            reply = await self._poll_final_status(keyed_request, link, now_ms)
        self._context.events.record(
            EventKind.INTENT_RESOLVED,
            shard=self._context.shard,
            worker_id=keyed_request.intent.worker_id,
            request_id=keyed_request.intent.request_id,
            detail=reply.status.value,
        )
        await self._record_reply(keyed_request, reply)

    async def _wait_for_open_link(self, worker_id: str) -> WorkerLink:
        while True:
            link = self._context.links.get(worker_id)
            if link is not None and link.state is LinkState.OPEN:
                return link
            await self._context.clock.sleep_ms(
                self._context.timing.status_poll_interval_ms
            )

    async def _record_forgotten(self, keyed_request: _KeyedRequest) -> None:
        await self._record_outcome(
            keyed_request,
            Unknown(
                request_id=keyed_request.intent.request_id,
                reason='worker_restarted',
                ask_again='the request may have run and will not be run again',
            ),
        )

    async def _record_reply(
        self, keyed_request: _KeyedRequest, reply: EndpointReply
    ) -> None:
        if did_not_run(reply.status):
            await self._delete_intent(keyed_request, reply.status.value)
            return
        if reply.status is EndpointStatus.ANSWERED:
            outcome: Outcome = Answer(
                request_id=reply.request_id,
                body=reply.body,
            )
        else:
            outcome = Unknown(
                request_id=reply.request_id,
                reason='endpoint_failed',
                ask_again='the request ran, failed and will not be run again',
            )
        await self._record_outcome(keyed_request, outcome)

    async def _record_outcome(
        self, keyed_request: _KeyedRequest, outcome: Outcome
    ) -> None:
        """
        Make the outcome durable, then return it to all waiting callers.
        """
        keyed_request.intent = _with_outcome(keyed_request.intent, outcome)
        key = intent_key(
            self._context.shard, keyed_request.intent.idempotency_key
        )
        if not await self._context.commit_with_retries(
            put(key, keyed_request.intent)
        ):
            # The shard was lost.  Its next owner gets the outcome from the
            # worker.
            self._requests_by_key.pop(
                keyed_request.intent.idempotency_key, None
            )
            return
        _set_outcome(keyed_request, outcome)

    async def _delete_intent(
        self, keyed_request: _KeyedRequest, reason: str
    ) -> None:
        """
        Delete the intent of a request that did not run.
        """
        key = intent_key(
            self._context.shard, keyed_request.intent.idempotency_key
        )
        # If the commit fails, the intent remains.  The owner that loads it
        # finds out from the worker that the request did not run.
        with contextlib.suppress(OwnerError):
            await self._context.commit(deletes=(key,))
        self._set_not_run(keyed_request, reason)

    def _set_not_run(
        self,
        keyed_request: _KeyedRequest,
        reason: str,
        retry_after_ms: int = 0,
    ) -> None:
        # The key is removed, so a repeated request with it is run as a new one.
        self._requests_by_key.pop(keyed_request.intent.idempotency_key, None)
        _set_outcome(
            keyed_request,
            NotRun(
                request_id=keyed_request.intent.request_id,
                reason=reason,
                retry_after_ms=retry_after_ms,
            ),
        )

    def _release(
        self,
        keyed_request: _KeyedRequest,
        result: RequestResult,
        sent_ms: int,
    ) -> None:
        duration_ms = self._context.now_ms() - sent_ms if sent_ms else 0
        self._dispatcher.release(
            keyed_request.intent.request_id,
            result,
            duration_ms,
        )


def _set_outcome(keyed_request: _KeyedRequest, outcome: Outcome) -> None:
    if not keyed_request.outcome.done():
        keyed_request.outcome.set_result(outcome)


def _request_result(reply: EndpointReply | None) -> RequestResult:
    if reply is None:
        return RequestResult.LOST
    if did_not_run(reply.status):
        return RequestResult.REFUSED
    if reply.status is EndpointStatus.ANSWERED:
        return RequestResult.ANSWERED
    return RequestResult.FAILED


def _with_outcome(intent: IntentRecord, outcome: Outcome) -> IntentRecord:
    if isinstance(outcome, Answer):
        return replace(
            intent,
            outcome_kind=OutcomeKind.ANSWER,
            body=outcome.body,
        )
    return replace(
        intent,
        outcome_kind=OutcomeKind.UNKNOWN,
        reason=outcome.reason,
    )


def _recorded_outcome(intent: IntentRecord) -> Outcome:
    if intent.outcome_kind == OutcomeKind.ANSWER:
        return Answer(request_id=intent.request_id, body=intent.body)
    return Unknown(
        request_id=intent.request_id,
        reason=intent.reason,
        ask_again=(
            'the request will not be run again; '
            'ask the member that runs the service'
        ),
    )
