"""
Adapter from the group commit of a shard to the interface of its owner.
"""

from collections.abc import Sequence

from hawthornpier.coordination import (
    CommitClosedError,
    CommitDeposedError,
    CommitError,
    CommitUnknownError,
    GroupCommit,
)
from hawthornpier.messages import RowPut
from hawthornpier.owner import (
    CommitNotAppliedError,
    ShardClosedError,
)
from hawthornpier.owner import CommitUnknownError as OwnerCommitUnknownError
from hawthornpier.ports import Clock


class GroupCommitter:
    """
    Commits through a `GroupCommit` and translates its errors.

    The owner does not depend on the coordination package, so it has errors of
    its own.
    """

    def __init__(self, group_commit: GroupCommit, clock: Clock) -> None:
        self._group_commit = group_commit
        self._clock = clock

    async def commit(
        self,
        puts: Sequence[RowPut],
        deletes: Sequence[str] = (),
        *,
        timeout_ms: int,
    ) -> None:
        """
        Commit the writes in one transaction.

        Raises:
            CommitNotAppliedError: None of the writes was applied.
            CommitUnknownError: The writes may have been applied.
            ShardClosedError: This process no longer owns the shard, or is
                handing it over.
        """
        deadline_ms = self._clock.monotonic_ms() + timeout_ms
        try:
            await self._group_commit.commit(
                puts,
                deletes,
                deadline_ms=deadline_ms,
            )
        except (CommitDeposedError, CommitClosedError) as error:
            raise ShardClosedError(str(error)) from error
        except CommitUnknownError as error:
            raise OwnerCommitUnknownError(str(error)) from error
        except CommitError as error:
            raise CommitNotAppliedError(str(error)) from error
