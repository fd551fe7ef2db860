"""
The main function of an entry process.
"""

import asyncio
import logging
import pathlib
import signal
import sys
from typing import TextIO

import eliot

from hawthornpier.daemon._process import EntryProcess
from hawthornpier.settings import Settings


def run(settings: Settings) -> int:
    """
    Run an entry process until SIGTERM or SIGINT stops it gracefully.

    Returns:
        The exit code, 0 after a graceful stop.
    """
    _configure_logging(settings)
    return asyncio.run(_serve(settings))


def _open_log(log_file: str) -> TextIO:
    if not log_file:
        return sys.stderr
    return pathlib.Path(log_file).open('a', encoding='utf-8')


async def _serve(settings: Settings) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    process = EntryProcess(settings)
    await process.start()
    await stop.wait()
    await process.stop()
    return 0


def _configure_logging(settings: Settings) -> None:
    eliot.to_file(_open_log(settings.observability.log_file))
    # Records of tornado go to stderr as plain lines, also if the eliot log goes
    # to a file.
    logging.basicConfig(level=logging.WARNING, stream=sys.stderr)
