"""
Tests of callers' requests around the graceful shutdown of a process.
"""

import asyncio
import contextlib
import functools

import pytest
from platform_installation import JOB_ID, job_body, run

from hawthornpier.fleet import PlatformBounds

# The shutdown of a process ends within this time once it may end.
END_S = 1
GRACE_MS = 20_000
# The time until the listeners are closed.
SERVING_MS = 0.7 * GRACE_MS


class ShutdownClock:
    """
    The clock of the shutdown of one process, which stands until it is advanced.
    """

    def __init__(self):
        self.now_ms = 0
        self._advanced = asyncio.Event()

    def monotonic_ms(self):
        return self.now_ms

    def advance_to(self, now_ms):
        self.now_ms = now_ms
        self._advanced.set()

    async def sleep_ms(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self._advanced.clear()
            await self._advanced.wait()


async def start_with_slow_store(installation, wait_for_store, grace_ms):
    """
    Start a process whose writes to the store wait first.

    Returns:
        Its settings, its task, and the event that stops it.
    """
    settings = installation.start_process(
        'a', bounds=PlatformBounds(grace_ms=grace_ms)
    )
    await installation.wait_ready(settings)
    process, task, stop = installation.processes['a']
    task.remove_done_callback(installation.record_end)
    store = process.node.entry._store
    transact = store.transact

    async def transact_late(transaction, **options):
        await wait_for_store()
        return await transact(transaction, **options)

    store.transact = transact_late
    return settings, task, stop


async def wait_listener_closed(address):
    """
    Wait until a process accepts no more connections.
    """
    host, _, port = address.rpartition(':')
    with contextlib.suppress(ConnectionError):
        while True:
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
            await asyncio.sleep(0.01)


class TestOpenRequests:
    """
    A request that was read is answered before the process ends.
    """

    @pytest.mark.parametrize('sent_ms', [6_000, SERVING_MS - 1])
    def test_request_read_shortly_before_the_end_is_answered(self, sent_ms):
        async def scenario(installation):
            was_read, may_write = asyncio.Event(), asyncio.Event()

            async def wait_for_store():
                was_read.set()
                await may_write.wait()

            settings, task, stop = await start_with_slow_store(
                installation, wait_for_store, GRACE_MS
            )
            clock = ShutdownClock()
            process = installation.processes['a'][0]
            process._clock = clock
            stop.set()
            while not process.node.is_leaving:
                await asyncio.sleep(0.01)
            clock.advance_to(sent_ms)
            request = asyncio.ensure_future(
                installation.call(
                    settings, 'POST', f'/jobs/{JOB_ID}', job_body()
                )
            )
            await was_read.wait()
            clock.advance_to(SERVING_MS)
            await wait_listener_closed(settings.frontend_address)
            ended, _ = await asyncio.wait({task}, timeout=END_S)
            assert not ended
            may_write.set()
            code, _ = await request
            assert code == 200
            async with asyncio.timeout(END_S):
                await task

        run(scenario)

    def test_request_that_takes_too_long_does_not_outlast_the_grace_period(
        self,
    ):
        async def scenario(installation):
            settings, task, stop = await start_with_slow_store(
                installation, functools.partial(asyncio.sleep, 5), END_S * 1_000
            )
            loop = asyncio.get_running_loop()
            request = loop.create_task(
                installation.call(
                    settings, 'POST', f'/jobs/{JOB_ID}', job_body()
                )
            )
            await asyncio.sleep(0.1)
            stop.set()
            async with asyncio.timeout(END_S):
                await task
            request.cancel()

        run(scenario)
