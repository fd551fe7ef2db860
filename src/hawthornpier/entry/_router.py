"""
Takes a caller's request to a shard and maps what happens to an outcome.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace

import xxhash

from hawthornpier.entry._errors import KeyRequiredError, UnknownServiceError
from hawthornpier.entry._interfaces import ShardChooser, ShardClient
from hawthornpier.messages import (
    Answer,
    EventKind,
    ForwardedRequest,
    NotRun,
    Outcome,
    Unknown,
)
from hawthornpier.owner import AdmissionGate, ServiceCatalog
from hawthornpier.ports import (
    Clock,
    EventSink,
    PeerError,
    PeerReplyLostError,
)

_KEYED_RETRY_ADVICE = (
    'send the same request again with the same Idempotency-Key'
)
_IDEMPOTENT_RETRY_ADVICE = 'send the same request again; it is idempotent'


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryTiming:
    """
    Limits of the entry.

    *margin_ms* is kept back from each deadline, so that the outcome still
    reaches the caller in time.
    """

    default_deadline_ms: int = 2_000
    margin_ms: int = 5
    retry_interval_ms: int = 50
    max_shard_attempts: int = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """
    A request as a caller sent it.
    """

    request_id: str
    member: str
    service: str
    body: str
    deadline_ms: int
    idempotency_key: str = ''


class EntryRouter:
    """
    Serves callers' requests with one of the three outcomes.
    """

    def __init__(
        self,
        *,
        shards: Sequence[str],
        client: ShardClient,
        chooser: ShardChooser,
        catalog: ServiceCatalog,
        gate: AdmissionGate,
        clock: Clock,
        timing: EntryTiming,
        events: EventSink,
    ) -> None:
        self._shards = tuple(sorted(shards))
        self._client = client
        self._chooser = chooser
        self._catalog = catalog
        self._gate = gate
        self._clock = clock
        self._timing = timing
        self._events = events

    async def serve(self, request: CallerRequest) -> Outcome:
        """
        Serve one request within its deadline.

        Raises:
            UnknownServiceError: The table has no such service.
            KeyRequiredError: The service needs an idempotency key.
        """
        self._record(EventKind.REQUEST_RECEIVED, request, request.service)
        # A process that has just started has no rows yet, so the gate comes
        # before the look-up of the service.
        if not self._gate.may_admit():
            return self._finish(
                request,
                NotRun(
                    request_id=request.request_id,
                    reason='table_unconfirmed',
                ),
            )
        self._check_request(request)
        expires_at_ms = self._clock.monotonic_ms() + request.deadline_ms
        if request.idempotency_key:
            outcome = await self._serve_with_key(request, expires_at_ms)
        else:
            outcome = await self._serve_idempotent(request, expires_at_ms)
        return self._finish(request, outcome)

    def shard_of(self, scoped_key: str) -> str:
        """
        Return the shard that keeps the outcome of the key.
        """
        digest = xxhash.xxh3_64_intdigest(scoped_key.encode())
        return self._shards[digest % len(self._shards)]

    def _check_request(self, request: CallerRequest) -> None:
        try:
            is_idempotent = self._catalog.is_idempotent(
                request.member,
                request.service,
            )
        except KeyError as error:
            raise UnknownServiceError(
                f'{request.member!r} has no service {request.service!r}',
            ) from error
        if not is_idempotent and not request.idempotency_key:
            raise KeyRequiredError(
                f'service {request.service!r} needs an Idempotency-Key',
            )

    async def _serve_with_key(
        self, request: CallerRequest, expires_at_ms: int
    ) -> Outcome:
        """
        Ask the key's owner until there is an outcome or no time is left.

        The owner runs the key at most once, so asking again is safe.
        """
        shard = self.shard_of(self._scoped_key(request))
        outcome: NotRun | Unknown = NotRun(
            request_id=request.request_id,
            reason='no_owner',
        )
        while self._remaining_ms(expires_at_ms) > self._timing.margin_ms:
            try:
                answered = await self._forward(request, shard, expires_at_ms)
            except PeerReplyLostError:
                outcome = _unknown_outcome(request, _KEYED_RETRY_ADVICE)
            except PeerError:
                # The shard changes hands; its next owner has the intents.
                outcome = replace(outcome, reason='no_owner')
            else:
                return _combine_outcomes(outcome, answered)
            await self._clock.sleep_ms(self._timing.retry_interval_ms)
        return outcome

    async def _serve_idempotent(
        self,
        request: CallerRequest,
        expires_at_ms: int,
    ) -> Outcome:
        """
        Try shards until one answers; a shard that did not run it is left out.
        """
        excluded: set[str] = set()
        outcome: Outcome = NotRun(
            request_id=request.request_id,
            reason='no_shard',
        )
        is_unknown = False
        for _ in range(self._timing.max_shard_attempts):
            shard = self._chooser.choose_for_request(
                request.service,
                len(request.body),
                excluded,
            )
            if shard is None or self._remaining_ms(expires_at_ms) <= 0:
                break
            excluded.add(shard)
            outcome = await self._try_shard(request, shard, expires_at_ms)
            if isinstance(outcome, Answer):
                return outcome
            is_unknown = is_unknown or isinstance(outcome, Unknown)
        if is_unknown:
            return _unknown_outcome(request, _IDEMPOTENT_RETRY_ADVICE)
        return outcome

    async def _try_shard(
        self,
        request: CallerRequest,
        shard: str,
        expires_at_ms: int,
    ) -> Outcome:
        try:
            return await self._forward(request, shard, expires_at_ms)
        except PeerReplyLostError:
            return _unknown_outcome(request, _IDEMPOTENT_RETRY_ADVICE)
        except PeerError:
            return NotRun(
                request_id=request.request_id,
                reason='owner_unreachable',
            )

    async def _forward(
        self,
        request: CallerRequest,
        shard: str,
        expires_at_ms: int,
    ) -> Outcome:
        self._record(EventKind.REQUEST_SENT, request, shard)
        remaining_ms = (
            self._remaining_ms(expires_at_ms) - self._timing.margin_ms
        )
        outcome = await self._client.forward(
            ForwardedRequest(
                request_id=request.request_id,
                shard=shard,
                member=request.member,
                service=request.service,
                body=request.body,
                remaining_ms=max(1, remaining_ms),
                idempotency_key=self._scoped_key(request),
            ),
        )
        if outcome.request_id != request.request_id:
            # A reply to another request must not reach this caller.
            return _unknown_outcome(request, _KEYED_RETRY_ADVICE)
        return outcome

    def _scoped_key(self, request: CallerRequest) -> str:
        if not request.idempotency_key:
            return ''
        return f'{request.member}/{request.service}/{request.idempotency_key}'

    def _remaining_ms(self, expires_at_ms: int) -> int:
        return expires_at_ms - self._clock.monotonic_ms()

    def _finish(self, request: CallerRequest, outcome: Outcome) -> Outcome:
        self._record(
            EventKind.REQUEST_ENDED,
            request,
            type(outcome).__name__,
        )
        return replace(outcome, request_id=request.request_id)

    def _record(
        self,
        kind: EventKind,
        request: CallerRequest,
        detail: str,
    ) -> None:
        self._events.record(
            kind,
            request_id=request.request_id,
            member=request.member,
            detail=detail,
        )


def _combine_outcomes(earlier: NotRun | Unknown, answered: Outcome) -> Outcome:
    """
    Return *answered*, unless an earlier message may still arrive and run.
    """
    if isinstance(earlier, Unknown) and isinstance(answered, NotRun):
        return earlier
    return answered


def _unknown_outcome(request: CallerRequest, ask_again: str) -> Unknown:
    return Unknown(
        request_id=request.request_id,
        reason='no_whole_answer',
        ask_again=ask_again,
    )
