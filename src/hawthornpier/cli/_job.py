"""
The commands ``job submit``, ``show``, ``list`` and ``cancel``.
"""

import argparse
from typing import Any
from urllib.parse import quote

import msgspec

from hawthornpier.cli import _options
from hawthornpier.cli._errors import CommandError, ExitCode
from hawthornpier.messages import JobSpec, JobView, Resources, TaskState

_PATH = '/v1/jobs'


def add_commands(commands: Any) -> None:
    """
    Add the commands to the subparsers *commands*.
    """
    group = commands.add_parser('job', help='submit and follow batch jobs')
    jobs = group.add_subparsers(metavar='COMMAND', required=True)
    _add_submit(jobs)
    for name, run, summary in (
        ('show', show, 'show a job and its tasks'),
        ('cancel', cancel, 'cancel a job'),
    ):
        parser = _options.add_command(jobs, name, run, summary=summary)
        parser.add_argument('job_id', metavar='JOB')
        _add_format(parser)
    parser = _options.add_command(
        jobs,
        'list',
        list_jobs,
        summary='list the jobs of your member',
    )
    _add_format(parser)


def submit(arguments: argparse.Namespace) -> ExitCode:
    """
    Submit a job and print its state.
    """
    if not arguments.member:
        raise CommandError(
            'no member: give --member or set HAWTHORNPIER_MEMBER',
            code=ExitCode.USAGE,
        )
    spec = JobSpec(
        member=arguments.member,
        workload=arguments.workload,
        task_count=arguments.task_count,
        demand=Resources(
            processor_millis=arguments.processor_millis,
            memory_bytes=arguments.memory_bytes,
            accelerator_count=arguments.accelerator_count,
            slot_count=1,
        ),
        declared_work_ms=arguments.declared_work_ms,
        work_ms=arguments.work_ms,
        is_idempotent=not arguments.not_idempotent,
        is_urgent=arguments.urgent,
    )
    client = _options.create_client(arguments)
    document = {**msgspec.to_builtins(spec), 'job_id': arguments.job_id}
    _print_job(arguments, client.change('POST', _PATH, document))
    return ExitCode.OK


def show(arguments: argparse.Namespace) -> ExitCode:
    """
    Print the state of one job.
    """
    client = _options.create_client(arguments)
    _print_job(arguments, client.get(_job_path(arguments)))
    return ExitCode.OK


def cancel(arguments: argparse.Namespace) -> ExitCode:
    """
    Cancel one job and print its state.
    """
    client = _options.create_client(arguments)
    _print_job(arguments, client.change('DELETE', _job_path(arguments)))
    return ExitCode.OK


def list_jobs(arguments: argparse.Namespace) -> ExitCode:
    """
    Print one line for each job of the member.
    """
    document = _options.create_client(arguments).get(_PATH)
    jobs = document.get('jobs') if isinstance(document, dict) else document
    if arguments.format == 'json':
        _options.print_json(jobs)
    else:
        views = _convert(jobs, tuple[JobView, ...])
        _options.print_lines(_summarize(view) for view in views)
    return ExitCode.OK


def _add_submit(jobs: Any) -> None:
    parser = _options.add_command(
        jobs,
        'submit',
        submit,
        summary='submit a batch job',
    )
    parser.add_argument(
        'workload', help='name of a batch workload in the table'
    )
    numbers = (
        ('--task-count', 1, 'number of tasks'),
        ('--processor-millis', 1000, 'thousandths of a processor per task'),
        ('--memory-bytes', 2**30, 'memory per task in bytes'),
        ('--accelerator-count', 0, 'accelerators per task'),
        ('--declared-work-ms', 60000, 'expected run time per task in ms'),
        (
            '--work-ms',
            0,
            'run time per task on stand-in workers in ms, 0 if as expected',
        ),
    )
    for option, default, meaning in numbers:
        parser.add_argument(
            option,
            type=non_negative_integer,
            default=default,
            metavar='N',
            help=f'{meaning}; default: {default}',
        )
    parser.add_argument(
        '--job-id',
        default='',
        metavar='ID',
        help='submit the job again under the id from the error about a lost '
        'reply; the job is accepted at most once',
    )
    parser.add_argument(
        '--urgent',
        action='store_true',
        help='start before jobs that are not urgent',
    )
    parser.add_argument(
        '--not-idempotent',
        action='store_true',
        help='the tasks must not run twice, even after a failure',
    )
    _add_format(parser)


def _add_format(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--format',
        choices=('text', 'json'),
        default='text',
        help='default: text',
    )


def non_negative_integer(text: str) -> int:
    number = int(text)
    if number < 0:
        raise ValueError(f'{number} is negative')
    return number


def _job_path(arguments: argparse.Namespace) -> str:
    return f'{_PATH}/{quote(arguments.job_id, safe="")}'


def _print_job(arguments: argparse.Namespace, document: Any) -> None:
    if arguments.format == 'json':
        _options.print_json(document)
        return
    view = _convert(document, JobView)
    _options.print_lines([_summarize(view)])
    if view.waits_for:
        _options.print_lines([f'  waits for {view.waits_for}'])
    _options.print_lines(
        f'  {task.task_id} {task.state} {task.worker_id} {task.detail}'.rstrip()
        for task in view.tasks
    )


def _summarize(view: JobView) -> str:
    states = [task.state for task in view.tasks]
    counts = ', '.join(
        f'{states.count(state)} {state}'
        for state in TaskState
        if state in states
    )
    cancelled = ' (cancelled)' if view.is_cancelled else ''
    owner = f'{view.spec.member}/{view.spec.workload}'
    return f'{view.job_id} {owner}{cancelled}: {counts or "no tasks"}'


def _convert(document: Any, target_type: Any) -> Any:
    try:
        return msgspec.convert(document, target_type)
    except msgspec.ValidationError as error:
        raise CommandError(
            f'the response is not a valid job: {error}',
            code=ExitCode.FAILURE,
        ) from error
