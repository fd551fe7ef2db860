"""
A stand-in of one lifetime of a worker, after PROTOCOL.md.

Usage: worker_2.py SETTINGS, a JSON object with `id`, `port`, `store`, `record`,
and optionally `cpu`, `ram_mb`, `rack`, `zone`, `born`, and
`guards`, whether the worker rejects what does not fit.

The `spec` of a job is a JSON object; `work_ms` there is how long each task
works, a number or one number a step.  Events are appended to the record, a
JSON object a line.
"""

import asyncio
import json
import os
import random
import signal
import sys
import time
import urllib.request

from tornado.httpclient import HTTPClientError
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.web import Application, RequestHandler

PING_S = 1.5
TICK_S = 0.02
STOP_S = 0.05
HOLD_MAX_MS = 6_000
LISTED_ENDS = 500
STARTUP_MS = 300
CHECKPOINT_MS = 2_000
GANG_TIMEOUT_S = 3.0
GANG_POLL_S = 0.1
MAX_LOAD = 0.99
LATE_SHARE = 0.5
LATE_S = (2, 12)


class Run:
    """
    A run that has not ended.
    """

    def __init__(self, body):
        self.task = body['task']
        self.attempt = body['attempt']
        spec = json.loads(body['spec'])
        step = int(self.task.split('.')[2])
        work_ms = spec.get('work_ms', 500)
        self.work_ms = work_ms[step] if isinstance(work_ms, list) else work_ms
        self.cpu = spec.get('cpu', 1_000)
        self.lasts = bool(spec.get('lasts'))
        self.saves = bool(spec.get('saves'))
        self.fills = bool(spec.get('fills'))
        self.image = spec.get('image', '')
        # Of a task that serves: its tail without load, its own load, and how
        # much a full worker of tasks of an image that fill adds to that.
        self.base_tail_ms = spec.get('base_tail_ms', 0)
        self.own_load = spec.get('own_load', 0)
        self.disturbances = spec.get('disturbances', {})
        self.fails = spec.get('fails', 0)
        # A checkpoint tells the work that is saved, and may be longer.
        self.checkpoint_length = spec.get('checkpoint_length', 16)
        self.checkpoint = body.get('checkpoint', '')
        self.done_ms = int(self.checkpoint[:16] or '0', 16)
        self.ticked_s = time.monotonic()
        self.speed = 100
        self.stop_s = None
        # The number of members, if the task belongs to a gang.
        self.gang_size = spec.get('gang', 0)
        # Whether all members are present, and how the gang's run has ended.
        self.is_together = not self.gang_size
        self.gang_end = ''

    @property
    def percent(self):
        if self.lasts:
            return min(100, int(self.done_ms * 100 / STARTUP_MS))
        return min(100, int(self.done_ms * 100 / self.work_ms))

    def tick(self):
        """
        Work, and return how the run has ended, or None.
        """
        now_s = time.monotonic()
        if self.is_together:
            self.done_ms += (now_s - self.ticked_s) * 10 * self.speed
        self.ticked_s = now_s
        if self.saves:
            saved_ms = int(self.done_ms) // CHECKPOINT_MS * CHECKPOINT_MS
            if saved_ms:
                text = f'{saved_ms:016x}'
                self.checkpoint = text.ljust(self.checkpoint_length, '.')
        if self.stop_s is not None and now_s >= self.stop_s:
            return 'stopped'
        if self.gang_end:
            return self.gang_end
        if self.lasts or self.done_ms < self.work_ms:
            return None
        return 'failed' if self.attempt <= self.fails else 'done'


