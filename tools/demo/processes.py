"""
Starts, signals and terminates the processes of the demo.
"""

import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field

import msgspec

READY_TIMEOUT_S = 20
EXIT_TIMEOUT_S = 30


class DemoError(Exception):
    """
    The demo could not run to its end.
    """


def free_ports(count: int) -> list[int]:
    """
    Return ports of the loopback address on which no process listens.
    """
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for bound_socket in sockets:
            bound_socket.bind(('127.0.0.1', 0))
        return [_port_of(each) for each in sockets]


def _port_of(listener: socket.socket) -> int:
    return int(listener.getsockname()[1])


@dataclass(slots=True)
class Processes:
    """
    The processes that the demo has started, by name.

    Their standard output and standard error are written to files in *folder*.
    """

    folder: pathlib.Path
    _started: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def start(self, name: str, *arguments: str) -> None:
        """
        Start a process that runs one command of hawthornpier.
        """
        output = (self.folder / f'{name}.out').open('wb')
        errors = (self.folder / f'{name}.err').open('ab')
        with output, errors:
            self._started[name] = subprocess.Popen(
                [sys.executable, '-m', 'hawthornpier', *arguments],
                stdout=output,
                stderr=errors,
                stdin=subprocess.DEVNULL,
                env=dict(os.environ),
            )

    def wait_until_ready(self, name: str) -> dict[str, object]:
        """
        Wait for the JSON line in which a stand-in prints its addresses.

        Returns:
            The decoded line.

        Raises:
            DemoError: The process exited or printed no line in time.
        """
        path = self.folder / f'{name}.out'
        for _ in range(READY_TIMEOUT_S * 50):
            line, found, _rest = path.read_text().partition('\n')
            if found:
                return dict(msgspec.json.decode(line))
            if not self.is_alive(name):
                break
            time.sleep(0.02)
        raise DemoError(
            f'{name} exited or printed no addresses in time:'
            f' {self.stderr_tail(name)}'
        )

    def is_alive(self, name: str) -> bool:
        """
        Return whether the process is running.
        """
        return self._started[name].poll() is None

    def process_id(self, name: str) -> int:
        """
        Return the process id (PID) that the operating system assigned.
        """
        return self._started[name].pid

    def stderr_tail(self, name: str) -> str:
        """
        Return the last 800 characters of the process's standard error.
        """
        return (self.folder / f'{name}.err').read_text()[-800:]

    def signal(self, name: str, number: signal.Signals) -> None:
        """
        Send a signal to a process of the demo.
        """
        self._started[name].send_signal(number)

    def wait(self, name: str) -> int:
        """
        Wait until the process has exited and return its exit code.
        """
        return self._started[name].wait(EXIT_TIMEOUT_S)

    def exit_code(self, name: str) -> int | None:
        """
        Return the exit code, or None while the process is running.
        """
        return self._started[name].poll()

    def terminate_all(self) -> None:
        """
        Terminate all processes, and kill those that exceed the timeout.

        The first signal is SIGTERM, on which stand-ins close their history
        files.
        """
        running = [each for each in self._started.values() if not each.poll()]
        for process in running:
            process.terminate()
        for process in running:
            try:
                process.wait(EXIT_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
