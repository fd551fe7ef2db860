"""
Steps for which a scheduling pass has found no worker.
"""

import collections

from hawthornpier.fleet._placement import has_waited_long
from hawthornpier.steps import Step

# What two steps must share so that one tells about the other: the service, the
# kind of task, and for best-effort tasks their image and whether they accept
# workers where it is harmful.
_GroupKey = tuple[str, bool, bool, str, bool]


class FailedSteps:
    """
    Tells which steps certainly find no worker because another found none.

    It answers a backlog of steps that no worker can take: each is compared with
    the failed ones of its kind only, and no worker is looked at for it.
    """

    def __init__(self, now_ms: float) -> None:
        self._now_ms = now_ms
        self._groups: dict[_GroupKey, list[Step]] = collections.defaultdict(
            list
        )

    def add(self, step: Step, service: str) -> None:
        """
        Record that no worker of a service was found for a task of a step.
        """
        plan = step.plan
        has_own_limits = plan.per_worker_limit or plan.required_label
        if not has_own_limits and not plan.is_gang:
            self._groups[self._group_key(step, service)].append(step)

    def rule_out(self, step: Step, service: str) -> bool:
        """
        Return whether a step needs at least what a failed one does.
        """
        failed = self._groups.get(self._group_key(step, service))
        return failed is not None and any(
            _needs_at_least(step, other) for other in failed
        )

    def _group_key(self, step: Step, service: str) -> _GroupKey:
        plan = step.plan
        return (
            service,
            plan.is_filling,
            plan.is_lasting,
            plan.image if plan.is_filling else '',
            plan.is_filling and has_waited_long(step, self._now_ms),
        )


def _needs_at_least(step: Step, other: Step) -> bool:
    plan, failed = step.plan, other.plan
    return (
        plan.processor_millis >= failed.processor_millis
        and plan.memory_mb >= failed.memory_mb
        and plan.accelerator_count >= failed.accelerator_count
    )
