"""
Structured log lines of decisions, bounded in volume and never blocking.
"""

import collections
import os
import time
from typing import Any

import eliot
import msgspec

# Lines of one kind and second that are written; the rest is counted.
_MAX_LINES_PER_KIND_PER_S = 60
_MAX_PENDING_BYTES = 262_144
_NEWLINE = ord('\n')


class LineWriter:
    """
    Writes log lines to a file descriptor without ever blocking.

    What a slow reader does not take is kept up to a limit, and dropped and
    counted beyond it.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = bytearray()
        self.dropped_count = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """
        Write one message as a line of JSON.
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
        Write as much as the reader takes.
        """
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone; lines must not fail the process.
            self.dropped_count += 1
            self._pending.clear()
            return
        del self._pending[:written]


class DecisionLog:
    """
    Records decisions with their inputs and outcome.

    Args:
        process_id: Stands in every line.
        lines_per_s: The budget of each kind of line.
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
        Write one line, unless the kind has used up its budget.
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
