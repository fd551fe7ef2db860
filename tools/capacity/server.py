"""
Server for the HTTP measurement, which also reports its own CPU time.
"""

import asyncio
import sys
import time

from tornado import httpserver, netutil, web


class _Handler(web.RequestHandler):
    def get(self) -> None:
        """
        Respond with the CPU time of this process in seconds.
        """
        self.write(str(time.process_time()))

    def post(self) -> None:
        """
        Respond with a small body, like that of most control messages.
        """
        self.write(self.request.body[:100])

    def log_request(self) -> None:  # type: ignore[override]
        """
        Do not log requests, in line with the rest of the project.
        """


async def _serve() -> None:
    application = web.Application([('/', _Handler)])
    server = httpserver.HTTPServer(application)
    listeners = netutil.bind_sockets(0, '127.0.0.1')
    server.add_sockets(listeners)
    sys.stdout.write(f'{listeners[0].getsockname()[1]}\n')
    sys.stdout.flush()
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, sys.stdin.read)


if __name__ == '__main__':
    asyncio.run(_serve())
