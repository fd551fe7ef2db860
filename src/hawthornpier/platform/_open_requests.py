"""
The requests of callers that a process is handling.
"""

import asyncio

from tornado.web import RequestHandler


class OpenRequests:
    """
    Tells when the last request that has been read is answered.
    """

    def __init__(self) -> None:
        self._handlers: set[RequestHandler] = set()
        self._changed = asyncio.Event()

    def begin(self, handler: RequestHandler) -> None:
        """
        Record that a request has been read.
        """
        self._handlers.add(handler)

    def end(self, handler: RequestHandler) -> None:
        """
        Record that a request was answered.
        """
        self._handlers.discard(handler)
        self._changed.set()

    async def wait_answered(self) -> None:
        """
        Wait until no request is being handled.
        """
        while self._handlers:
            self._changed.clear()
            await self._changed.wait()
