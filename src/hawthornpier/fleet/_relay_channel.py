"""
The owner's end of a connection to a relay.
"""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

import msgspec

from hawthornpier.decoding import decode_json
from hawthornpier.fleet._ports import OrderReply, WorkerEntry, WorkerListing
from hawthornpier.fleet._relay_messages import (
    Answer,
    AnswerBatch,
    Call,
    CallBatch,
    Contact,
    Failure,
    Request,
)
from hawthornpier.ports import (
    ActiveTime,
    Clock,
    WorkerReplyLostError,
    WorkerUnreachableError,
)

# Calls that are made within this time are sent together.
_COLLECTION_MS = 6.0
_CHECK_INTERVAL_MS = 50.0
# Longest step of the active time between two checks.  The time that this
# process was paused for is not held against the relay.
_MAX_STEP_MS = 100
# A relay that has sent nothing for this long does not respond.
_SILENCE_MS = 600


class RelaySocket(Protocol):
    """
    A connection that carries whole messages.
    """

    def send(self, content: bytes) -> None:
        """
        Queue a message.
        """
        ...

    async def receive(self) -> bytes | None:
        """
        Return the next message, or None at the end of the connection.
        """
        ...

    def close(self) -> None:
        """
        Close the connection.
        """
        ...


@dataclass(slots=True)
class _PendingCall:
    """
    A call without an answer; the times are in active time.
    """

    made_ms: float
    deadline_ms: float
    future: 'asyncio.Future[WorkerListing | OrderReply]'


