"""
Room that is reserved on a worker for a task that is being moved there.
"""

from dataclasses import dataclass

from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Task


@dataclass(frozen=True, slots=True, kw_only=True)
class Reservation:
    """
    A task whose run is being stopped, and the worker with room for it.
    """

    task: Task
    destination: WorkerState
    expires_ms: float
