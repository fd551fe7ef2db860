"""
Decides from the crashes of its workers whether a task is given up.
"""

import dataclasses
import enum

from hawthornpier.steps._state import Task


class CrashEvidence(enum.IntEnum):
    """
    How strongly the crash of a worker suggests that a task caused it.

    The values are weights.  A task is given up when their sum reaches the
    limit and two workers have certainly crashed while they ran it: after two
    crashes if it was the only one that had just started in one of them, and
    after three otherwise.  Any five crashes suffice.
    """

    # The worker may not have run the task when it crashed, or may not have
    # crashed.
    UNCERTAIN = 2
    # The task had been running for some time.
    WEAK = 3
    # The task may have just started: the connection broke as the start was
    # sent, or the worker stayed silent after the start, and the task may have
    # ended before the worker crashed.
    UNCONFIRMED = 4
    # The task had just started, and so had others on the worker.
    SHARED = 5
    # The task was the only one that had just started on the worker.
    SOLE = 10


_UNCERTAIN = frozenset((CrashEvidence.UNCERTAIN, CrashEvidence.UNCONFIRMED))
_GIVE_UP_WEIGHT = 15
# A job must not fail unless this many workers have crashed under a task.
_MIN_CERTAIN_COUNT = 2
# With more crashes, a task would be started more often than is allowed.
_MAX_CRASH_COUNT = 5
# The minimum time between two trials of a task after the first crash of which
# it was the sole suspect; it doubles with each further one, up to the maximum.
_MIN_TRIAL_INTERVAL_MS = 1_000.0
_MAX_TRIAL_INTERVAL_MS = 5_000.0
# A task may be suspected without having caused a single crash.
_SUSPECT_CRASH_COUNT = 2


def has_crashed_too_often(task: Task) -> bool:
    """
    Return whether a task has to be given up.

    A long-running task has no limit of attempts and is never given up; its
    trials become less frequent instead.
    """
    if task.step.plan.is_lasting:
        return False
    weights = tuple(task.crashes.values())
    if len(weights) >= _MAX_CRASH_COUNT:
        return True
    certain_count = sum(weight not in _UNCERTAIN for weight in weights)
    return (
        certain_count >= _MIN_CERTAIN_COUNT and sum(weights) >= _GIVE_UP_WEIGHT
    )


def is_crash_suspect(task: Task) -> bool:
    """
    Return whether a task may crash the next worker that starts it.
    """
    if not task.crashes and not task.suspicions:
        return False
    if len(task.crashes) >= _SUSPECT_CRASH_COUNT:
        return True
    pending = (suspicion.weight for suspicion in task.suspicions.values())
    return any(
        weight > CrashEvidence.WEAK
        for weight in (*task.crashes.values(), *pending)
    )


def trial_interval_ms(task: Task) -> float:
    """
    Return the minimum time between the starts of two trials of a task.

    It grows with the crashes of which the task was the sole suspect, without a
    start in between that its worker has outlived.
    """
    sole_count = list(task.crashes.values()).count(CrashEvidence.SOLE)
    if not sole_count:
        return 0
    interval_ms = _MIN_TRIAL_INTERVAL_MS * 2.0 ** (sole_count - 1)
    return min(interval_ms, _MAX_TRIAL_INTERVAL_MS)


def may_run_a_copy(task: Task) -> bool:
    """
    Return whether a copy of a task would not crash a further worker.

    A copy is for a task whose worker is slow or does not respond, which may be
    because the task has crashed it.
    """
    return not task.crashes and not is_crash_suspect(task)


def count_crash(task: Task, attempt: int, weight: int) -> None:
    """
    Record the evidence that a crash gives against a task.

    A long-running task may be hit by any number of crashes; only the latest are
    kept.
    """
    task.crashes[attempt] = weight
    task.step.job.failed_tasks.add(task)
    if task.step.plan.is_lasting:
        latest = sorted(task.crashes)[-_MAX_CRASH_COUNT:]
        task.crashes = {each: task.crashes[each] for each in latest}


def clear_suspicion(task: Task) -> None:
    """
    Weaken the evidence against a task that has started without a crash.

    The crashes still count, because the task may cause them later in a run.
    """
    task.crashes = {
        attempt: _weakened(weight) for attempt, weight in task.crashes.items()
    }
    for worker_id in task.suspicions:
        weaken_suspicion(task, worker_id)


def weaken_suspicion(task: Task, worker_id: str) -> bool:
    """
    Weaken the evidence against a run whose start its worker has outlived.

    Returns:
        Whether the evidence was stronger.
    """
    suspicion = task.suspicions.get(worker_id)
    if suspicion is None:
        return False
    weight = _weakened(suspicion.weight)
    task.suspicions[worker_id] = dataclasses.replace(suspicion, weight=weight)
    return weight != suspicion.weight


def _weakened(weight: int) -> int:
    if weight in _UNCERTAIN:
        return CrashEvidence.UNCERTAIN
    return CrashEvidence.WEAK
