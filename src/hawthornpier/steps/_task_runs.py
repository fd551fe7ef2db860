"""
The runs of tasks, and how many tasks of a step need another one.
"""

from hawthornpier.steps._run import Run
from hawthornpier.steps._state import Task


def add_run(task: Task, run: Run) -> None:
    """
    Add a run to those of its task.
    """
    if task.is_waiting:
        task.step.busy_count += 1
    task.runs.append(run)


def remove_run(task: Task, run: Run) -> None:
    """
    Remove a run that has ended from those of its task.
    """
    task.runs.remove(run)
    if task.is_waiting:
        task.step.busy_count -= 1


def mark_done(task: Task) -> None:
    """
    Mark a task as complete; for a gang, mark all its members.
    """
    for member in task.members:
        if member.is_waiting:
            member.step.busy_count += 1
        if not member.is_done:
            member.is_done = True
            member.step.done_count += 1
