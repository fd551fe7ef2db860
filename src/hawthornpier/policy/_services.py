"""
Placement and shedding of callers' requests.
"""

import heapq
from functools import partial

from hawthornpier.policy._decisions import (
    Decision,
    PlaceRequest,
    RequestDemand,
    ShedReason,
    ShedRequest,
)
from hawthornpier.policy._ledger import WorkerAccount, effective_demand
from hawthornpier.policy._parts import ShardParts
from hawthornpier.policy._request_queue import GroupKey
from hawthornpier.policy._service_times import ServiceTimes
from hawthornpier.policy._settings import Headroom, Shedding

# Limit on the queued requests of a shard, which bounds memory if requests are
# not shed by deadline.
_MAX_QUEUED_COUNT = 50_000
# Approximate time from the decision to evict a task until its slot is free.
_EVICTION_DURATION_MS = 400


class RequestDispatcher:
    """
    Places requests by deadline and weight, and sheds load by deadline.

    Args:
        parts: The components of the shard's scheduler.
    """

    def __init__(self, parts: ShardParts) -> None:
        self._parts = parts
        self._queue = parts.requests
        self._occupancy = parts.occupancy
        self._arrived_ids: list[str] = []
        self.slot_wait_count = 0

    def add(self, request: RequestDemand) -> None:
        """
        Queue a request.
        """
        self._queue.push(request)
        self._arrived_ids.append(request.request_id)

    def learn(self, member: str, service: str, duration_ms: float) -> None:
        """
        Update a service's statistics with the duration of a request.
        """
        key = (member, service)
        self._durations_of(key).add(duration_ms)

    def decide(self, now_ms: int) -> list[Decision]:
        """
        Place requests, then shed new ones that would miss their deadline.

        *slot_wait_count* is set to the number of requests that fit on no
        worker now.  Those that a limit holds back are not counted.
        """
        decisions: list[Decision] = []
        self.slot_wait_count = 0
        heap = self._queue.groups()
        heapq.heapify(heap)
        while heap:
            pass_value, key = heapq.heappop(heap)
            decision = self._decide_head(key, now_ms)
            if decision is None:
                if not self._binding_limit(self._queue.head(key)):
                    self.slot_wait_count += self._queue.count(key)
                continue
            decisions.append(decision)
            if isinstance(decision, PlaceRequest):
                pass_value = self._queue.advance_pass(key, self._weight(key))
            if self._queue.count(key):
                heapq.heappush(heap, (pass_value, key))
        decisions.extend(self._shed_arrived(now_ms))
        return decisions

    def _decide_head(self, key: GroupKey, now_ms: int) -> Decision | None:
        request = self._queue.head(key)
        reason = self._shed_reason(request, now_ms)
        if reason is not None:
            return self._shed(request, reason)
        worker_id = self._choose(request, now_ms)
        if worker_id is None:
            return None
        self._queue.discard(request.request_id)
        self._occupancy.admit_request(request, worker_id, now_ms)
        self._parts.traffic.add(worker_id, request.service, now_ms)
        self._parts.health.record_request_placement(worker_id)
        return PlaceRequest(
            request_id=request.request_id,
            worker_id=worker_id,
        )

    def _shed_reason(
        self,
        request: RequestDemand,
        now_ms: int,
    ) -> ShedReason | None:
        if not self._occupancy.ledger.capacity.slot_count:
            return ShedReason.NO_WORKER
        if self._parts.worker_capacities.rejection_reason(
            effective_demand(request.demand), now_ms
        ):
            return ShedReason.TOO_LARGE
        is_shedding = self._parts.settings.shedding is Shedding.DEADLINE
        if is_shedding and request.deadline_ms <= now_ms:
            return ShedReason.DEADLINE
        return None

    def _choose(self, request: RequestDemand, now_ms: int) -> str | None:
        if self._binding_limit(request):
            return None
        return self._parts.chooser.choose(
            effective_demand(request.demand),
            cost=partial(self._parts.costs.request_cost, request.service),
            is_allowed=partial(self._is_worker_allowed, now_ms),
        )

    def _binding_limit(self, request: RequestDemand) -> str:
        return self._occupancy.shares.binding_limit(
            request.member,
            request.service,
            effective_demand(request.demand),
        )

    def _is_worker_allowed(self, now_ms: int, account: WorkerAccount) -> bool:
        worker_id = account.info.worker_id
        is_reserved = worker_id in self._parts.reserved_workers
        return not is_reserved and self._parts.health.allows_request(
            worker_id,
            now_ms,
        )

    def _shed_arrived(self, now_ms: int) -> list[Decision]:
        decisions: list[Decision] = []
        arrived = self._arrived_ids
        self._arrived_ids = []
        is_shedding = self._parts.settings.shedding is Shedding.DEADLINE
        for request_id in arrived:
            request = self._queue.get(request_id)
            if request is None:
                continue
            if is_shedding:
                wait_ms = self.expected_wait_ms(request)
                key = (request.member, request.service)
                p99_duration_ms = self._durations_of(key).p99_duration_ms
                if now_ms + wait_ms + p99_duration_ms > request.deadline_ms:
                    decisions.append(
                        self._shed(request, ShedReason.DEADLINE, int(wait_ms)),
                    )
            elif len(self._queue) > _MAX_QUEUED_COUNT:
                decisions.append(self._shed(request, ShedReason.QUEUE_FULL))
        return decisions

    def expected_wait_ms(self, request: RequestDemand) -> float:
        """
        Estimate how long a queued request will wait for a slot.

        The estimate assumes that the slots available to services, including
        those that evictions can free, are divided among the services with
        queued requests in proportion to their weights.
        """
        free_count = self._parts.free_slot_count()
        slot_count = self._occupancy.request_count + max(free_count, 0)
        wait_ms: float = 0
        if self._parts.settings.headroom is Headroom.PREDICTIVE:
            evictable_count = sum(
                running.is_evictable or running.is_evicting
                for running in self._occupancy.running.values()
            )
            slot_count += evictable_count
            wait_ms = _EVICTION_DURATION_MS if evictable_count else 0
        key = (request.member, request.service)
        total_weight = sum(
            self._weight(group) for _, group in self._queue.groups()
        )
        share = self._weight(key) / total_weight
        mean_ms = self._durations_of(key).mean_ms
        position = self._queue.position(request.request_id)
        return wait_ms + position * mean_ms / max(slot_count * share, 1)

    def _shed(
        self,
        request: RequestDemand,
        reason: ShedReason,
        retry_after_ms: int = 0,
    ) -> ShedRequest:
        self._queue.discard(request.request_id)
        return ShedRequest(
            request_id=request.request_id,
            reason=reason,
            retry_after_ms=retry_after_ms,
        )

    def _durations_of(self, key: GroupKey) -> ServiceTimes:
        service_times = self._parts.service_times.get(key)
        if service_times is None:
            service_times = ServiceTimes()
            self._parts.service_times[key] = service_times
        return service_times

    def _weight(self, key: GroupKey) -> float:
        return self._occupancy.shares.weight(*key)
