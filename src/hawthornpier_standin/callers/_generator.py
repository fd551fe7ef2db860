"""
An open-loop load generator: slow replies do not delay later requests.
"""

import asyncio
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import Any

import msgspec

from hawthornpier.ports import Clock
from hawthornpier_standin.callers._entry import (
    CallResult,
    EntryCall,
    EntryPort,
    EntryReply,
)
from hawthornpier_standin.callers._plan import Arrival, ServiceLoad, arrivals
from hawthornpier_standin.callers._summary import Summary, Tally
from hawthornpier_standin.history import Record, RecordKind
from hawthornpier_standin.workers import Recorder

# How often a caller retries an order (a request that must not run twice) whose
# outcome is unknown, and how long it waits before each retry.
_MAX_RETRIES = 5
_RETRY_DELAY_MS = 500

_RECORD_KINDS: Mapping[CallResult, RecordKind] = MappingProxyType(
    {
        CallResult.ANSWERED: RecordKind.REQUEST_ANSWERED,
        CallResult.WRONG: RecordKind.REQUEST_ANSWERED,
        CallResult.NOT_RUN: RecordKind.REQUEST_NOT_RUN,
        CallResult.UNKNOWN: RecordKind.REQUEST_UNKNOWN,
        CallResult.REPLY_LOST: RecordKind.CONNECTION_CUT,
        # No request was sent, so none ran.
        CallResult.UNREACHABLE: RecordKind.REQUEST_NOT_RUN,
    },
)
_UNDECIDED_RESULTS = frozenset((CallResult.UNKNOWN, CallResult.REPLY_LOST))


class _Answer(msgspec.Struct):
    service: str
    echo: str


@dataclass(frozen=True, slots=True, kw_only=True)
class _PlannedCall:
    arrival: Arrival
    source: str
    planned_ms: float
    call: EntryCall


