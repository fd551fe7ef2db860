"""
A job runs although its cancellation was answered with 410.

The store performs the submission's write late and doesn't answer it.  The
client gets no success and cancels the job.
"""

import asyncio
import pathlib

from installation import BOUNDS, main

JOB = '00000000000000b1'
LATE_S = 5.5
WATCH_S = 8
STEP = {
    'count': 4, 'cpu': 1000, 'ram_mb': 256, 'estimate_ms': 1000,
    'model': {'cpu': 1000, 'ram_mb': 256, 'work_s': 1.0},
}


async def case(installation, has_trouble):
    await installation.start(process_count=3, worker_count=3)
    first, second, _ = installation.processes
    if has_trouble:
        installation.store.lateness_of = lambda body: (
            LATE_S
            if any(row['key'] == JOB for row in body.get('writes', ()))
            else None
        )
    status = await installation.submit(first, JOB, [STEP])
    installation.store.lateness_of = lambda body: None
    await asyncio.sleep(0.2)
    status, _ = await second.call('DELETE', f'/jobs/{JOB}')
    cancelled_at = installation.now
    installation.note('cancel', job=JOB, status=status)
    if status != 410 and not 200 <= status < 300:
        return []
    await asyncio.sleep(WATCH_S)
    await installation.show(second, JOB)
    latest = cancelled_at + BOUNDS['cancel_ms'] / 1000
    return [
        f'{task} started at {at:.3f}, {at - cancelled_at:.3f} s after the '
        f'cancellation was answered with {status}'
        for at, event, task, *_ in installation.runs
        if event == 'started' and at > latest
    ]


main(pathlib.Path(__file__).parent, case)
