"""
The long-running parts of an entry process.
"""

import asyncio

from hawthornpier.messages import EventKind
from hawthornpier.owner import Part, run_again_after_errors
from hawthornpier.ports import Clock, EventSink

# Time before a part that has failed runs again.
RESTART_DELAY_MS = 1_000


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
        await run_again_after_errors(
            part,
            clock=self._clock,
            delay_ms=RESTART_DELAY_MS,
            on_error=self._record,
        )

    def _record(self, error: BaseException) -> None:
        self._events.record(EventKind.PART_FAILED, detail=repr(error))
