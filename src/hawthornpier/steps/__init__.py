"""
The job model: submitted plans, run-time state, and its stored form.

A job consists of steps, and a step of equal tasks.  A run is one attempt to
execute a task on a worker.
"""

from hawthornpier.steps._model import (
    AdviceTimings,
    JobPhase,
    JobPlan,
    QueuePolicy,
    RunOutcome,
    StepPlan,
)
from hawthornpier.steps._progress import (
    RecordError,
    decode_phase,
    decode_plan,
    encode_plan,
    encode_progress,
    restore_progress,
)
from hawthornpier.steps._state import (
    Job,
    Occurrence,
    Run,
    RunPhase,
    Step,
    Task,
    apply_outcome,
    mark_done,
    update_end_phase,
)

__all__ = [
    'AdviceTimings',
    'Job',
    'JobPhase',
    'JobPlan',
    'Occurrence',
    'QueuePolicy',
    'RecordError',
    'Run',
    'RunOutcome',
    'RunPhase',
    'Step',
    'StepPlan',
    'Task',
    'apply_outcome',
    'decode_phase',
    'decode_plan',
    'encode_plan',
    'encode_progress',
    'mark_done',
    'restore_progress',
    'update_end_phase',
]
