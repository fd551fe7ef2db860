"""
Checks the rules for runs in a simulated installation.
"""

import collections


class RunChecker:
    """
    Collects violations of the rules for runs.

    Unless a job allows several runs of a task, no two runs of one task may
    overlap, and none may start after the completion of the task has been
    acknowledged to the worker.  Once a task has crashed three workers, it may
    be started twice more.
    """

    def __init__(self):
        self.violations = []
        self.running = {}
        self.done = set()
        self.acknowledged = set()
        self.started_count = 0
        self.speculative_jobs = set()
        self.crashing_tasks = set()
        # By task, how many workers have crashed while they ran it, and how
        # often it was started after the third of these crashes.
        self.crash_counts = collections.Counter()
        self.late_start_counts = collections.Counter()

    def on_run_event(self, what, task, attempt, detail):
        if what == 'started':
            self._on_start(task, attempt, detail)
        elif what == 'noted':
            if detail == 'done':
                self.acknowledged.add(task)
        else:
            self.running.pop((task, attempt), None)
            self.crash_counts[task] += what == 'crashed'
            if what == 'done':
                self.done.add(task)

    def _on_start(self, task, attempt, worker):
        self.started_count += 1
        others = [key for key in self.running if key[0] == task]
        if others and task.split('.')[0] not in self.speculative_jobs:
            self.violations.append(f'{task} runs twice: {others}')
        if (
            task in self.acknowledged
            and task.split('.')[0] not in self.speculative_jobs
        ):
            self.violations.append(
                f'{task} started after its end was acknowledged'
            )
        if task in self.crashing_tasks and self.crash_counts[task] >= 3:
            self.late_start_counts[task] += 1
            if self.late_start_counts[task] > 2:
                self.violations.append(f'{task} crashes worker after worker')
        self.running[task, attempt] = worker
