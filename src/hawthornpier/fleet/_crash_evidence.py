"""
The evidence that the crash of a worker gives against the runs there.
"""

from collections.abc import Collection

from hawthornpier.fleet._listed_load import RunKey
from hawthornpier.steps import CrashEvidence, Run

# A run that was started this recently may have caused the crash of its worker.
FRESH_RUN_MS = 500.0
# A task that has run for this long does not crash workers; its earlier crashes
# no longer count.
_SETTLED_MS = 30_000.0


def is_fresh(run: Run, alive_ms: float) -> bool:
    """
    Return whether a worker has not outlived the start of a run for long enough.

    Args:
        run: A run on the worker.
        alive_ms: Until when the worker is known to have been alive.
    """
    return run.is_delivered and run.sent_ms + FRESH_RUN_MS > alive_ms


def attribute_crash(
    runs: Collection[Run],
    alive_ms: float,
    *,
    was_in_touch: bool,
) -> dict[RunKey, CrashEvidence]:
    """
    Return the evidence that a crash of the worker gives against its runs.

    There is none against runs whose start was not sent, and against those that
    had been running for long.

    Args:
        runs: The runs on the worker by its last reply.
        alive_ms: Until when it is known to have been alive.
        was_in_touch: Whether it replied until it crashed.  Otherwise the runs
            may have ended before.
    """
    possible = {
        _suspect_key(run)
        for run in runs
        if run.has_lost_connection or is_fresh(run, alive_ms)
    }
    is_sole = len(possible) == 1
    evidence = {
        run.key: _evidence(run, alive_ms, is_sole=is_sole)
        for run in runs
        if run.sent_ms and not has_settled(run, alive_ms)
    }
    if was_in_touch:
        return evidence
    return {key: _without_time(each) for key, each in evidence.items()}


def has_settled(run: Run, alive_ms: float) -> bool:
    """
    Return whether a run had been running for so long that it is not suspected.

    Args:
        run: A run on the worker.
        alive_ms: Until when the worker is known to have been alive.
    """
    return alive_ms - run.sent_ms >= _SETTLED_MS


def _evidence(
    run: Run,
    alive_ms: float,
    *,
    is_sole: bool,
) -> CrashEvidence:
    if is_fresh(run, alive_ms):
        return CrashEvidence.SOLE if is_sole else CrashEvidence.SHARED
    if run.is_delivered:
        return CrashEvidence.WEAK
    if run.has_lost_connection:
        return CrashEvidence.UNCONFIRMED
    return CrashEvidence.UNCERTAIN


def _without_time(evidence: CrashEvidence) -> CrashEvidence:
    """
    Return the evidence if it is not known when the worker crashed.
    """
    if evidence > CrashEvidence.WEAK:
        return CrashEvidence.UNCONFIRMED
    return CrashEvidence.UNCERTAIN


def _suspect_key(run: Run) -> str:
    # The members of a gang start together.
    step = run.task.step
    return step.key if step.plan.is_gang else run.task.key
