"""
Jobs of steps: what is submitted, its state while it runs, its stored form.
"""

from hawthornpier.steps._model import (
    AdviceTimings,
    RunOutcome,
    JobPhase,
    JobPlan,
    QueuePolicy,
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
    mark_done,
    update_end_phase,
    apply_outcome,
)

__all__ = [
    'AdviceTimings',
    'RunOutcome',
    'Job',
    'JobPhase',
    'JobPlan',
    'Occurrence',
    'QueuePolicy',
    'RecordError',
    'Run',
    'RunPhase',
    'Step',
    'StepPlan',
    'Task',
    'decode_phase',
    'decode_plan',
    'encode_plan',
    'encode_progress',
    'mark_done',
    'update_end_phase',
    'restore_progress',
    'apply_outcome',
]
