"""
Decides from the crashes of its workers whether a task is given up.
"""

import dataclasses
import enum

from hawthornpier.steps._state import Task


class CrashEvidence(enum.IntEnum):
    """
    How strongly the crash of a worker suggests that a task caused it.

    The values are weights; a task is given up when their sum reaches the limit.
    If the task had just started each time, that takes two crashes if no other
    one had in one of them, and three otherwise.  Any five crashes suffice.
    """

    # The task had been running for some time, or may not have started at all,
    # or it is unknown whether the worker has crashed.
    WEAK = 3
    # The task had just started, and so had others on the worker.
    SHARED = 5
    # The task was the only one that had just started on the worker.
    SOLE = 10


_GIVE_UP_WEIGHT = 15
# A task may be suspected without having caused a single crash.
_SUSPECT_CRASH_COUNT = 2


def has_crashed_too_often(task: Task) -> bool:
    """
    Return whether a task has to be given up.
    """
    return sum(task.crashes.values()) >= _GIVE_UP_WEIGHT


def is_crash_suspect(task: Task) -> bool:
    """
    Return whether a task may crash the next worker that starts it.
    """
    if len(task.crashes) >= _SUSPECT_CRASH_COUNT:
        return True
    pending = (suspicion.weight for suspicion in task.suspicions.values())
    return any(
        weight > CrashEvidence.WEAK
        for weight in (*task.crashes.values(), *pending)
    )


def may_run_a_copy(task: Task) -> bool:
    """
    Return whether a copy of a task would not crash a further worker.

    A copy is for a task whose worker is slow or does not respond, which may be
    because the task has crashed it.
    """
    return not task.crashes and not is_crash_suspect(task)


def clear_suspicion(task: Task) -> None:
    """
    Weaken the evidence against a task that has started without a crash.

    The crashes still count, because the task may cause them later in a run.
    """
    task.crashes = dict.fromkeys(task.crashes, CrashEvidence.WEAK)
    task.suspicions = {
        worker_id: dataclasses.replace(suspicion, weight=CrashEvidence.WEAK)
        for worker_id, suspicion in task.suspicions.items()
    }
