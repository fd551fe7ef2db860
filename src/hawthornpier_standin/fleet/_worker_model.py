"""
The faults of a simulated worker and the behaviour of simulated tasks.
"""

import dataclasses
import enum


class WorkerFault(enum.StrEnum):
    """
    A fault of a worker or of the connection to it.
    """

    NONE = ''
    # Requests have no effect and get no reply; the runs continue until the
    # lease expires.
    PARTITIONED = 'cut'
    # Requests have no effect, and their connections are reset at once.
    RESET = 'reset'
    # Every run that completes its work fails.
    FAIL_ALL = 'fail_all'
    # Runs make no progress.
    STALLED = 'stand_still'
    # Starts are rejected as UNHEALTHY.
    REFUSE = 'refuse'
    # Starts get no reply and take effect after `late_delay_ms`.
    START_LATE = 'start_late'
    # Requests take effect, but their replies are lost.
    LOSE_REPLIES = 'lose_answers'
    # The worker crashes as a start arrives, and does not execute it.
    CRASH = 'crash'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskModel:
    """
    The simulated behaviour of a task.

    *is_lasting* marks a long-running task and *is_filling* a best-effort one.
    If *crashes_worker* is set, the worker crashes once the task has run for
    *work_ms*; if *fails* is set, the run fails then.
    """

    work_ms: float
    crashes_worker: bool = False
    fails: bool = False
    is_lasting: bool = False
    processor_millis: int = 1_000
    # Determines which best-effort tasks interfere with a long-running one.
    image: str = ''
    # Tail latency of a long-running task without interference.
    tail_ms: int = 0
    is_filling: bool = False
