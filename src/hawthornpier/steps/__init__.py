"""
The job model: submitted plans, run-time state, and its stored form.

A job consists of steps, and a step of equal tasks.  A run is one attempt to
execute a task on a worker.
"""

from hawthornpier.steps._crashes import (
    CrashEvidence,
    clear_suspicion,
    count_crash,
    has_crashed_too_often,
    is_crash_suspect,
    may_run_a_copy,
    trial_interval_ms,
    weaken_suspicion,
)
from hawthornpier.steps._model import (
    AdviceTimings,
    JobPhase,
    JobPlan,
    QueuePolicy,
    RunOutcome,
    StepPlan,
)
from hawthornpier.steps._outcomes import (
    apply_outcome,
    release_followers,
    update_end_phase,
)
from hawthornpier.steps._progress import (
    RecordError,
    decode_phase,
    decode_plan,
    encode_phase,
    encode_plan,
    encode_progress,
    encode_task_progress,
    restore_progress,
)
from hawthornpier.steps._run import Run
from hawthornpier.steps._run_end import RunEnd
from hawthornpier.steps._run_phase import RunPhase
from hawthornpier.steps._state import (
    Job,
    Occurrence,
    Step,
    Task,
)
from hawthornpier.steps._suspicion import Suspicion
from hawthornpier.steps._task_runs import add_run, mark_done, remove_run

__all__ = [
    'AdviceTimings',
    'CrashEvidence',
    'Job',
    'JobPhase',
    'JobPlan',
    'Occurrence',
    'QueuePolicy',
    'RecordError',
    'Run',
    'RunEnd',
    'RunOutcome',
    'RunPhase',
    'Step',
    'StepPlan',
    'Suspicion',
    'Task',
    'add_run',
    'apply_outcome',
    'clear_suspicion',
    'count_crash',
    'decode_phase',
    'decode_plan',
    'encode_phase',
    'encode_plan',
    'encode_progress',
    'encode_task_progress',
    'has_crashed_too_often',
    'is_crash_suspect',
    'mark_done',
    'may_run_a_copy',
    'release_followers',
    'remove_run',
    'restore_progress',
    'trial_interval_ms',
    'update_end_phase',
    'weaken_suspicion',
]
