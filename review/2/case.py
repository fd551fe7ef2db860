"""
Tasks that are done run again after an outage of the store.

Many short tasks end on one worker while the store is down.  The owner can't
take note of their ends, so the worker keeps them; it lists 500 at a time.
"""

import asyncio
import pathlib
import time

from installation import main

JOBS = 20
TASKS = 80
OUTAGE_S = 4.5
SETTLE_S = 40
STEP = {
    'count': TASKS, 'cpu': 50, 'ram_mb': 64, 'estimate_ms': 300,
    'model': {'cpu': 50, 'ram_mb': 64, 'work_s': 0.3},
}


async def case(installation, has_trouble):
    await installation.start(process_count=3, worker_count=3)
    jobs = [f'{number:016x}' for number in range(1, JOBS + 1)]
    await asyncio.gather(*(
        installation.submit(
            installation.processes[number % 3], job, [STEP]
        )
        for number, job in enumerate(jobs)
    ))
    await asyncio.sleep(0.3)
    if has_trouble:
        installation.note('store silent')
        installation.store.go_silent()
    await asyncio.sleep(OUTAGE_S)
    if has_trouble:
        installation.note('store back')
        installation.store.come_back()
    end = time.monotonic() + SETTLE_S
    waiting = list(jobs)
    while waiting and time.monotonic() < end:
        _, state = await installation.show(
            installation.processes[0], waiting[0]
        )
        if state in {'completed', 'failed'}:
            waiting.pop(0)
        else:
            await asyncio.sleep(0.5)
    installation.note('jobs that have not ended', count=len(waiting))
    # Ends that are still listed are taken note of meanwhile.
    await asyncio.sleep(3)
    return installation.twice()


main(pathlib.Path(__file__).parent, case)
