"""
The commands ``daemon``, ``check``, ``status`` and ``timeline``.
"""

import argparse
import sys
from collections.abc import Callable
from importlib import import_module
from typing import Any
from urllib.parse import urlencode

from hawthornpier.cli import _options
from hawthornpier.cli._errors import ExitCode, error_lines
from hawthornpier.settings import load_settings

_TIMELINE_FILTERS = ('shard', 'worker_id', 'task_id', 'request_id')


def add_commands(commands: Any) -> None:
    """
    Add the commands to the subparsers *commands*.
    """
    parser = _options.add_command(
        commands,
        'daemon',
        run_daemon,
        summary='run an entry process until it receives SIGTERM or SIGINT',
        is_remote=False,
    )
    parser.add_argument('settings', metavar='FILE', help='settings file')
    parser = _options.add_command(
        commands,
        'check',
        check,
        summary='check settings files without starting anything',
        is_remote=False,
    )
    parser.add_argument('settings', metavar='FILE', nargs='+')
    parser.add_argument(
        '--platform',
        action='store_true',
        help="check the files as boot.conf files of the users' platform",
    )
    _options.add_command(
        commands,
        'status',
        show_status,
        summary='show the state of an entry process and its view of its peers',
    )
    parser = _options.add_command(
        commands,
        'timeline',
        show_timeline,
        summary='show the timeline: the events of all processes in order',
    )
    parser.add_argument(
        '--format',
        choices=('text', 'json', 'html'),
        default='text',
        help='default: text',
    )
    for name in _TIMELINE_FILTERS:
        parser.add_argument(
            f'--{name.replace("_", "-")}',
            default='',
            metavar='ID',
            help=f'only events with this {name}',
        )


def run_daemon(arguments: argparse.Namespace) -> ExitCode:
    """
    Run an entry process until it is stopped.
    """
    settings = load_settings(arguments.settings)
    daemon = import_module('hawthornpier.daemon')
    return ExitCode(daemon.run(settings) or ExitCode.OK)


def check(arguments: argparse.Namespace) -> ExitCode:
    """
    Check settings files and report the errors in all of them.
    """
    code = ExitCode.OK
    read: Callable[[str], object] = load_settings
    if arguments.platform:
        read = import_module('hawthornpier.platform').check_file
    for path in arguments.settings:
        try:
            read(path)
        except ExceptionGroup as group:
            code = ExitCode.SETTINGS
            sys.stderr.writelines(
                f'hawthornpier: {line}\n' for line in error_lines(group)
            )
        else:
            _options.print_lines([f'{path}: valid'])
    return code


def show_status(arguments: argparse.Namespace) -> ExitCode:
    """
    Print the status of an entry process as JSON.
    """
    _options.print_json(_options.create_client(arguments).get('/v1/status'))
    return ExitCode.OK


def show_timeline(arguments: argparse.Namespace) -> ExitCode:
    """
    Print the timeline as rendered by the entry process.
    """
    filters = {name: getattr(arguments, name) for name in _TIMELINE_FILTERS}
    query = urlencode({'format': arguments.format, **filters})
    client = _options.create_client(arguments)
    content = client.send('GET', f'/v1/timeline?{query}')
    _options.print_lines([content.decode('utf-8', 'replace')])
    return ExitCode.OK