class Worker:
    """
    One lifetime of a worker.
    """

    def __init__(self, settings):
        self.settings = settings
        self.id = settings['id']
        self.cpu = settings.get('cpu', 8_000)
        self.ram_mb = settings.get('ram_mb', 32_000)
        self.born = settings.get('born') or time.time_ns() // 1_000_000
        self.token = 0
        self.deadline_ms = 0
        self.runs = {}
        self.ends = []
        self.end_count = 0
        self.highest = {}
        self.changed = asyncio.Event()
        self.client = SimpleAsyncHTTPClient(force_instance=True)
        self.origin_s = time.monotonic()
        # Whether no request arrives and no ping leaves, while runs go on.
        self.is_cut = False
        # Whether orders are carried out late and not answered.
        self.is_late = False
        self.record_file = os.open(
            settings['record'], os.O_WRONLY | os.O_APPEND | os.O_CREAT
        )

    @property
    def clock_ms(self):
        return int((time.monotonic() - self.origin_s) * 1000)

    def record(self, event, **fields):
        line = {
            't': round(time.time(), 3),
            'event': event,
            'worker': self.id,
            'born': self.born,
            **fields,
        }
        os.write(self.record_file, (json.dumps(line) + '\n').encode())

    def extend(self, deadline_ms):
        longest_ms = self.clock_ms + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest_ms))

    def listing(self):
        return {
            'clock_ms': self.clock_ms,
            'born': self.born,
            'running': [
                [
                    run.task,
                    run.attempt,
                    run.checkpoint,
                    run.percent,
                    self.figure(run),
                ]
                for run in self.runs.values()
            ],
            'finished': self.ends[:LISTED_ENDS],
        }

    def figure(self, run):
        """
        Return the tail of a task that serves, the processors of any other.
        """
        if not run.base_tail_ms:
            return run.cpu * run.speed // 100
        load = run.own_load + sum(
            run.disturbances.get(other.image, 0)
            * other.cpu
            * other.speed
            / (100 * self.cpu)
            for other in self.runs.values()
        )
        return int(run.base_tail_ms / (1 - min(load, MAX_LOAD)))

    def start(self, body):
        """
        Start a run; return the status and the reason.
        """
        task, attempt = body['task'], body['attempt']
        if body.get('fencing_token', 0) < self.token:
            return 409, 'fence'
        self.token = max(self.token, body.get('fencing_token', 0))
        self.extend(body['deadline_ms'])
        if (task, attempt) in self.runs:
            return 200, ''
        if body['deadline_ms'] <= self.clock_ms:
            return 409, 'late'
        if attempt <= self.highest.get(task, 0):
            return 409, 'old'
        run = Run(body)
        used = sum(
            other.cpu for other in self.runs.values() if not other.fills
        )
        is_over = not run.fills and used + run.cpu > self.cpu
        if is_over and self.settings.get('guards', True):
            return 409, 'room'
        self.runs[task, attempt] = run
        self.highest[task] = attempt
        self.record('start', task=task, attempt=attempt, is_over=is_over)
        if run.gang_size:
            asyncio.ensure_future(self.follow_gang(run))
        return 200, ''

    async def follow_gang(self, run):
        """
        Work once all members are present, and end with them.
        """
        step, _, index = run.task.rpartition('.')
        began_s = time.monotonic()
        body = {'run': f'{step}/{run.attempt}', 'member': index}
        while (run.task, run.attempt) in self.runs:
            gang = await self.tell_gang(body)
            run.is_together = len(gang['members']) >= run.gang_size
            if gang['ended']:
                run.gang_end = 'done' if gang['ended'] == 'done' else 'broken'
            elif (
                not run.is_together
                and time.monotonic() - began_s > GANG_TIMEOUT_S
            ):
                run.gang_end = 'alone'
            await asyncio.sleep(GANG_POLL_S)
        await self.tell_gang({**body, 'ended': run.how})

    async def tell_gang(self, body):
        try:
            reply = await self.client.fetch(
                f'http://{self.settings["store"]}/standin/gang',
                method='POST',
                body=json.dumps(body),
            )
        except (OSError, HTTPClientError):
            return {'members': [], 'ended': ''}
        return json.loads(reply.body)

    def end(self, key, how):
        run = self.runs.pop(key)
        run.how = how
        self.end_count += 1
        self.ends.append(
            [self.end_count, run.task, run.attempt, how, run.checkpoint]
        )
        self.record(
            'end',
            task=run.task,
            attempt=run.attempt,
            how=how,
            percent=run.percent,
        )
        self.changed.set()
        self.changed = asyncio.Event()

    async def work(self):
        while True:
            await asyncio.sleep(TICK_S)
            has_lapsed = self.clock_ms > self.deadline_ms
            for key, run in list(self.runs.items()):
                how = 'lapsed' if has_lapsed else run.tick()
                if how:
                    self.end(key, how)

    async def ping(self):
        sequence = 0
        while True:
            sequence += 1
            row = {
                'service': self.settings.get('service', 'desk'),
                'address': f'127.0.0.1:{self.settings["port"]}',
                'zone': self.settings.get('zone', 'z1'),
                'version': '1',
                'slots': 8,
                'state': 'ready',
                'cold_remaining_ms': 0,
                'sequence': sequence,
                'born': self.born,
                'capacity': {'cpu': self.cpu, 'ram_mb': self.ram_mb, 'gpu': 0},
                'labels': ['a', self.settings.get('rack', 'r1')],
            }
            if not self.is_cut:
                await asyncio.to_thread(self.put, json.dumps(row))
            await asyncio.sleep(PING_S)

    def put(self, value):
        body = {'table': 'servers', 'key': self.id, 'value': value}
        request = urllib.request.Request(
            f'http://{self.settings["store"]}/standin/put',
            data=json.dumps(body).encode(),
        )
        try:
            urllib.request.urlopen(request, timeout=1).close()
        except OSError as error:
            self.record('ping_failed', why=str(error))