class RelayChannel:
    """
    Sends calls to one relay and matches the answers.

    Args:
        socket: The connection to the relay.
        clock: The clock of this process.
        on_delay: Called with the time that the relay took for a call, in
            milliseconds of active time.
    """

    def __init__(
        self,
        socket: RelaySocket,
        clock: Clock,
        *,
        on_delay: Callable[[float], None] | None = None,
    ) -> None:
        self.is_open = True
        self.is_leaving = False
        self._socket = socket
        self._clock = clock
        self._on_delay = on_delay or _ignore_delay
        self._active = ActiveTime(clock, _MAX_STEP_MS)
        self._heard_ms = self._active.read_ms()
        # When the relay last answered a call.
        self._answered_ms = self._heard_ms
        self._numbers = itertools.count(1)
        self._contacts: dict[tuple[str, int, str], int] = {}
        self._pending: dict[int, _PendingCall] = {}
        self._calls: list[Call] = []
        # When the oldest of these calls was made.
        self._oldest_call_ms: float = 0
        self._new_contacts: list[Contact] = []
        self._ended_contacts: list[int] = []
        self._has_calls = asyncio.Event()

    @property
    def is_idle(self) -> bool:
        """
        Return whether no call awaits an answer.
        """
        return not self._pending

    async def run(self) -> str:
        """
        Exchange messages until the connection ends.

        Returns:
            Why it ended.
        """
        tasks = [
            asyncio.ensure_future(each)
            for each in (
                self._receive_forever(),
                self._send_forever(),
                self._check_forever(),
            )
        ]
        try:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            return ', '.join(_ending(task) for task in done)
        finally:
            for task in tasks:
                task.cancel()
            self._close()

    async def call(
        self,
        entry: WorkerEntry,
        request: Request,
        timeout_ms: float,
    ) -> WorkerListing | OrderReply:
        """
        Have the relay send a request to a worker, and return the reply.

        Raises:
            WorkerUnreachableError: The request was not sent to the worker.
            WorkerReplyLostError: The worker may have received it.
        """
        if not self.is_open:
            raise WorkerUnreachableError('the connection to the relay ended')
        number = next(self._numbers)
        if not self._calls:
            self._oldest_call_ms = self._clock.monotonic_ms()
        self._calls.append(
            Call(
                number=number,
                contact=self._contact_number(entry),
                request=request,
            ),
        )
        self._has_calls.set()
        made_ms = self._active.read_ms()
        pending = _PendingCall(
            made_ms,
            made_ms + timeout_ms,
            asyncio.get_running_loop().create_future(),
        )
        self._pending[number] = pending
        try:
            return await pending.future
        finally:
            self._pending.pop(number, None)

    def end_contact(self, entry: WorkerEntry) -> None:
        """
        Have the relay close its connections to an incarnation of a worker.
        """
        number = self._contacts.pop(_contact_key(entry), None)
        if number is not None:
            self._ended_contacts.append(number)

    def _contact_number(self, entry: WorkerEntry) -> int:
        key = _contact_key(entry)
        number = self._contacts.get(key)
        if number is None:
            number = next(self._numbers)
            self._contacts[key] = number
            self._new_contacts.append(
                Contact(
                    number=number,
                    worker_id=entry.worker_id,
                    service=entry.service,
                    address=entry.address,
                    incarnation_ms=entry.incarnation_ms,
                ),
            )
        return number

    async def _send_forever(self) -> str:
        while True:
            await self._has_calls.wait()
            await self._clock.sleep_ms(_COLLECTION_MS)
            self._has_calls.clear()
            # If this process was suspended since, the relay sends none of them.
            batch = CallBatch(
                sent_ms=self._oldest_call_ms,
                calls=tuple(self._calls),
                contacts=tuple(self._new_contacts),
                ended=tuple(self._ended_contacts),
            )
            self._calls = []
            self._new_contacts = []
            self._ended_contacts = []
            self._socket.send(msgspec.json.encode(batch))

    async def _receive_forever(self) -> str:
        while True:
            content = await self._socket.receive()
            if content is None:
                return 'the relay closed the connection'
            self._heard_ms = self._active.read_ms()
            batch = decode_json(content, AnswerBatch, subject='batch')
            self.is_leaving = batch.is_leaving
            if batch.answers:
                self._answered_ms = self._heard_ms
            for answer in batch.answers:
                pending = self._pending.get(answer.number)
                if pending is not None and not pending.future.done():
                    self._record_delay(pending, answer)
                    _resolve(pending.future, answer.result)

    def _record_delay(self, pending: _PendingCall, answer: Answer) -> None:
        """
        Record how long the relay took for a call.

        Workers delay their listings, but reply to orders at once.  A call that
        the relay has sent in vain tells more about the worker.
        """
        taken_ms = self._active.read_ms() - pending.made_ms
        if isinstance(answer.result, WorkerListing):
            self._on_delay(max(taken_ms - answer.worker_ms, 0))
        elif not (isinstance(answer.result, Failure) and answer.result.is_sent):
            self._on_delay(taken_ms)

    async def _check_forever(self) -> str:
        while True:
            await self._clock.sleep_ms(_CHECK_INTERVAL_MS)
            now_ms = self._active.read_ms()
            if now_ms - self._heard_ms > _SILENCE_MS:
                return 'the relay does not respond'
            expired = [
                pending
                for pending in self._pending.values()
                if now_ms > pending.deadline_ms
            ]
            for pending in expired:
                self._on_delay(now_ms - pending.made_ms)
                _fail(pending.future, 'no reply through the relay')
            # Messages of the relay may arrive although those to it do not, and
            # repetitions of the latter may take as long as they did not.
            if any(each.made_ms >= self._answered_ms for each in expired):
                return 'the relay does not answer calls'

    def _close(self) -> None:
        self.is_open = False
        unsent = {call.number for call in self._calls}
        for number, pending in tuple(self._pending.items()):
            if number in unsent:
                _fail(
                    pending.future,
                    'the connection to the relay ended',
                    WorkerUnreachableError,
                )
            else:
                _fail(pending.future, 'the connection to the relay ended')
        self._socket.close()


def _ignore_delay(delay_ms: float) -> None:
    """
    Do nothing, as nobody measures this relay.
    """


def _contact_key(entry: WorkerEntry) -> tuple[str, int, str]:
    return (entry.worker_id, entry.incarnation_ms, entry.address)


def _ending(task: 'asyncio.Task[str]') -> str:
    if task.cancelled():
        return 'a call of the connection was cancelled'
    error = task.exception()
    return task.result() if error is None else repr(error)


def _resolve(
    future: 'asyncio.Future[WorkerListing | OrderReply]',
    reply: WorkerListing | OrderReply | Failure,
) -> None:
    if isinstance(reply, Failure):
        kind = WorkerReplyLostError if reply.is_sent else WorkerUnreachableError
        _fail(
            future,
            reply.why,
            partial(kind, has_disconnected=reply.has_disconnected),
        )
    else:
        future.set_result(reply)


def _fail(
    future: 'asyncio.Future[WorkerListing | OrderReply]',
    why: str,
    kind: Callable[[str], Exception] = WorkerReplyLostError,
) -> None:
    if not future.done():
        future.set_exception(kind(why))
