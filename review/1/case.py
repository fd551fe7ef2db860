"""
The whole installation stands still after one worker is lost for good.

One job had 800 small tasks on that worker.  The progress that the owner wants
to store about them exceeds what a row of the store may hold.
"""

import asyncio
import pathlib
import time

from installation import BOUNDS, main

WORKERS = 8
BIG_JOB = '00000000000000c1'
# The most steps and the widest step of the traffic in the large site file.
STEPS = 5
WIDTH = 160
SMALL_JOBS = 3
BIG = {
    'count': WIDTH, 'cpu': 40, 'ram_mb': 10, 'estimate_ms': 8000,
    'model': {'cpu': 40, 'ram_mb': 10, 'work_s': 8.0},
}
SMALL = {
    'count': 2, 'cpu': 1000, 'ram_mb': 256, 'estimate_ms': 300,
    'model': {'cpu': 1000, 'ram_mb': 256, 'work_s': 0.3},
}
IDLE_S = 3.0
WATCH_S = 25


async def case(installation, has_trouble):
    await installation.start(process_count=3, worker_count=WORKERS)
    process = installation.processes[1]
    jobs = {BIG_JOB: [BIG] * STEPS}
    accepted = set()
    if await installation.submit(process, BIG_JOB, jobs[BIG_JOB]) == 200:
        accepted.add(BIG_JOB)
    await installation.until(
        lambda: sum(len(each.running) for each in installation.workers)
        == STEPS * WIDTH,
        7, 'all tasks of the large job run',
    )
    if has_trouble:
        max(installation.workers, key=lambda each: len(each.running)).crash()
    await asyncio.sleep(1)
    for number in range(1, SMALL_JOBS + 1):
        job = f'{number:016x}'
        if await installation.submit(process, job, [SMALL]) == 200:
            accepted.add(job)
        await asyncio.sleep(1)
    installation.note('end of the traffic', accepted=len(accepted))
    await asyncio.sleep(BOUNDS['finish_s'])
    return await _watch(installation, process, accepted)


async def _watch(installation, process, accepted):
    """
    Return the jobs that had nothing running for 3 s although there was room.
    """
    cores = 32_000
    idle_since = {}
    broken = {}
    ended = set()
    end = time.monotonic() + WATCH_S
    last_shown = 0
    while time.monotonic() < end:
        now = time.monotonic()
        running = {
            run.task.partition('.')[0]
            for worker in installation.workers
            for run in worker.running.values()
        }
        up = [each for each in installation.workers if each.is_up]
        used = sum(run.model['cpu'] for worker in up
                   for run in worker.running.values())
        has_room = used < len(up) * cores / 2
        for job in accepted - ended:
            if job in running or not has_room:
                idle_since.pop(job, None)
            elif now - idle_since.setdefault(job, now) >= IDLE_S:
                broken[job] = installation.now
        if now - last_shown >= 1:
            last_shown = now
            for job in sorted(accepted - ended):
                _, state = await installation.show(process, job)
                if state in {'completed', 'failed'}:
                    ended.add(job)
        await asyncio.sleep(0.1)
    owners = {
        line['epoch'] for each in installation.processes
        for line in each.lines('shard_claimed')
    }
    installation.note('epochs', count=len(owners), jobs_ended=len(ended))
    return [
        f'job {job} had nothing running for {IDLE_S} s at {at:.1f} s'
        for job, at in sorted(broken.items())
    ]


main(pathlib.Path(__file__).parent, case)
