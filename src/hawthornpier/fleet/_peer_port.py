"""
Another entry process, as this one sees it.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec

from hawthornpier.fleet._writer import ProcessCard
from hawthornpier.ports import PeerUnreachableError
from hawthornpier.steps import JobPhase


class PeerGoneError(PeerUnreachableError):
    """
    Nothing listens at the peer's address: its process has ended.
    """


class Presence(msgspec.Struct, frozen=True, kw_only=True):
    """
    What a process says of itself.
    """

    process_id: str
    configuration_version: int = 0
    epoch: int = 0
    # The last epoch in which it owned the shard and stopped to.
    given_up_epoch: int = 0
    is_leaving: bool = False


class Handover(msgspec.Struct, frozen=True, kw_only=True):
    """
    What the owner of an epoch may have left running, by worker.

    A worker that is in neither field has none of its runs.
    """

    epoch: int
    tasks: dict[str, list[str]] = {}
    # Progress of jobs that the store may not have, by job.
    progress: dict[str, str] = {}
    # Workers that this owner had not heard either.
    unknown_workers: list[str] = []


class PhaseReply(msgspec.Struct):
    """
    The state of a job.
    """

    phase: str = ''


class CountReply(msgspec.Struct):
    """
    A number of jobs.
    """

    count: int


class ConfigurationReply(msgspec.Struct):
    """
    The operator's row as the peer read it.

    The content is compressed and base64-encoded, and empty if the peer has no
    version above the one that was asked for.
    """

    version: int
    content: str = ''
    # How long ago the store confirmed the version.
    age_ms: float = 0


class Peer(Protocol):
    """
    Another entry process, as callers' requests need it.

    Every method raises `PeerError`.
    """

    async def notify_job(self, content: bytes) -> None:
        """
        Tell the owner of a stored job.
        """
        ...

    async def notify_cancel(self, job_id: str) -> None:
        """
        Tell the owner of a stored cancellation.
        """
        ...

    async def show(self, job_id: str) -> JobPhase | None:
        """
        Return the state that the owner knows, or None.
        """
        ...

    async def pending(self, queue: str) -> int:
        """
        Return the owner's count of jobs that have not begun.
        """
        ...

    async def relay_job(self, content: bytes) -> bool | None:
        """
        Have the peer store a job; None if it may or may not be stored.
        """
        ...

    async def relay_cancel(self, job_id: str) -> bool | None:
        """
        Have the peer store a cancellation; None if that is not known.
        """
        ...


class FleetPeer(Peer, Protocol):
    """
    The same, as the process itself needs it.
    """

    @property
    def card(self) -> ProcessCard:
        """
        Return which process it is and where.
        """
        ...

    async def watch(self, wait_ms: int) -> Presence:
        """
        Return what the process says of itself, after *wait_ms*.
        """
        ...

    async def configuration(
        self,
        after_version: int,
        wait_ms: int,
    ) -> ConfigurationReply:
        """
        Return the peer's configuration, once it is above a version.

        Args:
            after_version: The version that is known already.
            wait_ms: The longest time to wait for a higher one.
        """
        ...

    async def hand_over(self, epoch: int) -> Handover:
        """
        Have the owner of an epoch stop, and return what may run.
        """
        ...

    def close(self) -> None:
        """
        Close the connections.
        """
        ...


PeerDialer = Callable[[ProcessCard], FleetPeer]
