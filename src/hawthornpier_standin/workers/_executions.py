"""
Serves the requests of callers on a simulated worker.
"""

import asyncio
import math
import random
from collections import OrderedDict, deque

import msgspec

from hawthornpier.messages import (
    EndpointReply,
    EndpointRequest,
    EndpointStatus,
    LatencySample,
)
from hawthornpier.ports import WorkerReplyLostError
from hawthornpier_standin.history import WORKER_DEAD
from hawthornpier_standin.workers._state import Execution, WorkerState

# Bounds the memory for request ids that must not be served again.
_MAX_KEPT_REQUESTS = 100_000
_MAX_KEPT_SAMPLES = 10_000
_WORK_TOLERANCE_MS = 1e-6


def endpoint_body(request: EndpointRequest) -> str:
    """
    Return the body of every simulated endpoint's reply to *request*.
    """
    return msgspec.json.encode(
        {'service': request.service, 'echo': request.body},
    ).decode()


def make_reply(
    request_id: str,
    status: EndpointStatus,
    body: str = '',
) -> EndpointReply:
    """
    Return a reply whose `body_bytes` matches its body.
    """
    return EndpointReply(
        request_id=request_id,
        status=status,
        body=body,
        body_bytes=len(body.encode()),
    )


class ExecutionTable:
    """
    Serves each request id and each idempotency key at most once.

    Args:
        state: State of the worker.
        seed: Seed of the random service times.
    """

    def __init__(self, state: WorkerState, *, seed: int) -> None:
        self._state = state
        self._random = random.Random(f'{seed}/{state.worker_id}')
        self._known: OrderedDict[str, Execution] = OrderedDict()
        self._request_ids_by_key: dict[str, str] = {}
        self._ended: deque[tuple[int, Execution]] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._samples: deque[LatencySample] = deque(maxlen=_MAX_KEPT_SAMPLES)

    def find(self, request: EndpointRequest) -> Execution | None:
        """
        Return the execution of the same request id or idempotency key.

        Returns None if there is none.
        """
        request_id = self._request_ids_by_key.get(
            request.idempotency_key,
            request.request_id,
        )
        return self._known.get(request_id)

    def start(self, request: EndpointRequest) -> Execution:
        """
        Begin to serve *request*, which must be new and admitted already.
        """
        execution = Execution(
            request=request,
            started_ms=self._state.clock.monotonic_ms(),
            remaining_ms=self._draw_service_ms(request.service),
            reply=asyncio.get_running_loop().create_future(),
        )
        self._register(execution)
        self._state.executions[request.request_id] = execution
        self._state.journal.execution_started(request)
        task = asyncio.ensure_future(self._execute(execution))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return execution

    def status_of(self, request_id: str) -> EndpointReply:
        """
        Return the reply of a request, or its status if it has none.

        A request whose reply is no longer kept is reported as failed, since
        it did run.
        """
        execution = self._known.get(request_id)
        if execution is None:
            return make_reply(request_id, EndpointStatus.NEVER_SEEN)
        if execution.reply.done():
            return execution.reply.result()
        return make_reply(request_id, EndpointStatus.RUNNING)

    def samples(self, since_ms: int, until_ms: int) -> list[LatencySample]:
        """
        Return the latencies of requests by the wall time of their end.

        The range excludes *since_ms* and includes *until_ms*.
        """
        return [
            sample
            for sample in self._samples
            if since_ms < sample.ended_ms <= until_ms
        ]

    def lose_all(self) -> None:
        """
        Discard every request because the worker died.
        """
        for task in self._tasks:
            task.cancel()
        for execution in self._state.executions.values():
            self._state.journal.execution_ended(execution.request, WORKER_DEAD)
            execution.reply.set_exception(
                WorkerReplyLostError('the worker died'),
            )
            # Retrieved because asyncio logs exceptions that nobody retrieves.
            execution.reply.exception()
        self._state.executions.clear()

    def _draw_service_ms(self, service: str) -> float:
        model = self._state.model
        times = model.services.get(service, model.service_time)
        return self._random.lognormvariate(
            math.log(times.median_ms),
            times.sigma,
        )

    def _register(self, execution: Execution) -> None:
        self._discard_old_replies()
        request = execution.request
        self._known[request.request_id] = execution
        if request.idempotency_key:
            self._request_ids_by_key[request.idempotency_key] = (
                request.request_id
            )
        while len(self._known) > _MAX_KEPT_REQUESTS:
            _, oldest = self._known.popitem(last=False)
            self._request_ids_by_key.pop(oldest.request.idempotency_key, None)

    def _discard_old_replies(self) -> None:
        limit_ms = (
            self._state.clock.monotonic_ms()
            - self._state.model.reply_retention_ms
        )
        while self._ended and self._ended[0][0] < limit_ms:
            _, execution = self._ended.popleft()
            failed_reply = asyncio.get_running_loop().create_future()
            failed_reply.set_result(
                make_reply(execution.request.request_id, EndpointStatus.FAILED),
            )
            execution.reply = failed_reply

    async def _execute(self, execution: Execution) -> None:
        if self._state.faults.fails_all:
            await self._state.pass_time(self._state.model.fail_after_ms)
            self._end(execution, EndpointStatus.FAILED)
            return
        while execution.remaining_ms > _WORK_TOLERANCE_MS:
            await self._step(execution)
        self._end(execution, EndpointStatus.ANSWERED)

    async def _step(self, execution: Execution) -> None:
        speed = self._state.execution_speed(execution)
        step_ms = min(
            self._state.model.step_ms,
            execution.remaining_ms / speed,
        )
        await self._state.pass_time(step_ms)
        execution.remaining_ms -= step_ms * speed

    def _end(self, execution: Execution, status: EndpointStatus) -> None:
        request = execution.request
        now_ms = self._state.clock.monotonic_ms()
        self._state.executions.pop(request.request_id, None)
        self._state.journal.execution_ended(request, status)
        self._ended.append((now_ms, execution))
        self._samples.append(
            LatencySample(
                service=request.service,
                duration_ms=now_ms - execution.started_ms,
                ended_ms=self._state.clock.wall_ms(),
            ),
        )
        body = ''
        if status == EndpointStatus.ANSWERED:
            body = endpoint_body(request)
        execution.reply.set_result(make_reply(request.request_id, status, body))
