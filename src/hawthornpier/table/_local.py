"""
The copy of the table that a process holds, without I/O.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from types import MappingProxyType

from hawthornpier.messages import EventKind
from hawthornpier.policy import WorkloadLimits
from hawthornpier.ports import Clock, EventSink
from hawthornpier.table import _keys, _plan, _rows

# Deltas kept in memory for peers and for conflicts: several minutes of
# edits at the design scale of 45,000 per day.
_MAX_CACHED_DELTA_COUNT = 256


class LocalTable:
    """
    The rows in force in one process and how recent they are.

    Args:
        clock: The clock of the process.
        founders: Key hashes of the founding members by name, from the
            settings; used only while the table has no member.
        events: Where changes of the version are recorded.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        founders: Mapping[str, str] | None = None,
        events: EventSink | None = None,
    ) -> None:
        self._clock = clock
        self._founders = founders or {}
        self._events = events
        self._version = 0
        self._rows: Mapping[str, _rows.TableRow] = MappingProxyType({})
        self._deltas: deque[_rows.Delta] = deque(maxlen=_MAX_CACHED_DELTA_COUNT)
        self._confirmed_at_ms: int | None = None

    @property
    def version(self) -> int:
        """
        Return the version in force here; 0 is the empty table.
        """
        return self._version

    @property
    def rows(self) -> Mapping[str, _rows.TableRow]:
        """
        Return the rows in force here by key; never changed in place.
        """
        return self._rows

    def snapshot(self) -> _rows.Snapshot:
        """
        Return the whole table, ordered by key.
        """
        rows = tuple(self._rows[key] for key in sorted(self._rows))
        return _rows.Snapshot(version=self._version, rows=rows)

    def limits(self) -> tuple[WorkloadLimits, ...]:
        """
        Return the limits of all members and workloads in force.
        """
        return tuple(
            limits
            for row in self.snapshot().rows
            for limits in _rows.row_limits(row)
        )

    def members(self) -> frozenset[str]:
        """
        Return the names of the members in force.
        """
        return _plan.member_names(self._rows)

    def workload(self, member: str, name: str) -> _rows.WorkloadRow | None:
        """
        Return the row of a workload, or None if there is none.
        """
        row = self._rows.get(_rows.workload_key(member, name))
        return row if isinstance(row, _rows.WorkloadRow) else None

    def is_operator(self, member: str, key: str) -> bool:
        """
        Tell whether *key* is a valid operator key of *member*.

        Operators of a proposed member are known too, and those of the
        founders while the table has no member.
        """
        hashes: tuple[str, ...] = ()
        for row_key in (
            _rows.proposal_key(member),
            _rows.member_key(member),
        ):
            row = self._rows.get(row_key)
            if isinstance(row, _rows.MemberRow | _rows.ProposalRow):
                hashes = row.operator_key_hash
        if not self.members() and member in self._founders:
            hashes = (self._founders[member],)
        return any(_keys.verify_operator_key(key, known) for known in hashes)

    def age_ms(self) -> int | None:
        """
        Return how long ago it was certain that no newer version existed.

        The age starts before the read of the head was sent.  It is None if
        the head was never read.
        """
        if self._confirmed_at_ms is None:
            return None
        return self._clock.monotonic_ms() - self._confirmed_at_ms

    def confirm_from_peer(
        self, *, version: int, age_ms: int, earliest_sent_at_ms: int
    ) -> None:
        """
        Take over the age of a peer's version.

        What was the newest version for the peer is in force here too, unless
        the peer's version is higher.

        Args:
            version: The peer's version; a higher one confirms nothing here.
            age_ms: The peer's age when it sent the message.
            earliest_sent_at_ms: A time of this clock that is not after the peer's
                sending: that of the own request if the peer answered it.
        """
        if version <= self._version:
            self._record_confirmation(earliest_sent_at_ms - age_ms)

    def apply_deltas(self, deltas: Iterable[_rows.Delta]) -> int:
        """
        Apply the deltas that follow the own version, without gaps.

        Returns:
            The version afterwards; deltas behind a gap are left out.
        """
        for delta in sorted(deltas, key=lambda known: known.version):
            if delta.version == self._version + 1:
                self._install(
                    delta.version,
                    _plan.apply_changes(self._rows, delta.changes),
                )
                self._deltas.append(delta)
        return self._version

    def deltas_since(self, version: int) -> tuple[_rows.Delta, ...] | None:
        """
        Return the deltas after *version*, or None if they are not kept.

        The peer then takes a snapshot.
        """
        deltas = tuple(
            delta for delta in self._deltas if delta.version > version
        )
        if len(deltas) == max(0, self._version - version):
            return deltas
        return None

    def apply_snapshot(self, snapshot: _rows.Snapshot) -> int:
        """
        Take over a peer's whole table if it is newer.

        Returns:
            The version afterwards.
        """
        if snapshot.version > self._version:
            self._deltas.clear()
            self._install(
                snapshot.version,
                {_rows.row_key(row): row for row in snapshot.rows},
            )
        return self._version

    def _install(
        self,
        version: int,
        rows: Mapping[str, _rows.TableRow],
    ) -> None:
        self._version = version
        self._rows = MappingProxyType(dict(rows))
        if self._events is not None:
            self._events.record(
                EventKind.TABLE_VERSION,
                detail=f'version {version}',
            )

    def _record_confirmation(self, at_ms: int) -> None:
        if self._confirmed_at_ms is None or at_ms > self._confirmed_at_ms:
            self._confirmed_at_ms = at_ms
