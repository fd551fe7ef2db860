"""
Checks the rules for runs in a simulated installation.
"""

import collections


class RunChecker:
    """
    Collects violations of the rules for runs.

    Unless a job allows several runs of a task, no two runs of one task may
    overlap, and none may start after the task is complete, or after as many
    of its runs have failed as the job's limit, if these ends are acknowledged
    then or later before the lease of their worker lapses.  Once a task has
    crashed three workers, it may be started twice more, unless it is
    long-running.
    """

    def __init__(self):
        self.violations = []
        self.running = {}
        self.done = set()
        self.acknowledged = set()
        self.started_count = 0
        self.speculative_jobs = set()
        self.crashing_tasks = set()
        self.long_running_tasks = set()
        # By job; the runs of long-running tasks are not limited.
        self.max_attempts = {}
        # By task: the attempts that have ended as done or failed, those whose
        # end was acknowledged in time, and the starts, each with the attempts
        # that had ended before.
        self.ended = collections.defaultdict(dict)
        self.noted = collections.defaultdict(set)
        self.starts = collections.defaultdict(dict)
        # By task, how many workers have crashed while they ran it, and how
        # often it was started after the third of these crashes.
        self.crash_counts = collections.Counter()
        self.late_start_counts = collections.Counter()

    def failed_count(self, task):
        return list(self.ended[task].values()).count('failed')

    def noted_failures(self, task):
        ended = self.ended[task]
        return [ended.get(each) for each in self.noted[task]].count('failed')

    def on_run_event(self, what, task, attempt, detail):
        if what == 'started':
            self._on_start(task, attempt, detail)
        elif what in {'noted', 'noted_late'}:
            if detail == 'done':
                self.acknowledged.add(task)
            if what == 'noted':
                self.noted[task].add(attempt)
                self._check_starts(task)
        else:
            self._on_end(what, task, attempt)

    def _on_end(self, outcome, task, attempt):
        self.running.pop((task, attempt), None)
        self.crash_counts[task] += outcome == 'crashed'
        if outcome in {'done', 'failed'}:
            self.ended[task][attempt] = outcome
        if outcome == 'done':
            self.done.add(task)

    def _on_start(self, task, attempt, worker):
        self.started_count += 1
        others = [key for key in self.running if key[0] == task]
        job_id = task.split('.')[0]
        is_speculative = job_id in self.speculative_jobs
        if others and not is_speculative:
            self.violations.append(f'{task} runs twice: {others}')
        if task in self.acknowledged and not is_speculative:
            self.violations.append(
                f'{task} started after its end was acknowledged'
            )
        is_limited = task not in self.long_running_tasks
        is_crashing = task in self.crashing_tasks
        if is_limited and is_crashing and self.crash_counts[task] >= 3:
            self.late_start_counts[task] += 1
            if self.late_start_counts[task] > 2:
                self.violations.append(f'{task} crashes worker after worker')
        self.running[task, attempt] = worker
        if attempt not in self.noted[task]:
            # A start that the worker's previous incarnation has executed too;
            # its end there can no longer be acknowledged.
            self.ended[task].pop(attempt, None)
        self.starts[task][attempt] = set(self.ended[task])
        self._check_starts(task)

    def _check_starts(self, task):
        job_id = task.split('.')[0]
        if job_id in self.speculative_jobs:
            return
        limit = self.max_attempts.get(job_id, float('inf'))
        for attempt, earlier in self.starts[task].items():
            outcomes = [
                self.ended[task][number]
                for number in sorted(earlier & self.noted[task])
                if number in self.ended[task]
            ]
            if 'done' in outcomes or outcomes.count('failed') >= limit:
                self.violations.append(
                    f'{task} attempt {attempt} started after {outcomes}'
                )
