"""
The long-running parts of an entry process.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from hawthornpier.messages import EventKind
from hawthornpier.ports import Clock, EventSink

# Time before a part that has failed runs again.
RESTART_DELAY_MS = 1_000

Part = Callable[[], Coroutine[Any, Any, None]]


class Parts:
    """
    Runs parts, each in its own task, and runs one again after an error.

    Args:
        clock: The clock of the process.
        events: Records the errors.
    """

    def __init__(self, clock: Clock, events: EventSink) -> None:
        self._clock = clock
        self._events = events
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, *parts: Part) -> None:
        """
        Run the parts until `cancel` is called or they return.
        """
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._run(part)) for part in parts]

    async def cancel(self) -> None:
        """
        Cancel all parts and wait until they have ended.
        """
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, part: Part) -> None:
        while True:
            try:
                return await part()
            except (Exception, asyncio.CancelledError) as error:
                # A library may cancel a call that the part waits for.
                if _is_cancelled():
                    raise
                self._events.record(EventKind.PART_FAILED, detail=repr(error))
            await self._clock.sleep_ms(RESTART_DELAY_MS)


def _is_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
