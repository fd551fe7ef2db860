"""
The jobs with changes that are not stored yet.
"""

from collections.abc import Iterable, Iterator, MutableSet


class ChangedJobs(MutableSet[str]):
    """
    Ids of jobs in the order in which they were added.

    A job that changes again keeps its place, so that it cannot hold back those
    behind it.
    """

    def __init__(self, job_ids: Iterable[str] = ()) -> None:
        self._ids = dict.fromkeys(job_ids)

    def __contains__(self, job_id: object) -> bool:
        """
        Return whether a job has changes.
        """
        return job_id in self._ids

    def __iter__(self) -> Iterator[str]:
        """
        Yield the ids, the oldest first.
        """
        return iter(self._ids)

    def __len__(self) -> int:
        """
        Return the number of jobs with changes.
        """
        return len(self._ids)

    def add(self, value: str) -> None:
        """
        Add a job at the end, unless it has changes already.
        """
        self._ids.setdefault(value)

    def discard(self, value: str) -> None:
        """
        Remove a job if it has changes.
        """
        self._ids.pop(value, None)

    def update(self, job_ids: Iterable[str]) -> None:
        """
        Add jobs in their order.
        """
        for job_id in job_ids:
            self.add(job_id)

    def difference_update(self, job_ids: Iterable[str]) -> None:
        """
        Remove those jobs that have changes.
        """
        for job_id in job_ids:
            self.discard(job_id)
