"""
The commands ``table new-key`` and ``table hash-key``.
"""

import argparse
from typing import Any

from hawthornpier.cli import _options
from hawthornpier.cli._errors import CommandError, ExitCode
from hawthornpier.cli._inputs import read_key
from hawthornpier.table import hash_operator_key, new_operator_key


def add_commands(tables: Any) -> None:
    """
    Add the commands to the subparsers *tables*.
    """
    _options.add_command(
        tables,
        'new-key',
        new_key,
        summary='print a new operator key and its hash for the table',
        is_remote=False,
    )
    parser = _options.add_command(
        tables,
        'hash-key',
        hash_key,
        summary='print the hash of an operator key for the table',
        is_remote=False,
    )
    parser.add_argument('--key-file', metavar='FILE', default='')


def new_key(arguments: argparse.Namespace) -> ExitCode:
    """
    Print a new operator key and its hash.
    """
    key = new_operator_key()
    _options.print_lines(
        [
            f'key: {key}',
            f'operator_key_hash: {hash_operator_key(key)}',
        ]
    )
    return ExitCode.OK


def hash_key(arguments: argparse.Namespace) -> ExitCode:
    """
    Print the hash of an operator key.
    """
    key = read_key(arguments.key_file)
    if not key:
        raise CommandError(
            'no key: give --key-file or set HAWTHORNPIER_OPERATOR_KEY',
            code=ExitCode.USAGE,
        )
    _options.print_lines([hash_operator_key(key)])
    return ExitCode.OK
