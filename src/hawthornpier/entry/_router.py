"""
Routing of requests of callers to the owners of shards.
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
    Deadlines and retries of the entry layer.

    *margin_ms* is subtracted from the deadline that the owner gets, so that the
    outcome still reaches the caller in time.
    """

    default_deadline_ms: int = 2_000
    margin_ms: int = 5
    retry_interval_ms: int = 50
    max_shard_attempts: int = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """
    A request of a caller.

    *deadline_ms* is the time left at the moment when the request arrived.
    """

    request_id: str
    member: str
    service: str
    body: str
    deadline_ms: int
    idempotency_key: str = ''


class EntryRouter:
    """
    Serves requests of callers with one of the three outcomes.

    The outcomes are `Answer`, `NotRun` and `Unknown`.
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
        # A process that has just started has no rows of the table yet, so
        # admission is checked before the service is looked up.
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
        Return the shard whose owner stores the outcome of the key.
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
                f'service {request.service!r} is not idempotent; '
                'its requests need an Idempotency-Key',
            )

    async def _serve_with_key(
        self, request: CallerRequest, expires_at_ms: int
    ) -> Outcome:
        """
        Send the request to the key's shard until it has an outcome.

        The owner runs the request of a key at most once, so retries are safe.
        They end when the deadline leaves no time for another one.
        """
        shard = self.shard_of(self._scoped_key(request))
        outcome: NotRun | Unknown = NotRun(
            request_id=request.request_id,
            reason='no_owner',
        )
        while self._remaining_ms(expires_at_ms) > self._timing.margin_ms:
            try:
                latest = await self._forward(request, shard, expires_at_ms)
            except PeerReplyLostError:
                outcome = _unknown_outcome(request, _KEYED_RETRY_ADVICE)
            except PeerError:
                # The shard may be changing its owner; the next owner loads the
                # durable intents, so the retry goes to it.
                outcome = replace(outcome, reason='no_owner')
            else:
                return _combine_outcomes(outcome, latest)
            await self._clock.sleep_ms(self._timing.retry_interval_ms)
        return outcome

    async def _serve_idempotent(
        self,
        request: CallerRequest,
        expires_at_ms: int,
    ) -> Outcome:
        """
        Try different shards until one returns an answer.

        The number of attempts is limited by `max_shard_attempts`.
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
            # The reply belongs to another request and must not reach this
            # caller.
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


def _combine_outcomes(earlier: NotRun | Unknown, latest: Outcome) -> Outcome:
    """
    Return the outcome after a retry.

    If the reply to an earlier attempt was lost, that attempt may still arrive
    and run, so `NotRun` from the retry does not replace `Unknown`.
    """
    if isinstance(earlier, Unknown) and isinstance(latest, NotRun):
        return earlier
    return latest


def _unknown_outcome(request: CallerRequest, ask_again: str) -> Unknown:
    return Unknown(
        request_id=request.request_id,
        reason='no_whole_answer',
        ask_again=ask_again,
    )
