"""
Workers on which interference allows no best-effort tasks of an image.
"""

from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Step


class Refusals:
    """
    Remembers, during one pass, the least that each worker refuses.

    A task that requests more processors adds more pressure, so that it is
    refused, too, until the worker has changed.  It answers a backlog of steps
    with the same images, which differ in what they request.
    """

    def __init__(self) -> None:
        # By worker and image: when the worker last changed, and the processors,
        # in thousandths of a core.
        self._least: dict[tuple[str, str], tuple[float, int]] = {}

    def add(self, worker: WorkerState, step: Step) -> None:
        """
        Record that a worker refuses the tasks of a step.
        """
        key = (worker.worker_id, step.plan.image)
        self._least[key] = (worker.changed_ms, step.plan.processor_millis)

    def apply_to(self, worker: WorkerState, step: Step) -> bool:
        """
        Return whether a worker is known to refuse the tasks of a step.
        """
        least = self._least.get((worker.worker_id, step.plan.image))
        return (
            least is not None
            and least[0] == worker.changed_ms
            and least[1] <= step.plan.processor_millis
        )
