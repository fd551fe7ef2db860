"""
Background tasks of a shard's owner.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """
    Holds references to background tasks and cancels them together.

    Unlike with `asyncio.TaskGroup`, a failed task does not cancel the others;
    its exception is passed to the exception handler of the event loop.
    """

    def __init__(self) -> None:
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
