"""
The command ``explain``.
"""

import argparse
import pathlib
import sys
from collections.abc import Iterator
from types import MappingProxyType
from typing import Any

from hawthornpier.cli import _options
from hawthornpier.cli._errors import CommandError, ExitCode
from hawthornpier.events import (
    collect_subject_log,
    render_subject_log_html,
    render_subject_log_json,
    render_subject_log_text,
)

_RENDERERS = MappingProxyType(
    {
        'text': render_subject_log_text,
        'json': render_subject_log_json,
        'html': render_subject_log_html,
    },
)


def add_commands(commands: Any) -> None:
    """
    Add the command to the subparsers *commands*.
    """
    parser = _options.add_command(
        commands,
        'explain',
        explain,
        summary='print the log lines about one job, task or worker in order',
        is_remote=False,
    )
    parser.add_argument('subject', metavar='ID')
    parser.add_argument(
        'files',
        metavar='FILE',
        nargs='*',
        help='log files of all processes; default: standard input',
    )
    parser.add_argument(
        '--format',
        choices=tuple(_RENDERERS),
        default='text',
        help='default: text',
    )


def explain(arguments: argparse.Namespace) -> ExitCode:
    """
    Print the subject log of one job, task or worker.
    """
    subject_log = collect_subject_log(
        arguments.subject, _read_lines(arguments.files)
    )
    _options.print_lines(
        [_RENDERERS[arguments.format](subject_log).rstrip('\n')]
    )
    return ExitCode.OK if subject_log.lines else ExitCode.NOT_FOUND


def _read_lines(files: list[str]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
        return
    for name in files:
        try:
            content = pathlib.Path(name).read_text('utf-8', 'replace')
        except OSError as error:
            raise CommandError(
                f'{name}: {error.strerror}',
                code=ExitCode.USAGE,
            ) from error
        yield from content.splitlines()
