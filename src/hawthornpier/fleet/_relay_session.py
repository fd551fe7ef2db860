"""
The relay's end of a connection: sends the owner's requests to workers.
"""

import asyncio
from collections.abc import Awaitable, Callable
from functools import singledispatch
from typing import Any

import msgspec

from hawthornpier.decoding import decode_json
from hawthornpier.events import DecisionLog
from hawthornpier.fleet._ports import (
    FleetWorker,
    OrderReply,
    Renewal,
    StartOrder,
    Verdict,
    WorkerDialer,
    WorkerEntry,
    WorkerListing,
)
from hawthornpier.fleet._relay_messages import (
    Answer,
    AnswerBatch,
    Call,
    CallBatch,
    Contact,
    Failure,
    SpeedOrder,
    StopOrder,
)
from hawthornpier.fleet._relay_pauses import SuspensionWatch
from hawthornpier.fleet._transit import TransitMeter
from hawthornpier.ports import Clock, WorkerError, WorkerReplyLostError

SendBatch = Callable[[bytes], None]

# Results that arrive within this time are sent together.
_COLLECTION_MS = 8.0
# Longest time between two batches, so that the owner detects a relay that does
# not respond.
_ALIVE_INTERVAL_MS = 150.0
# Calls that were on their way for longer are not sent, because the owner has
# given them up by then.
_MAX_TRANSIT_MS = 500.0
_TOO_LATE = Failure(is_sent=False, why='the call arrived too late')


class RelaySession:
    """
    Serves one connection of the owner of a shard.

    Args:
        dial: Creates the client of one incarnation of a worker.
        send: Sends an encoded batch to the owner.
        clock: The clock of this process.
        log: The log of scheduling decisions.
        is_leaving: Returns whether this process is about to end.
    """

    def __init__(
        self,
        dial: WorkerDialer,
        send: SendBatch,
        *,
        clock: Clock,
        log: DecisionLog,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._dial = dial
        self._send = send
        self._clock = clock
        self._log = log
        self._is_leaving = is_leaving
        self._transit = TransitMeter()
        self._suspensions = SuspensionWatch(clock, _MAX_TRANSIT_MS)
        self._clients: dict[int, FleetWorker] = {}
        self._answers: list[Answer] = []
        self._has_answers = asyncio.Event()
        self._calls: set[asyncio.Task[None]] = set()
        self._sender = asyncio.ensure_future(self._send_answers_forever())

    def receive(self, content: bytes) -> None:
        """
        Start the calls of a batch.

        Calls that were delayed on their way are answered as not sent: a
        process that was paused would otherwise carry out orders which the
        owner no longer counts on.

        Raises:
            DecodingError: The batch cannot be decoded.
        """
        batch = decode_json(content, CallBatch, subject='batch')
        for number in batch.ended:
            self._close_client(number)
        for contact in batch.contacts:
            self._close_client(contact.number)
            self._clients[contact.number] = self._dial(_entry_of(contact))
        transit_ms = self._transit.delay_ms(
            batch.sent_ms,
            self._clock.monotonic_ms(),
        )
        have_waited = self._suspensions.check_waiting()
        if have_waited or transit_ms > _MAX_TRANSIT_MS:
            self._reject(batch, transit_ms)
            return
        for call in batch.calls:
            task = asyncio.ensure_future(self._execute(call))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    def close(self) -> None:
        """
        Cancel the calls and close the connections to the workers.
        """
        self._sender.cancel()
        for task in self._calls:
            task.cancel()
        for number in tuple(self._clients):
            self._close_client(number)

    def _reject(self, batch: CallBatch, transit_ms: float) -> None:
        self._log.record(
            'relayed_calls_outdated',
            calls=len(batch.calls),
            transit_ms=int(transit_ms),
        )
        for call in batch.calls:
            self._answer(call.number, _TOO_LATE)

    async def _execute(self, call: Call) -> None:
        if self._suspensions.check_waiting():
            self._answer(call.number, _TOO_LATE)
            return
        client = self._clients.get(call.contact)
        if client is None:
            failure = Failure(is_sent=False, why='unknown contact')
            self._answer(call.number, failure)
            return
        sent_ms = self._clock.monotonic_ms()
        try:
            reply = await _send_request(call.request, client)
        except WorkerError as error:
            failure = Failure(
                is_sent=isinstance(error, WorkerReplyLostError),
                why=str(error),
                has_disconnected=error.has_disconnected,
            )
            self._answer(call.number, failure)
        else:
            worker_ms = self._clock.monotonic_ms() - sent_ms
            self._answer(call.number, reply, int(worker_ms))

    def _answer(
        self,
        number: int,
        reply: WorkerListing | OrderReply | Failure,
        worker_ms: int = 0,
    ) -> None:
        answer = Answer(number=number, result=reply, worker_ms=worker_ms)
        self._answers.append(answer)
        self._has_answers.set()

    async def _send_answers_forever(self) -> None:
        while True:
            self._suspensions.check_waiting()
            try:
                async with asyncio.timeout(_ALIVE_INTERVAL_MS / 1000):
                    await self._has_answers.wait()
            except TimeoutError:
                self._flush()
                continue
            await self._clock.sleep_ms(_COLLECTION_MS)
            self._flush()

    def _flush(self) -> None:
        self._has_answers.clear()
        batch = AnswerBatch(
            answers=tuple(self._answers),
            is_leaving=self._is_leaving(),
        )
        self._answers = []
        self._send(msgspec.json.encode(batch))

    def _close_client(self, number: int) -> None:
        client = self._clients.pop(number, None)
        if client is not None:
            client.close()


@singledispatch
def _send_request(
    request: Any, client: FleetWorker
) -> Awaitable[WorkerListing | OrderReply]:
    """
    Send a request of the owner to a worker.
    """
    raise TypeError(f'unknown request {request!r}')


@_send_request.register
async def _renew(
    request: Renewal, client: FleetWorker
) -> WorkerListing | OrderReply:
    reply = await client.renew(request)
    return OrderReply(verdict=reply) if isinstance(reply, Verdict) else reply


@_send_request.register
async def _start(request: StartOrder, client: FleetWorker) -> OrderReply:
    return await client.start(request)


@_send_request.register
async def _stop(request: StopOrder, client: FleetWorker) -> OrderReply:
    return await client.stop(
        request.task_key, request.attempt, request.fencing_token
    )


@_send_request.register
async def _throttle(request: SpeedOrder, client: FleetWorker) -> OrderReply:
    return await client.pace(
        request.task_key,
        request.attempt,
        request.percent,
        request.fencing_token,
    )


def _entry_of(contact: Contact) -> WorkerEntry:
    return WorkerEntry(
        worker_id=contact.worker_id,
        service=contact.service,
        address=contact.address,
        failure_domain='',
        processor_millis=0,
        memory_mb=0,
        accelerator_count=0,
        incarnation_ms=contact.incarnation_ms,
    )
