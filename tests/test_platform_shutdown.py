"""
Tests of callers' requests around the graceful shutdown of a process.
"""

import asyncio

import pytest
from platform_installation import JOB_ID, job_body, run

from hawthornpier.fleet import PlatformBounds

GRACE_MS = 1_000
SERVING_S = 0.7


async def start_with_slow_store(installation, delay_s):
    """
    Start a process whose writes to the store take longer.

    Returns:
        Its settings, its task, and the event that stops it.
    """
    settings = installation.start_process(
        'a', bounds=PlatformBounds(grace_ms=GRACE_MS)
    )
    await installation.wait_ready(settings)
    process, task, stop = installation.processes['a']
    task.remove_done_callback(installation.record_end)
    store = process.node.entry._store
    transact = store.transact

    async def transact_late(transaction, **options):
        await asyncio.sleep(delay_s)
        return await transact(transaction, **options)

    store.transact = transact_late
    return settings, task, stop


class TestOpenRequests:
    """
    A request that was read is answered before the process ends.
    """

    @pytest.mark.parametrize('sent_s', [0.3, SERVING_S - 0.05])
    def test_request_read_shortly_before_the_end_is_answered(self, sent_s):
        async def scenario(installation):
            settings, task, stop = await start_with_slow_store(
                installation, 0.2
            )
            stop.set()
            await asyncio.sleep(sent_s)
            code, _ = await installation.call(
                settings, 'POST', f'/jobs/{JOB_ID}', job_body()
            )
            assert code == 200
            async with asyncio.timeout(GRACE_MS / 1000):
                await task

        run(scenario)

    def test_request_that_takes_too_long_does_not_outlast_the_grace_period(
        self,
    ):
        async def scenario(installation):
            settings, task, stop = await start_with_slow_store(installation, 5)
            loop = asyncio.get_running_loop()
            request = loop.create_task(
                installation.call(
                    settings, 'POST', f'/jobs/{JOB_ID}', job_body()
                )
            )
            await asyncio.sleep(0.1)
            stop.set()
            async with asyncio.timeout(GRACE_MS / 1000):
                await task
            request.cancel()

        run(scenario)
