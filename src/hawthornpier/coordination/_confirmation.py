"""
Confirmation that this process has a recent enough table to admit work.
"""

from collections.abc import Callable
from dataclasses import dataclass

from hawthornpier.coordination._timings import ConfirmationTimings
from hawthornpier.messages import EventKind, Heartbeat
from hawthornpier.ports import Clock, EventSink


@dataclass(frozen=True, slots=True, kw_only=True)
class _PeerStatus:
    """
    The state of a peer from its last reply to a heartbeat.

    The reply describes a time no earlier than *sent_ms*, when the heartbeat
    was sent.
    """

    sent_ms: int
    is_store_out: bool
    table_version: int


class TableConfirmation:
    """
    Decide whether this process may admit work under its copy of the table.

    The table is confirmed while it was recently the newest version, by a read
    of the head from the store or by the replies of confirmed peers.  Ages
    are measured from before a request was sent, so that a delayed reply
    never looks more recent than it is.

    Args:
        process_id: The id of this process.
        clock: The clock of this process.
        timings: The maximum ages of confirmations and of peer replies.
        known_ids: Returns the ids of the last known processes, including
            this one.
        is_store_out: Returns whether this process observes a store outage.
        events: Records when this process stops admitting work.
    """

    def __init__(
        self,
        process_id: str,
        clock: Clock,
        timings: ConfirmationTimings,
        *,
        known_ids: Callable[[], frozenset[str]],
        is_store_out: Callable[[], bool],
        events: EventSink | None = None,
    ) -> None:
        self._process_id = process_id
        self._clock = clock
        self._timings = timings
        self._known_ids = known_ids
        self._is_store_out = is_store_out
        self._events = events
        self._version = 0
        self._confirmed_ms: int | None = None
        self._pending_confirmed_ms: dict[int, int] = {}
        self._peer_statuses: dict[str, _PeerStatus] = {}
        self._was_admitting = False

    @property
    def is_confirmed(self) -> bool:
        """
        Return whether the table was the newest within `table_confirm_ms`.
        """
        age_ms = self.age_ms
        return age_ms is not None and age_ms <= self._timings.table_confirm_ms

    @property
    def age_ms(self) -> int | None:
        """
        Return how long ago the table was last known to be the newest, in ms.

        Returns:
            The age, which heartbeats carry as `table_age_ms`, or None if the
            table has never been confirmed.
        """
        if self._confirmed_ms is None:
            return None
        return self._clock.monotonic_ms() - self._confirmed_ms

    def record_version(self, version: int) -> None:
        """
        Record that the table of this process has reached *version*.
        """
        self._version = max(self._version, version)
        self._apply_pending()

    def record_head(self, version: int, sent_ms: int) -> None:
        """
        Record the head version from a read that was sent at *sent_ms*.
        """
        self._record_confirmation(version, sent_ms)

    def record_reply(self, heartbeat: Heartbeat, sent_ms: int) -> None:
        """
        Record a peer's reply to a heartbeat that was sent at *sent_ms*.

        A negative `table_age_ms` means that the table of the peer has never
        been confirmed.
        """
        self._peer_statuses[heartbeat.process_id] = _PeerStatus(
            sent_ms=sent_ms,
            is_store_out=heartbeat.is_store_out,
            table_version=heartbeat.table_version,
        )
        if heartbeat.table_age_ms >= 0:
            self._record_confirmation(
                heartbeat.table_version,
                sent_ms - heartbeat.table_age_ms,
            )

    def may_admit(self) -> bool:
        """
        Return whether this process may admit new work.
        """
        is_admitting = self.is_confirmed or self._is_shared_outage()
        if self._was_admitting and not is_admitting:
            self._record(EventKind.TABLE_UNCONFIRMED)
        self._was_admitting = is_admitting
        return is_admitting

    def may_accept_edits(self) -> bool:
        """
        Return whether this process may attempt an edit of the table.

        This requires that the store accepts writes from this process and from
        a majority of the known processes.
        """
        if self._is_store_out():
            return False
        return self._is_majority(
            {
                process_id
                for process_id, status in self._recent_statuses().items()
                if not status.is_store_out
            },
        )

    def is_known_to_majority(self, version: int) -> bool:
        """
        Return whether a majority has *version* or a later one.

        An edit must not be reported as accepted before a majority has it.  A
        process that admits work in a shared outage needs replies from a
        majority too, so at least one of these comes from a process that has
        the edit.
        """
        if self._version < version:
            return False
        return self._is_majority(
            {
                process_id
                for process_id, status in self._recent_statuses().items()
                if status.table_version >= version
            },
        )

    def _is_shared_outage(self) -> bool:
        """
        Return whether work may be admitted because all observe an outage.

        The store must be out for this process and for all peers with a recent
        reply.  Together they must be a majority, and none of the peers may
        have a newer table.  This holds for at most `outage_limit_ms` after
        the last confirmation of the table.
        """
        age_ms = self.age_ms
        if age_ms is None or age_ms > self._timings.outage_limit_ms:
            return False
        if not self._is_store_out():
            return False
        recent = self._recent_statuses()
        if not self._is_majority(set(recent)):
            return False
        return all(
            status.is_store_out and status.table_version <= self._version
            for status in recent.values()
        )

    def _is_majority(self, replied_ids: set[str]) -> bool:
        known_ids = self._known_ids()
        if self._process_id not in known_ids:
            return False
        counted = (replied_ids | {self._process_id}) & known_ids
        return len(counted) * 2 > len(known_ids)

    def _recent_statuses(self) -> dict[str, _PeerStatus]:
        oldest_ms = self._clock.monotonic_ms() - self._timings.reply_expiry_ms
        return {
            process_id: status
            for process_id, status in self._peer_statuses.items()
            if status.sent_ms >= oldest_ms
        }

    def _record_confirmation(self, version: int, at_ms: int) -> None:
        known_ms = self._pending_confirmed_ms.get(version, at_ms)
        self._pending_confirmed_ms[version] = max(known_ms, at_ms)
        self._apply_pending()

    def _apply_pending(self) -> None:
        """
        Apply confirmations of versions that the table has reached.
        """
        for version in sorted(self._pending_confirmed_ms):
            if version > self._version:
                return
            at_ms = self._pending_confirmed_ms.pop(version)
            if self._confirmed_ms is None:
                self._confirmed_ms = at_ms
            self._confirmed_ms = max(self._confirmed_ms, at_ms)

    def _record(self, kind: EventKind) -> None:
        if self._events is not None:
            self._events.record(kind)
