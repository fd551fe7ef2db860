"""
One entry process: its parts and its listener, started and stopped.
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

# A larger body is refused by the HTTP server before it is read.
MAX_BODY_BYTES = 1_000_000
MAX_HEADER_BYTES = 16_384
# A caller that sends its body slower than this is cut off.
BODY_TIMEOUT_S = 30
IDLE_TIMEOUT_S = 300

# How long kept connections are served after the last request.  Responses ask
# clients to close, so a connection that is closed here later is idle.
LINGER_MS = 1_000
_POLL_INTERVAL_MS = 20


class EntryProcess:
    """
    Serves callers, operators and peers until it is stopped.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._connections = HttpConnections.of(settings)
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
        Listen, join the others and claim shards.
        """
        process = self.settings.process
        self._server.listen(process.listen_port, process.listen_address)
        await self.node.start()

    async def wait_failed(self) -> None:
        """
        Return when one of the permanent tasks has failed.
        """
        await self.node.wait_failed()

    async def stop(self) -> None:
        """
        Leave without cutting off a request: announce, hand over, wait, close.
        """
        timeout_s = self.settings.timing.drain_timeout_ms / 1000
        try:
            async with asyncio.timeout(timeout_s):
                await self.node.leave()
                await self._wait_idle()
        except TimeoutError:
            self.node.recorder.record(
                EventKind.PROCESS_STOPPING,
                detail='the drain timeout has passed',
            )
        await self._close()

    async def _wait_idle(self) -> None:
        """
        Wait until no request has been open for the linger time.
        """
        idle_since_ms = self._clock.monotonic_ms()
        while self._clock.monotonic_ms() - idle_since_ms < LINGER_MS:
            if self.node.activity.open_request_count:
                idle_since_ms = self._clock.monotonic_ms()
            await self._clock.sleep_ms(_POLL_INTERVAL_MS)

    async def _close(self) -> None:
        # Before anything is awaited, so that no request slips in between.
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
