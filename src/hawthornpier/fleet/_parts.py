"""
Background parts of a process, which run until they are cancelled.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from hawthornpier.events import DecisionLog
from hawthornpier.fleet._errors import FleetError, error_text
from hawthornpier.ports import Clock

# After an unexpected error, a part is run again after this time.
_RESTART_MS = 300.0


class PartEndedError(FleetError):
    """
    A part has ended although nobody cancelled it.
    """


_Result = TypeVar('_Result')

Part = Callable[[], Coroutine[Any, Any, None]]


async def run_part(
    part: Callable[[], Coroutine[Any, Any, _Result]],
) -> _Result:
    """
    Run a part, and report a cancellation that did not concern it as an error.

    A library may cancel a call that a part waits for.  The task of the part
    would then count as cancelled, and a task group goes on without it.

    Args:
        part: Runs the part.

    Returns:
        What the part returns.

    Raises:
        PartEndedError: The part has ended by such a cancellation.
    """
    try:
        return await part()
    except asyncio.CancelledError as error:
        task = asyncio.current_task()
        if task is None or task.cancelling():
            raise
        raise PartEndedError('a call of the part was cancelled') from error


async def keep_running(
    part: Callable[[], Coroutine[Any, Any, _Result]],
    *,
    clock: Clock,
    log: DecisionLog,
) -> _Result:
    """
    Run a part until it returns, and again after each unexpected error.

    Args:
        part: Runs the part.
        clock: The clock of this process.
        log: Where errors are logged.

    Returns:
        What the part returns.
    """
    while True:
        try:
            return await run_part(part)
        except Exception as error:
            log.record('part_failed', why=error_text(error))
        await clock.sleep_ms(_RESTART_MS)


def raise_if_cancelled() -> None:
    """
    Raise `CancelledError` if the current task has been cancelled.

    A task group whose body fails at the moment of the cancellation raises its
    own errors only.
    """
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
