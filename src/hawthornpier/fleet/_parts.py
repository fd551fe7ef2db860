"""
Background parts of a process, which run until they are cancelled.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from hawthornpier.fleet._errors import FleetError


class PartEndedError(FleetError):
    """
    A part has ended although nobody cancelled it.
    """


Part = Callable[[], Coroutine[Any, Any, None]]


async def run_part(part: Part) -> None:
    """
    Run a part, and report a cancellation that did not concern it as an error.

    A library may cancel a call that a part waits for.  The task of the part
    would then count as cancelled, and a task group goes on without it.

    Args:
        part: Runs the part.

    Raises:
        PartEndedError: The part has ended by such a cancellation.
    """
    try:
        await part()
    except asyncio.CancelledError as error:
        task = asyncio.current_task()
        if task is None or task.cancelling():
            raise
        raise PartEndedError('a call of the part was cancelled') from error
