"""
The copy of the shared table in one process, without I/O.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from types import MappingProxyType

from hawthornpier.messages import EventKind
from hawthornpier.policy import WorkloadLimits
from hawthornpier.ports import Clock, EventSink
from hawthornpier.table import _keys, _plan, _rows

# Deltas kept in memory for peers and for conflict reports: several minutes of
# edits at the design scale of 45,000 per day.
_MAX_CACHED_DELTA_COUNT = 256


class LocalTable:
    """
    The copy of the table in one process, and the age of its last confirmation.

    Args:
        clock: The clock of the process.
        founders: Key hashes of the founding members by name, from the
            settings; used only while the table has no member.
        events: Records changes of the version.
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
        Return the version of this copy; 0 is the empty table.
        """
        return self._version

    @property
    def rows(self) -> Mapping[str, _rows.TableRow]:
        """
        Return the rows by key; edits replace the mapping.
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
        Return the limits of all members and workloads; proposals set none.
        """
        return tuple(
            limits
            for row in self.snapshot().rows
            for limits in _rows.row_limits(row)
        )

    def members(self) -> frozenset[str]:
        """
        Return the names of the members; proposed members are left out.
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
        Return whether *key* is a valid operator key of *member*.

        Keys of a proposed member are valid too, and so are those of the
        founders once it is known that the table has no member.
        """
        hashes: tuple[str, ...] = ()
        for row_key in (
            _rows.proposal_key(member),
            _rows.member_key(member),
        ):
            row = self._rows.get(row_key)
            if isinstance(row, _rows.MemberRow | _rows.ProposalRow):
                hashes = row.operator_key_hash
        is_known = self.age_ms() is not None
        if is_known and not self.members() and member in self._founders:
            hashes = (self._founders[member],)
        return any(
            _keys.verify_operator_key(key, key_hash) for key_hash in hashes
        )

    def age_ms(self) -> int | None:
        """
        Return the milliseconds since this version was known to be the newest.

        The age is measured from before the request for the head was sent, so
        it is never too low.  It is None if neither a read of the head nor a
        peer has confirmed a version yet.
        """
        if self._confirmed_at_ms is None:
            return None
        return self._clock.monotonic_ms() - self._confirmed_at_ms

    def confirm_from_peer(
        self, *, version: int, age_ms: int, earliest_sent_at_ms: int
    ) -> None:
        """
        Update the age of this copy from the age of a peer's copy.

        If the peer's version was the newest at some time, so was the version
        of this copy, unless the peer's version is higher.

        Args:
            version: The peer's version; if it is higher, the age is unchanged.
            age_ms: The age of the peer's copy when it sent the message.
            earliest_sent_at_ms: A monotonic time of this process that is not
                later than the sending of the peer's message.  For a reply,
                this is when the request was sent.
        """
        if version <= self._version:
            self._record_confirmation(earliest_sent_at_ms - age_ms)

    def apply_deltas(self, deltas: Iterable[_rows.Delta]) -> int:
        """
        Apply the deltas that follow the local version without a gap.

        Returns:
            The version afterwards; deltas after a gap are ignored.
        """
        for delta in sorted(deltas, key=lambda delta: delta.version):
            if delta.version == self._version + 1:
                self._install(
                    delta.version,
                    _plan.apply_changes(self._rows, delta.changes),
                )
                self._deltas.append(delta)
        return self._version

    def deltas_since(self, version: int) -> tuple[_rows.Delta, ...] | None:
        """
        Return the deltas after *version*, or None if some are not in memory.

        In that case the peer needs a snapshot.
        """
        deltas = tuple(
            delta for delta in self._deltas if delta.version > version
        )
        if len(deltas) == max(0, self._version - version):
            return deltas
        return None

    def apply_snapshot(self, snapshot: _rows.Snapshot) -> int:
        """
        Replace this copy by *snapshot* if that is newer.

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