class Handler(RequestHandler):
    """
    Checks the lifetime that a request names.
    """

    def initialize(self, worker):
        self.worker = worker

    async def prepare(self):
        if self.worker.is_cut:
            await asyncio.Event().wait()
        if self.worker.is_late and random.random() < LATE_SHARE:
            await asyncio.sleep(random.uniform(*LATE_S))
            # The order is carried out, and its channel gets no answer.
            self.request.connection.stream.close()
        wanted = self.request.headers.get('Expect-Instance', self.worker.id)
        if wanted != self.worker.id:
            self.reply(421)

    def reply(self, status, **fields):
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps({'clock_ms': self.worker.clock_ms, **fields}))

    def reply_verdict(self, status, reason):
        if reason:
            self.reply(status, reason=reason)
        else:
            self.reply(status)


class Start(Handler):
    """
    Starts a run.
    """

    def post(self):
        self.reply_verdict(*self.worker.start(json.loads(self.request.body)))


class Stop(Handler):
    """
    Stops a run.
    """

    def post(self):
        body = json.loads(self.request.body)
        worker = self.worker
        if body.get('fencing_token', 0) < worker.token:
            self.reply(409, reason='fence')
            return
        worker.token = body['fencing_token']
        task, attempt = body['task'], body['attempt']
        worker.highest[task] = max(worker.highest.get(task, 0), attempt)
        run = worker.runs.get((task, attempt))
        if run is not None and run.stop_s is None:
            run.stop_s = time.monotonic() + STOP_S
        self.reply(200)


class Pace(Handler):
    """
    Sets the speed of a run.
    """

    def post(self):
        body = json.loads(self.request.body)
        if body.get('fencing_token', 0) < self.worker.token:
            self.reply(409, reason='fence')
            return
        run = self.worker.runs.get((body['task'], body['attempt']))
        if run is not None:
            run.tick()
            run.speed = body['percent']
        self.reply(200)


class Hold(Handler):
    """
    Extends the lease, and lists the runs.
    """

    async def post(self):
        body = json.loads(self.request.body)
        worker = self.worker
        if body.get('fencing_token', 0) < worker.token:
            self.reply(409, reason='fence')
            return
        worker.token = body['fencing_token']
        if body.get('deadline_ms') is not None:
            worker.extend(body['deadline_ms'])
        seen = body.get('last_seen', 0)
        for end in [end for end in worker.ends if end[0] <= seen]:
            worker.record('noted', task=end[1], attempt=end[2], how=end[3])
        worker.ends = [end for end in worker.ends if end[0] > seen]
        wait_s = min(body.get('wait_ms') or 0, 2_000) / 1000
        if wait_s and not worker.ends:
            try:
                await asyncio.wait_for(worker.changed.wait(), wait_s)
            except TimeoutError:
                pass
        self.reply(200, **worker.listing())


async def main(settings):
    worker = Worker(settings)
    options = {'worker': worker}
    application = Application(
        [
            ('/hawthornpier/run-start', Start, options),
            ('/hawthornpier/run-stop', Stop, options),
            ('/hawthornpier/pace', Pace, options),
            ('/hawthornpier/hold', Hold, options),
        ],
        log_function=lambda handler: None,
    )
    application.listen(settings['port'], '127.0.0.1')
    loop = asyncio.get_running_loop()
    for number, field in (
        (signal.SIGUSR1, 'is_cut'),
        (signal.SIGUSR2, 'is_late'),
    ):
        loop.add_signal_handler(
            number,
            lambda name=field: setattr(worker, name, not getattr(worker, name)),
        )
    worker.record('born')
    await asyncio.gather(worker.work(), worker.ping())


if __name__ == '__main__':
    asyncio.run(main(json.loads(sys.argv[1])))
