"""
A job with a gang is shown as failed after a single failed attempt.

One worker of twelve fails all that it starts.  Two members of a gang run there
and end `failed` in the same attempt.
"""

import asyncio
import pathlib
import time

from installation import main

WORKERS = 12
JOBS = 6
MAX_ATTEMPTS = 2
MEMBERS = 4
SETTLE_S = 25
STEP = {
    'count': MEMBERS, 'cpu': 8000, 'ram_mb': 1000, 'estimate_ms': 500,
    'gang': True,
    'model': {'cpu': 8000, 'ram_mb': 1000, 'work_s': 0.5, 'gang': MEMBERS},
}


async def case(installation, has_trouble):
    await installation.start(process_count=3, worker_count=WORKERS)
    process = installation.processes[0]
    if has_trouble:
        installation.workers[0].is_grey = True
        installation.note('worker is grey', worker=installation.workers[0].id)
    jobs = [f'{number:016x}' for number in range(1, JOBS + 1)]
    await asyncio.gather(*(
        installation.submit(process, job, [STEP]) for job in jobs
    ))
    waiting = set(jobs)
    broken = []
    end = time.monotonic() + SETTLE_S
    while waiting and time.monotonic() < end:
        for job in sorted(waiting):
            _, state = await installation.show(process, job)
            if state in {'completed', 'failed'}:
                waiting.discard(job)
            if state == 'failed':
                attempts = {
                    attempt
                    for _, event, task, attempt, _, how in installation.runs
                    if event == 'ended' and how == 'failed'
                    and task.startswith(job)
                }
                if len(attempts) < MAX_ATTEMPTS:
                    broken.append(
                        f'job {job} is shown as failed after the gang has '
                        f'failed in attempts {sorted(attempts)} of '
                        f'{MAX_ATTEMPTS}'
                    )
        await asyncio.sleep(0.2)
    return broken


main(pathlib.Path(__file__).parent, case)
