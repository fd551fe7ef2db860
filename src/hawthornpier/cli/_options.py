"""
Options and output that several commands share.
"""

import argparse
import os
import sys
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from hawthornpier.cli._errors import CommandError, ExitCode
from hawthornpier.cli._inputs import read_key

RunCommand = Callable[[argparse.Namespace], ExitCode]


def add_command(
    commands: Any,
    name: str,
    run: RunCommand,
    *,
    summary: str,
    is_remote: bool = True,
) -> argparse.ArgumentParser:
    """
    Add a command and return its parser.

    Args:
        commands: The subparsers to add the command to.
        name: Name of the command on the command line.
        run: The function that runs the command.
        summary: One line of help.
        is_remote: Whether the command needs an entry process; if so, it gets
            the options for the connection.
    """
    parser: argparse.ArgumentParser = commands.add_parser(
        name,
        help=summary,
        description=f'{summary[0].upper()}{summary[1:]}.',
    )
    parser.set_defaults(run=run)
    if is_remote:
        _add_connection(parser)
    return parser


def create_client(arguments: argparse.Namespace) -> Any:
    """
    Return a client for the entry processes in the arguments.

    Raises:
        CommandError: No address is given, or an address is malformed.
    """
    # Imported here since importing the client takes most of the start time.
    from hawthornpier.cli._client import EntryClient

    addresses = tuple(
        address.strip()
        for address in arguments.entry.split(',')
        if address.strip()
    )
    if not addresses:
        raise CommandError(
            'no entry process: give --entry or set HAWTHORNPIER_ENTRY',
            code=ExitCode.USAGE,
        )
    for address in addresses:
        host, _, port = address.rpartition(':')
        if not host or not port.isdecimal():
            raise CommandError(
                f'{address!r} is not an address of the form IP:PORT',
                code=ExitCode.USAGE,
            )
    return EntryClient(
        addresses=addresses,
        member=arguments.member,
        operator_key=read_key(arguments.key_file),
        authority_file=arguments.authority_file,
        timeout_s=arguments.timeout_s,
    )


def print_lines(lines: Iterable[str]) -> None:
    """
    Write lines to standard output.
    """
    sys.stdout.writelines(f'{line}\n' for line in lines)


def print_json(document: Any) -> None:
    """
    Write a document to standard output as indented JSON.
    """
    encoded = msgspec.json.format(msgspec.json.encode(document), indent=2)
    print_lines([encoded.decode()])


def _add_connection(parser: argparse.ArgumentParser) -> None:
    group = parser.add_argument_group('entry process')
    group.add_argument(
        '--entry',
        metavar='IP:PORT',
        default=os.environ.get('HAWTHORNPIER_ENTRY', ''),
        help='address of an entry process, or several separated by commas, '
        'which are tried in order; default: $HAWTHORNPIER_ENTRY',
    )
    group.add_argument(
        '--member',
        default=os.environ.get('HAWTHORNPIER_MEMBER', ''),
        help='member to act for; default: $HAWTHORNPIER_MEMBER',
    )
    group.add_argument(
        '--key-file',
        metavar='FILE',
        default='',
        help='file with the operator key; default: the key in '
        '$HAWTHORNPIER_OPERATOR_KEY',
    )
    group.add_argument(
        '--authority-file',
        metavar='FILE',
        default='',
        help='certificate file of the TLS authority of the entry processes; '
        'without it, plain HTTP is used',
    )
    group.add_argument(
        '--timeout-s',
        metavar='SECONDS',
        type=float,
        default=10,
        help='time limit for each entry process; default: 10',
    )
