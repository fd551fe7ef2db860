"""
Background tasks of a shard's owner.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from hawthornpier.ports import Clock

Part = Callable[[], Coroutine[Any, Any, None]]


async def run_again_after_errors(
    part: Part,
    *,
    clock: Clock,
    delay_ms: int,
    on_error: Callable[[BaseException], None],
) -> None:
    """
    Run a part until it returns or its task is cancelled.

    Args:
        part: Runs the part.
        clock: The clock of the process.
        delay_ms: Time before a part that has failed runs again.
        on_error: Called with each error.
    """
    while True:
        try:
            return await part()
        except (Exception, asyncio.CancelledError) as error:
            # A library may cancel a call that the part waits for.
            if _is_cancelled():
                raise
            on_error(error)
        await clock.sleep_ms(delay_ms)


def _is_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


class BackgroundTasks:
    """
    Holds references to background tasks and cancels them together.

    Unlike with `asyncio.TaskGroup`, a failed task does not cancel the others;
    its exception is passed to the exception handler of the event loop.

    Args:
        clock: The clock of the process.
        restart_delay_ms: Time before a part that has failed runs again.
        on_error: Called with each error of a part.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        restart_delay_ms: int,
        on_error: Callable[[BaseException], None],
    ) -> None:
        self._clock = clock
        self._restart_delay_ms = restart_delay_ms
        self._on_error = on_error
        self._tasks: set[asyncio.Task[Any]] = set()
        self._is_cancelled = False

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """
        Run *coroutine* in the background; after `cancel`, discard it.
        """
        if self._is_cancelled:
            coroutine.close()
            return
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def keep_running(self, part: Part) -> None:
        """
        Run a part in the background, and run it again after an error.
        """
        self.spawn(
            run_again_after_errors(
                part,
                clock=self._clock,
                delay_ms=self._restart_delay_ms,
                on_error=self._on_error,
            ),
        )

    async def cancel(self) -> None:
        """
        Cancel every task and wait until all have ended.

        Later ones are not started.
        """
        self._is_cancelled = True
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finish(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        asyncio.get_running_loop().call_exception_handler(
            {
                'message': 'a background task of a shard owner failed',
                'exception': task.exception(),
                'task': task,
            }
        )
