"""
An entry process with its HTTP server.
"""

import asyncio
import ssl

from tornado.httpserver import HTTPServer

from hawthornpier.daemon._application import make_application
from hawthornpier.daemon._node import Node
from hawthornpier.daemon._ports import HttpConnections
from hawthornpier.messages import EventKind
from hawthornpier.metrics import Metrics
from hawthornpier.settings import Settings

# The HTTP server rejects a larger body before it reads it.
MAX_BODY_BYTES = 1_000_000
MAX_HEADER_BYTES = 16_384
# The HTTP server closes a connection whose request body takes longer to arrive.
BODY_TIMEOUT_S = 30
IDLE_TIMEOUT_S = 300

# How long a stopping process serves keep-alive connections after the last
# request.  Its responses ask clients to close their connections, so those that
# remain after this time are idle.
LINGER_MS = 1_000
_POLL_INTERVAL_MS = 20


class EntryProcess:
    """
    Serves callers, operators and peers until it is stopped.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._connections = HttpConnections.from_settings(settings)
        self._clock = self._connections.clock
        self._metrics = Metrics(
            settings.process.process_id,
            is_prometheus_enabled=settings.observability.is_metrics_enabled,
            otlp_endpoint=settings.observability.otlp_address,
        )
        self.node = Node(settings, self._connections, self._metrics)
        self._server = HTTPServer(
            make_application(self.node.services),
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            body_timeout=BODY_TIMEOUT_S,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            ssl_options=_make_tls_context(settings),
        )

    async def start(self) -> None:
        """
        Listen for requests, join the cluster and claim shards.
        """
        process = self.settings.process
        self._server.listen(process.listen_port, process.listen_address)
        await self.node.start()

    async def stop(self) -> None:
        """
        Stop gracefully: hand over all shards and wait for open requests.

        After the drain timeout the process closes without waiting longer.
        """
        timeout_s = self.settings.timing.drain_timeout_ms / 1000
        try:
            async with asyncio.timeout(timeout_s):
                await self.node.leave()
                await self._wait_idle()
        except TimeoutError:
            self.node.recorder.record(
                EventKind.PROCESS_STOPPING,
                detail='drain timeout expired; closing without waiting longer',
            )
        await self._close()

    async def _wait_idle(self) -> None:
        """
        Wait until no request has been open for `LINGER_MS`.
        """
        idle_since_ms = self._clock.monotonic_ms()
        while self._clock.monotonic_ms() - idle_since_ms < LINGER_MS:
            if self.node.activity.open_request_count:
                idle_since_ms = self._clock.monotonic_ms()
            await self._clock.sleep_ms(_POLL_INTERVAL_MS)

    async def _close(self) -> None:
        # Must come before the first await, or a new request could be accepted
        # in between.
        self._server.stop()
        closing = asyncio.ensure_future(self._server.close_all_connections())
        await self.node.close()
        await closing
        self._connections.close()
        self._metrics.shutdown()


def _make_tls_context(settings: Settings) -> ssl.SSLContext | None:
    security = settings.security
    if not security.is_tls_enabled:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(
        security.tls_certificate_file,
        security.tls_private_key_file,
    )
    return context