class LoadGenerator:
    """
    Callers that send requests to the entry processes in round-robin order.

    Args:
        entries: Clients of the entry processes.
        clock: Time source.
        recorder: Receives the history records.
        name: Name of the callers in the history; a prefix of the operation
            ids, so it must be unique in a history.
        seed: Seed of the random arrivals.
    """

    def __init__(
        self,
        entries: Sequence[EntryPort],
        *,
        clock: Clock,
        recorder: Recorder,
        name: str,
        seed: int,
    ) -> None:
        self._entries = tuple(entries)
        self._sent_count = 0
        self._clock = clock
        self._recorder = recorder
        self._name = name
        self._seed = seed
        self._tallies: dict[tuple[str, str], Tally] = {}

    async def run(
        self,
        loads: Iterable[ServiceLoad],
        *,
        duration_ms: float,
    ) -> tuple[Summary, ...]:
        """
        Send all loads concurrently.

        Returns:
            A summary for each service and phase, ordered by these.
        """
        async with asyncio.TaskGroup() as group:
            for load in loads:
                group.create_task(self._send_load(group, load, duration_ms))
        return tuple(
            tally.summary(*key) for key, tally in sorted(self._tallies.items())
        )

    async def _send_load(
        self,
        group: asyncio.TaskGroup,
        load: ServiceLoad,
        duration_ms: float,
    ) -> None:
        started_ms = self._clock.monotonic_ms()
        for arrival in arrivals(
            load,
            source=self._name,
            duration_ms=duration_ms,
            seed=self._seed,
        ):
            planned_ms = started_ms + arrival.at_ms
            await self._wait_until(planned_ms)
            first = self._plan_call(arrival, self._name, planned_ms)
            group.create_task(self._send_with_retries(first))
            if arrival.repeat_after_ms:
                group.create_task(self._send_repeat(arrival, planned_ms))

    def _plan_call(
        self,
        arrival: Arrival,
        source: str,
        planned_ms: float,
    ) -> _PlannedCall:
        return _PlannedCall(
            arrival=arrival,
            source=source,
            planned_ms=planned_ms,
            call=EntryCall(
                service=arrival.load.service,
                body=request_body(arrival),
                deadline_ms=arrival.load.deadline_ms,
                idempotency_key=arrival.operation if arrival.is_order else '',
            ),
        )

    async def _send_repeat(self, arrival: Arrival, planned_ms: float) -> None:
        repeated_ms = planned_ms + arrival.repeat_after_ms
        await self._wait_until(repeated_ms)
        source = f'{self._name}/repeat'
        await self._send_with_retries(
            self._plan_call(arrival, source, repeated_ms)
        )

    async def _send_with_retries(self, planned: _PlannedCall) -> None:
        reply = await self._send_and_record(planned)
        retry_count = 0
        while (
            planned.arrival.is_order
            and reply.ended in _UNDECIDED_RESULTS
            and retry_count < _MAX_RETRIES
        ):
            retry_count += 1
            await self._clock.sleep_ms(_RETRY_DELAY_MS)
            reply = await self._send_and_record(planned)
        load = planned.arrival.load
        phase = 'surge' if planned.arrival.is_in_surge else 'usual'
        tally = self._tallies.setdefault((load.service, phase), Tally())
        tally.add(
            reply.ended,
            self._clock.monotonic_ms() - planned.planned_ms,
            load.deadline_ms,
        )

    async def _send_and_record(self, planned: _PlannedCall) -> EntryReply:
        self._record(planned, RecordKind.REQUEST_INVOKED, planned.call.body)
        reply = check_reply(planned.call, await self._send(planned.call))
        self._record(
            planned,
            _RECORD_KINDS[reply.ended],
            reply.body,
            detail=reply.reason,
            process_id=reply.entry,
        )
        return reply

    async def _send(self, call: EntryCall) -> EntryReply:
        # Like a load balancer, skip entry processes that refuse connections;
        # no request was sent to them.
        first_index = self._sent_count % len(self._entries)
        self._sent_count += 1
        reply = EntryReply(ended=CallResult.UNREACHABLE)
        for entry in (
            *self._entries[first_index:],
            *self._entries[:first_index],
        ):
            reply = await entry.send(call)
            if reply.ended != CallResult.UNREACHABLE:
                break
        return reply

    async def _wait_until(self, at_ms: float) -> None:
        wait_ms = at_ms - self._clock.monotonic_ms()
        if wait_ms > 0:
            await self._clock.sleep_ms(wait_ms)

    def _record(
        self,
        planned: _PlannedCall,
        kind: RecordKind,
        content: str,
        **fields: Any,
    ) -> None:
        self._recorder(
            Record(
                at_ms=self._clock.monotonic_ms(),
                kind=kind,
                source=planned.source,
                operation=planned.arrival.operation,
                idempotency_key=planned.call.idempotency_key,
                is_idempotent=not planned.arrival.is_order,
                content=content,
                **fields,
            ),
        )


def request_body(arrival: Arrival) -> str:
    """
    Return the body of a request, the same for each send of an order.
    """
    return msgspec.json.encode(
        {
            'operation': arrival.operation,
            'padding': 'x' * arrival.load.padding_bytes,
        },
    ).decode()


def check_reply(call: EntryCall, reply: EntryReply) -> EntryReply:
    """
    Return *reply*, with the result `WRONG` if its answer is not to *call*.
    """
    if reply.ended != CallResult.ANSWERED:
        return reply
    reason = _mismatch(call, reply.body)
    if not reason:
        return reply
    return replace(reply, ended=CallResult.WRONG, reason=reason)


def _mismatch(call: EntryCall, body: str) -> str:
    try:
        answer = msgspec.json.decode(body, type=_Answer)
    except msgspec.DecodeError as error:
        return f'malformed answer: {error}'
    if (answer.service, answer.echo) == (call.service, call.body):
        return ''
    return 'the answer echoes another request'
