"""
Weighted dominant-share fairness and quotas of members and workloads.
"""

from collections.abc import Iterable

from hawthornpier.messages import Resources
from hawthornpier.policy._decisions import WorkloadLimits

_LIMITED_DIMENSIONS = (
    ('processor_millis', 'max_processor_millis'),
    ('memory_bytes', 'max_memory_bytes'),
    ('accelerator_count', 'max_accelerator_count'),
)


class FairShares:
    """
    Tracks the resource usage of members and workloads.

    Usage is compared with the weights and limits of the configuration table.
    A row whose name equals its member applies to the member as a whole.
    """

    def __init__(self) -> None:
        self._limits: dict[tuple[str, str], WorkloadLimits] = {}
        self.has_latency_targets = False
        self._usage: dict[tuple[str, str], Resources] = {}
        self._counts: dict[tuple[str, str], int] = {}

    def replace_limits(self, limits: Iterable[WorkloadLimits]) -> None:
        """
        Replace all weights and limits.
        """
        self._limits = {(row.member, row.name): row for row in limits}
        self.has_latency_targets = any(
            row.latency_target_ms is not None for row in self._limits.values()
        )

    def charge(self, member: str, workload: str, demand: Resources) -> None:
        """
        Add the usage of one running task or request.
        """
        for key in _usage_keys(member, workload):
            self._usage[key] = self._usage.get(key, Resources()) + demand
            self._counts[key] = self._counts.get(key, 0) + 1

    def release(self, member: str, workload: str, demand: Resources) -> None:
        """
        Subtract the usage of one running task or request.
        """
        for key in _usage_keys(member, workload):
            self._usage[key] -= demand
            self._counts[key] -= 1
            if not self._counts[key]:
                self._counts.pop(key)
                self._usage.pop(key)

    def weight(self, member: str, workload: str) -> float:
        """
        Return the workload's weight, or 1 if the table sets none above 0.
        """
        row = self._limits.get((member, workload))
        return row.weight if row is not None and row.weight > 0 else 1.0

    def latency_target_ms(self, member: str, workload: str) -> int | None:
        """
        Return the workload's latency target, or None if it has none.
        """
        row = self._limits.get((member, workload))
        return None if row is None else row.latency_target_ms

    def rank(
        self,
        member: str,
        workload: str,
        capacity: Resources,
    ) -> tuple[float, float]:
        """
        Return the weighted dominant shares of the member and the workload.

        The task with the smallest rank starts next.  A dominant share is the
        largest fraction of the shard's capacity used in any resource.
        """
        return (
            self._weighted_share(member, member, capacity),
            self._weighted_share(member, workload, capacity),
        )

    def binding_limit(
        self,
        member: str,
        workload: str,
        demand: Resources,
    ) -> str:
        """
        Return a message that names the limit one more charge would exceed.

        The message is '' if no limit would be exceeded.
        """
        for key in _usage_keys(member, workload):
            row = self._limits.get(key)
            reason = row and _exceeded_limit(
                row,
                self._usage.get(key, Resources()) + demand,
                self._counts.get(key, 0) + 1,
            )
            if reason:
                return reason
        return ''

    def _weighted_share(
        self,
        member: str,
        name: str,
        capacity: Resources,
    ) -> float:
        usage = self._usage.get((member, name))
        if usage is None:
            return 0
        share = max(
            usage.processor_millis / max(capacity.processor_millis, 1),
            usage.memory_bytes / max(capacity.memory_bytes, 1),
            usage.accelerator_count / max(capacity.accelerator_count, 1),
            usage.slot_count / max(capacity.slot_count, 1),
        )
        return share / self.weight(member, name)


def _usage_keys(member: str, workload: str) -> tuple[tuple[str, str], ...]:
    if member == workload:
        return ((member, member),)
    return ((member, member), (member, workload))


def _exceeded_limit(row: WorkloadLimits, usage: Resources, count: int) -> str:
    if row.max_running_count is not None and count > row.max_running_count:
        return f'max_running_count of {row.name} is {row.max_running_count}'
    for dimension, limit_name in _LIMITED_DIMENSIONS:
        limit = getattr(row, limit_name)
        if limit is not None and getattr(usage, dimension) > limit:
            return f'{limit_name} of {row.name} is {limit}'
    return ''
