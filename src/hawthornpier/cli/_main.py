"""
Parses the command line, runs a command and reports its errors.
"""

import argparse
import os
import sys
from collections.abc import Sequence
from importlib import import_module
from importlib.util import find_spec
from typing import Any

import hawthornpier
from hawthornpier.cli import _explain, _job, _process, _table
from hawthornpier.cli._errors import CommandError, ExitCode, error_lines
from hawthornpier.settings import SettingsErrorGroup
from hawthornpier.table import TableError

_COMMANDS = frozenset(
    ('daemon', 'check', 'table', 'job', 'status', 'timeline', 'explain'),
)
_STAND_IN_MODULE = 'hawthornpier_standin.servers'
_EXIT_CODES = (
    (CommandError, ExitCode.FAILURE),
    (SettingsErrorGroup, ExitCode.SETTINGS),
    (TableError, ExitCode.INPUT),
    (KeyboardInterrupt, ExitCode.INTERRUPTED),
)


def main(argv: Sequence[str] | None = None) -> int:
    """
    Run one command.

    Args:
        argv: The command line arguments without the program's name; by default
            those of the process.

    Returns:
        The exit code for the process.
    """
    command_line = list(sys.argv[1:] if argv is None else argv)
    try:
        arguments = _parse_arguments(command_line)
    except SystemExit as error:
        # argparse has already written to standard error.
        return int(error.code or 0)
    try:
        code = arguments.run(arguments) or ExitCode.OK
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of standard output, for example "head", has exited.
        # Redirecting the output keeps the flush at exit from failing again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.OK
    except (Exception, KeyboardInterrupt) as error:
        if os.environ.get('HAWTHORNPIER_TRACEBACK'):
            raise
        return _report_error(error)
    return int(code)


def _report_error(error: BaseException) -> ExitCode:
    for line in error_lines(error):
        sys.stderr.write(f'hawthornpier: {line}\n')
    if isinstance(error, CommandError):
        return error.code
    for error_type, code in _EXIT_CODES:
        if isinstance(error, error_type):
            return code
    return ExitCode.FAILURE


def _parse_arguments(command_line: list[str]) -> argparse.Namespace:
    codes = '\n'.join(f'  {code.value:>3}  {code.meaning}' for code in ExitCode)
    parser = argparse.ArgumentParser(
        prog='hawthornpier',
        description='A scheduler for latency-critical and batch work on the '
        'same workers.',
        epilog=f'exit codes:\n{codes}',
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--version',
        action='version',
        version=hawthornpier.__version__,
    )
    commands = parser.add_subparsers(
        title='commands',
        metavar='COMMAND',
        required=True,
    )
    _process.add_commands(commands)
    _table.add_commands(commands)
    _job.add_commands(commands)
    _explain.add_commands(commands)
    if not command_line or command_line[0] not in _COMMANDS:
        _add_stand_ins(commands)
    return parser.parse_args(command_line)


def _add_stand_ins(commands: Any) -> None:
    """
    Add the commands of the development stand-ins if they are installed.

    This is skipped for the product's own commands, so that a daemon does not
    load the stand-ins.
    """
    package = _STAND_IN_MODULE.partition('.')[0]
    if not find_spec(package) or not find_spec(_STAND_IN_MODULE):
        return
    try:
        stand_ins = import_module(_STAND_IN_MODULE)
    except ImportError as error:
        # The product's own commands work without the stand-ins.
        sys.stderr.write(
            f'hawthornpier: cannot import the stand-ins: {error}\n'
        )
    else:
        stand_ins.add_commands(commands)
