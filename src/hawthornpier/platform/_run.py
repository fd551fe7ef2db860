"""
An entry process on the platform: its listeners, signals and exit code.
"""

import asyncio
import gc
import os
import pathlib
import random
import signal
import sys

import eliot
from tornado.httpserver import HTTPServer
from tornado.web import Application

from hawthornpier.adapters import SystemClock
from hawthornpier.events import DecisionLog, LineWriter
from hawthornpier.fleet import (
    ConfigurationSource,
    FleetContext,
    FleetNode,
    HostInfo,
    HttpFleetPeer,
    OwnershipTimings,
    WorkerTimings,
    connect_relay,
    peer_routes,
)
from hawthornpier.platform import _handlers, _records
from hawthornpier.platform._open_requests import OpenRequests
from hawthornpier.platform._settings import (
    NodeSettings,
    load_settings,
    settings_path,
)
from hawthornpier.platform._store import PlatformStore
from hawthornpier.platform._worker import PlatformWorker

_MAX_BODY_BYTES = 1_000_000
# After SIGTERM, callers may still send requests on open connections.  The
# process serves them for this fraction of the platform's grace period.
_SERVING_GRACE_FRACTION = 0.7
# Requests that were read by then are answered within this fraction of the grace
# period; the rest is left for the process to end.
_ANSWERING_GRACE_FRACTION = 0.95
# Time to close the connections of callers, on which no request is open.
_CLOSE_TIMEOUT_S = 0.1
# Interval of checks whether the settings file was modified, as the platform may
# modify it without sending SIGHUP.
_SETTINGS_INTERVAL_MS = 2_000
# Makes garbage collections of the oldest generation rarer, because each of them
# pauses the process for too long on a small host.
_GC_THRESHOLDS = (20_000, 20, 100)


class PlatformProcess:
    """
    A node of the fleet scheduler and its HTTP servers.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        self._store = PlatformStore(settings.store_address)
        self._clock = SystemClock()
        self._log = DecisionLog(settings.node_name)
        lease_ms = min(
            WorkerTimings().lease_ms,
            settings.bounds.lease_max_ms,
        )
        self.node = FleetNode(
            FleetContext(
                store=self._store,
                decoder=_records.PlatformDecoder(),
                dial=PlatformWorker,
                clock=self._clock,
                log=self._log,
                bounds=settings.bounds,
                worker_timings=WorkerTimings(
                    lease_ms=lease_ms,
                    lease_max_ms=settings.bounds.lease_max_ms,
                ),
                ownership_timings=OwnershipTimings(),
                dial_peer=HttpFleetPeer,
                connect_relay=connect_relay,
                rng=random.SystemRandom(),
                registry_table=_records.REGISTRY_TABLE,
            ),
            name=settings.node_name,
            address=settings.peer_address,
            host_info=HostInfo(
                failure_domain=settings.failure_domain,
                region=settings.region,
                processor_cores=settings.processor_cores,
                link_mbps=settings.link_mbps,
            ),
            configuration=ConfigurationSource(
                table=_records.OPERATOR_TABLE,
                key=_records.CONFIGURATION_KEY,
                decode=_records.decode_configuration,
            ),
        )
        self.servers: list[HTTPServer] = []
        self._open_requests = OpenRequests()

    async def run(self, stop: asyncio.Event, reload: asyncio.Event) -> None:
        """
        Serve until *stop* is set or the node fails.

        Args:
            stop: Set to shut down gracefully.
            reload: Set to read the settings file again.
        """
        self._listen()
        self.node.start()
        self._log.record(
            'process_started',
            process=self.node.card.process_id,
            address=self.node.card.address,
        )
        settings_watch = asyncio.ensure_future(self._watch_settings(reload))
        node_failure = asyncio.ensure_future(self.node.wait_failed())
        stop_request = asyncio.ensure_future(stop.wait())
        await asyncio.wait(
            (node_failure, stop_request),
            return_when=asyncio.FIRST_COMPLETED,
        )
        self._log.record('process_stopping', is_failed=node_failure.done())
        if stop.is_set():
            await self._leave()
        settings_watch.cancel()
        await self.node.close()
        self._store.close()
        self._log.record('process_stopped')

    def _listen(self) -> None:
        callers = _handlers.caller_application(self.node, self._open_requests)
        peers = Application(
            peer_routes(self.node),
            log_function=_handlers.log_nothing,
        )
        for application, address in (
            (callers, self.settings.frontend_address),
            (
                _handlers.readiness_application(self.node),
                self.settings.readiness_address,
            ),
            (peers, self.settings.peer_address),
        ):
            host, _, port = address.rpartition(':')
            server = HTTPServer(application, max_body_size=_MAX_BODY_BYTES)
            server.listen(int(port), host)
            self.servers.append(server)

    @property
    def _caller_server(self) -> HTTPServer:
        return self.servers[0]

    async def _leave(self) -> None:
        started_ms = self._clock.monotonic_ms()
        await self.node.leave()
        grace_ms = self.settings.bounds.grace_ms
        elapsed_ms = self._clock.monotonic_ms() - started_ms
        await self._clock.sleep_ms(
            max(0, grace_ms * _SERVING_GRACE_FRACTION - elapsed_ms)
        )
        for server in self.servers:
            server.stop()
        elapsed_ms = self._clock.monotonic_ms() - started_ms
        await self._answer_open_requests(
            grace_ms * _ANSWERING_GRACE_FRACTION - elapsed_ms
        )

    async def _answer_open_requests(self, limit_ms: float) -> None:
        """
        Wait for the answers to callers, and close their connections.
        """
        try:
            async with asyncio.timeout(max(0, limit_ms) / 1000):
                await self._open_requests.wait_answered()
            # Without a wait in between, no further request is read.
            async with asyncio.timeout(_CLOSE_TIMEOUT_S):
                await self._caller_server.close_all_connections()
        except TimeoutError:
            self._log.record('callers_cut_off')

    async def _watch_settings(self, reload: asyncio.Event) -> None:
        path = settings_path()
        modified = _modification_time(path)
        while True:
            try:
                async with asyncio.timeout(_SETTINGS_INTERVAL_MS / 1000):
                    await reload.wait()
            except TimeoutError:
                if _modification_time(path) == modified:
                    continue
            reload.clear()
            modified = _modification_time(path)
            self._reload(path)

    def _reload(self, path: pathlib.Path) -> None:
        try:
            settings = load_settings(path)
        except ExceptionGroup as error:
            self._log.record('settings_rejected', why=repr(error))
            return
        changed = settings != self.settings
        self.settings = settings
        self._log.record('settings_reloaded', is_changed=changed)


def _modification_time(path: pathlib.Path) -> float:
    try:
        return path.stat().st_mtime
    except OSError:
        return 0


async def _serve(settings: NodeSettings) -> None:
    stop = asyncio.Event()
    reload = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    await PlatformProcess(settings).run(stop, reload)


def main() -> int:
    """
    Run an entry process with the settings file that the platform specifies.

    Returns:
        The exit code: 2 if the settings are invalid, otherwise 0.
    """
    # Ignore SIGHUP until the event loop handles it.  By default, it would
    # terminate the process during its start.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    eliot.add_destinations(LineWriter(sys.stdout.fileno()))
    gc.set_threshold(*_GC_THRESHOLDS)
    try:
        settings = load_settings(settings_path())
    except ExceptionGroup as group:
        for error in group.exceptions:
            os.write(sys.stderr.fileno(), f'hawthornpier: {error}\n'.encode())
        return 2
    asyncio.run(_serve(settings))
    return 0
