"""
The ends of runs.
"""

from dataclasses import dataclass

from hawthornpier.steps._model import RunOutcome


@dataclass(frozen=True, slots=True, kw_only=True)
class RunEnd:
    """
    How a run of a task ended.
    """

    attempt: int
    worker_id: str
    outcome: RunOutcome
