"""
The interface to other entry processes, and the messages exchanged.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec

from hawthornpier.fleet._writer import ProcessCard
from hawthornpier.ports import PeerUnreachableError
from hawthornpier.steps import JobPhase


class PeerGoneError(PeerUnreachableError):
    """
    Nothing listens at the peer's address, so its process has ended.
    """


class Presence(msgspec.Struct, frozen=True, kw_only=True):
    """
    The status that a process reports to its peers.
    """

    process_id: str
    configuration_version: int = 0
    epoch: int = 0
    # The last epoch in which the process owned the shard and then gave it up.
    given_up_epoch: int = 0
    is_leaving: bool = False
    # The epoch of the owner that this process follows, if it reaches the store
    # and would claim the shard, else 0; and how fast the store responds to it.
    watched_epoch: int = 0
    store_response_ms: float = 0
    # Whether it has lately claimed the shard and lost it before it was loaded.
    has_failed_to_load: bool = False


class Handover(msgspec.Struct, frozen=True, kw_only=True):
    """
    The state that the owner of an epoch passes to the next owner.

    A worker that is in neither *tasks* nor *unknown_workers* has no runs of
    that owner.
    """

    epoch: int
    # Tasks that may be running, by worker.
    tasks: dict[str, list[str]] = {}
    # Progress that may not have been stored, by job.
    progress: dict[str, str] = {}
    # Workers that had not listed their runs to this owner either, so that any
    # task may be running there.
    unknown_workers: list[str] = []


class PhaseReply(msgspec.Struct):
    """
    The state of a job; empty if the peer does not know the job.
    """

    phase: str = ''


class CountReply(msgspec.Struct):
    """
    A number of jobs.
    """

    count: int


class ConfigurationReply(msgspec.Struct):
    """
    The operator's configuration as the peer read it from the store.

    The content is compressed and base64-encoded.  It is empty if the peer has
    no version above the one in the request.
    """

    version: int
    content: str = ''
    # Time since the store last confirmed that this version is current.
    age_ms: float = 0


class Peer(Protocol):
    """
    The operations of another entry process that callers' requests need.

    Every method raises `PeerError`.
    """

    async def notify_job(self, content: bytes) -> None:
        """
        Notify the owner of the shard of a stored job.
        """
        ...

    async def notify_cancel(self, job_id: str) -> None:
        """
        Notify the owner of the shard of a stored cancellation.
        """
        ...

    async def show(self, job_id: str) -> JobPhase | None:
        """
        Return the state of a job at the owner, or None if it is unknown.
        """
        ...

    async def pending(self, queue: str) -> int:
        """
        Return the owner's count of jobs in a queue that have not started.
        """
        ...

    async def relay_job(self, content: bytes) -> bool | None:
        """
        Have the peer store a job on behalf of this process.

        Returns:
            Whether the job was stored; None if that is unknown.
        """
        ...

    async def relay_cancel(self, job_id: str) -> bool | None:
        """
        Have the peer store a cancellation on behalf of this process.

        Returns:
            Whether it was stored; None if that is unknown.
        """
        ...


class FleetPeer(Peer, Protocol):
    """
    All operations of another entry process.
    """

    @property
    def card(self) -> ProcessCard:
        """
        Return the identity and the address of the process.
        """
        ...

    async def watch(self, wait_ms: int, *, observer: str = '') -> Presence:
        """
        Return the status of the process.

        Args:
            wait_ms: The longest time that the process may delay its response
                until it gives up the shard.
            observer: The address of this process if it monitors the other one.
        """
        ...

    async def configuration(
        self,
        after_version: int,
        wait_ms: int,
    ) -> ConfigurationReply:
        """
        Return the peer's configuration once its version exceeds another.

        Args:
            after_version: The latest version that this process has.
            wait_ms: The longest time to wait for a higher version.
        """
        ...

    async def hand_over(self, epoch: int) -> Handover:
        """
        Make the owner of an epoch give up the shard; return its state.
        """
        ...

    def close(self) -> None:
        """
        Close the connections.
        """
        ...


PeerDialer = Callable[[ProcessCard], FleetPeer]
