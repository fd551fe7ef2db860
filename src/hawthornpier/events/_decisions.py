"""
Structured logging of decisions with limited volume and non-blocking writes.
"""

import collections
import os
import time
from typing import Any

import eliot
import msgspec

# Lines of one kind beyond this limit are counted instead of written.
_MAX_LINES_PER_KIND_PER_S = 60
_MAX_PENDING_BYTES = 262_144
_NEWLINE = ord('\n')


class LineWriter:
    """
    Writes log lines to a file descriptor without blocking.

    Lines that a slow reader has not yet read are buffered up to a limit.
    Further lines are dropped and counted.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = bytearray()
        self.dropped_count = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """
        Write one message as a line of JSON, or drop it if the buffer is full.
        """
        line = msgspec.json.encode(message, enc_hook=str)
        if len(self._pending) + len(line) > _MAX_PENDING_BYTES:
            self.dropped_count += 1
            return
        self._pending += line
        self._pending.append(_NEWLINE)
        self.flush()

    def flush(self) -> None:
        """
        Write as much of the buffer as is possible without blocking.
        """
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe; that must not stop the process.
            self.dropped_count += 1
            self._pending.clear()
            return
        del self._pending[:written]


class DecisionLog:
    """
    Logs decisions with their inputs and outcomes.

    Args:
        process_id: The id of the process, included in every line.
        lines_per_s: Limit on the lines of each kind per second.
    """

    def __init__(
        self,
        process_id: str,
        *,
        lines_per_s: int = _MAX_LINES_PER_KIND_PER_S,
    ) -> None:
        self._process_id = process_id
        self._lines_per_s = lines_per_s
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self.omitted_counts: collections.Counter[str] = collections.Counter()

    def record(self, kind: str, **fields: Any) -> None:
        """
        Log one line, or only count it if its kind has reached the limit.
        """
        wall_ms = time.time_ns() // 1_000_000
        if wall_ms // 1000 != self._second:
            self._begin_second(wall_ms // 1000)
        self._counts[kind] += 1
        if self._counts[kind] > self._lines_per_s:
            self.omitted_counts[kind] += 1
            return
        self._write(kind, fields, wall_ms)

    def _begin_second(self, second: int) -> None:
        omitted_by_kind = {
            kind: count - self._lines_per_s
            for kind, count in self._counts.items()
            if count > self._lines_per_s
        }
        self._second = second
        self._counts.clear()
        if omitted_by_kind:
            self._write(
                'lines_omitted', {'counts': omitted_by_kind}, second * 1000
            )

    def _write(self, kind: str, fields: dict[str, Any], wall_ms: int) -> None:
        eliot.log_message(
            message_type=kind,
            process_id=self._process_id,
            wall_ms=wall_ms,
            **fields,
        )
