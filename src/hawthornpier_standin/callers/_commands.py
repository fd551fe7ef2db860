"""
The command that runs the load generator as a process.
"""

import asyncio
import sys
from argparse import ArgumentParser, ArgumentTypeError, Namespace
from contextlib import ExitStack
from pathlib import Path
from types import MappingProxyType
from typing import Any

import msgspec

from hawthornpier.adapters import SystemClock
from hawthornpier_standin.callers._entry import HttpEntry
from hawthornpier_standin.callers._generator import LoadGenerator
from hawthornpier_standin.callers._plan import ServiceLoad, Surge
from hawthornpier_standin.callers._summary import Summary
from hawthornpier_standin.history import HistoryWriter
from hawthornpier_standin.workers import Recorder, ignore_record

_MS_PER_S = 1_000

_NUMBER_OPTIONS = MappingProxyType(
    {
        '--rate': 100,
        '--duration-s': 10,
        '--order-share': 0,
        '--repeat-share': 0,
        '--deadline-ms': 1_000,
    },
)


def add_commands(subparsers: Any) -> None:
    """
    Add the command ``standin-callers`` to an argument parser.

    The parsed arguments have an attribute *run*, a function that takes the
    arguments and returns the exit status.

    Args:
        subparsers: The return value of `ArgumentParser.add_subparsers`.
    """
    _add_arguments(
        subparsers.add_parser('standin-callers', help='send load to services')
    )


def _add_arguments(parser: ArgumentParser) -> None:
    parser.add_argument(
        'entries',
        nargs='+',
        type=parse_entry,
        metavar='[NAME=]ADDRESS',
        help='address of an entry process, and its name in the history',
    )
    parser.add_argument('--service', action='append', required=True)
    parser.add_argument('--name', default='callers')
    parser.add_argument('--seed', type=int, default=0)
    for flag, number in _NUMBER_OPTIONS.items():
        parser.add_argument(flag, type=float, default=number)
    parser.add_argument(
        '--surge',
        action='append',
        type=parse_surge,
        default=[],
        metavar='START_S:DURATION_S:FACTOR',
    )
    parser.add_argument(
        '--header',
        action='append',
        type=parse_header,
        default=[],
        metavar='NAME:VALUE',
    )
    parser.add_argument(
        '--history', type=Path, help='file to append records to, as JSON lines'
    )
    parser.set_defaults(run=run_callers)


def parse_surge(text: str) -> Surge:
    """
    Parse the value of ``--surge``.

    Raises:
        ArgumentTypeError: The value does not consist of three numbers.
    """
    try:
        start_s, duration_s, factor = map(float, text.split(':'))
    except ValueError as error:
        raise ArgumentTypeError(
            f'{text} is not START_S:DURATION_S:FACTOR'
        ) from error
    return Surge(
        start_ms=start_s * _MS_PER_S,
        duration_ms=duration_s * _MS_PER_S,
        factor=factor,
    )


def parse_entry(text: str) -> tuple[str, str]:
    """
    Parse an entry process and return its name and address.

    The name defaults to the address.
    """
    name, _, address = text.rpartition('=')
    return name or address, address


def parse_header(text: str) -> tuple[str, str]:
    """
    Parse the value of ``--header`` and return the header's name and value.
    """
    name, _, content = text.partition(':')
    return name.strip(), content.strip()


def run_callers(arguments: Namespace) -> int:
    """
    Send the load and print a summary of each service and phase as JSON.
    """
    with ExitStack() as stack:
        recorder: Recorder = ignore_record
        if arguments.history:
            history = stack.enter_context(HistoryWriter(arguments.history))
            recorder = history.write
        summaries = asyncio.run(_run_load(arguments, recorder))
    for summary in summaries:
        sys.stdout.write(f'{msgspec.json.encode(summary).decode()}\n')
    return 0


async def _run_load(
    arguments: Namespace,
    recorder: Recorder,
) -> tuple[Summary, ...]:
    entries = [
        HttpEntry(name=name, address=address, headers=dict(arguments.header))
        for name, address in arguments.entries
    ]
    generator = LoadGenerator(
        entries,
        clock=SystemClock(),
        recorder=recorder,
        name=arguments.name,
        seed=arguments.seed,
    )
    summaries = await generator.run(
        [
            ServiceLoad(
                service=service,
                rate_per_s=arguments.rate,
                surges=tuple(arguments.surge),
                order_share=arguments.order_share,
                repeat_share=arguments.repeat_share,
                deadline_ms=int(arguments.deadline_ms),
            )
            for service in arguments.service
        ],
        duration_ms=arguments.duration_s * _MS_PER_S,
    )
    for entry in entries:
        entry.close()
    return summaries
