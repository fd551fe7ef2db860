"""
Queue of callers' requests that wait for a slot.
"""

import itertools

from sortedcontainers import SortedDict

from hawthornpier.policy._decisions import RequestDemand

# Member and service.
GroupKey = tuple[str, str]


class RequestQueue:
    """
    Holds the requests of each service, earliest deadline first.

    Services are served in proportion to their weights (stride scheduling), so
    that a surge of one does not delay the others.
    """

    def __init__(self) -> None:
        self._requests: dict[str, tuple[int, RequestDemand]] = {}
        self._groups: dict[GroupKey, SortedDict] = {}
        self._sequence = itertools.count()
        self._passes: dict[GroupKey, float] = {}
        self._virtual_time: float = 0

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._requests

    def push(self, request: RequestDemand) -> None:
        """
        Add a request, replacing a queued one with the same id.
        """
        self.discard(request.request_id)
        sequence = next(self._sequence)
        self._requests[request.request_id] = (sequence, request)
        key = (request.member, request.service)
        group = self._groups.get(key)
        if group is None:
            group = SortedDict()
            self._groups[key] = group
            # A service earns no credit while it has no queued requests.
            last = self._passes.get(key, 0)
            self._passes[key] = max(last, self._virtual_time)
        group[request.deadline_ms, sequence] = request

    def discard(self, request_id: str) -> None:
        """
        Remove a request if it is queued.
        """
        entry = self._requests.pop(request_id, None)
        if entry is None:
            return
        sequence, request = entry
        key = (request.member, request.service)
        group = self._groups[key]
        group.pop((request.deadline_ms, sequence))
        if not group:
            self._groups.pop(key)

    def groups(self) -> list[tuple[float, GroupKey]]:
        """
        Return the pass and key of each service that has queued requests.

        The service with the smallest pass is served next.
        """
        return [(self._passes[key], key) for key in self._groups]

    def head(self, key: GroupKey) -> RequestDemand:
        """
        Return the queued request of a service with the earliest deadline.
        """
        request: RequestDemand = self._groups[key].peekitem(0)[1]
        return request

    def count(self, key: GroupKey) -> int:
        """
        Return the number of queued requests of a service.
        """
        return len(self._groups.get(key, ()))

    def position(self, request_id: str) -> int:
        """
        Return how many requests of the same service precede a queued one.
        """
        sequence, request = self._requests[request_id]
        group = self._groups[request.member, request.service]
        position: int = group.index((request.deadline_ms, sequence))
        return position

    def get(self, request_id: str) -> RequestDemand | None:
        """
        Return a request, or None if it is not queued.
        """
        entry = self._requests.get(request_id)
        return entry[1] if entry else None

    def advance_pass(self, key: GroupKey, weight: float) -> float:
        """
        Charge one placement to a service and return its new pass.
        """
        self._virtual_time = max(self._virtual_time, self._passes[key])
        self._passes[key] += 1 / weight
        return self._passes[key]
