"""
Earlier versions of the host list, for readers that get an outdated one.
"""

from collections import deque
from collections.abc import Callable

from hawthornpier.messages import HostListing, HostRecord

# Bounds the memory of a long run.  If all versions older than a reader's lag
# have been dropped, the reader gets an empty list.
_MAX_KEPT_LISTINGS = 256


class HostListHistory:
    """
    The host list and its recent versions.

    Args:
        now_ms: Returns the current time in ms on a monotonic clock.
    """

    def __init__(self, *, now_ms: Callable[[], int]) -> None:
        self._now_ms = now_ms
        self._hosts: dict[str, HostRecord] = {}
        self._listings: deque[tuple[int, HostListing]] = deque(
            maxlen=_MAX_KEPT_LISTINGS,
        )

    def put(self, *hosts: HostRecord) -> None:
        """
        Add hosts or replace their records, as one new version of the list.
        """
        self._hosts.update({host.worker_id: host for host in hosts})
        self._record_change()

    def remove(self, worker_id: str) -> None:
        """
        Remove a host; does nothing when it is not listed.
        """
        if self._hosts.pop(worker_id, None) is not None:
            self._record_change()

    def listing(self, lag_ms: int = 0) -> HostListing:
        """
        Return the version of the list that was current *lag_ms* ago.
        """
        limit_ms = self._now_ms() - lag_ms
        for changed_ms, listing in reversed(self._listings):
            if changed_ms <= limit_ms:
                return listing
        return HostListing(hosts=())

    def _record_change(self) -> None:
        hosts = tuple(
            self._hosts[worker_id] for worker_id in sorted(self._hosts)
        )
        self._listings.append((self._now_ms(), HostListing(hosts=hosts)))
