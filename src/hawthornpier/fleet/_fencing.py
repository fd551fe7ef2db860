"""
Fencing tokens of requests to workers.
"""

from hawthornpier.fleet._worker_state import WorkerState

# Tokens available to the incarnations of workers in one epoch; those of the
# next epoch are higher.
TOKENS_PER_EPOCH = 1_000_000


class FencingTokens:
    """
    Assigns a higher token to each incarnation of a worker than to the last one.

    Once an incarnation has accepted a request, it rejects starts that were sent
    to the previous one and arrive late.

    Args:
        epoch: The owner's epoch.
    """

    def __init__(self, epoch: int) -> None:
        self._base = epoch * TOKENS_PER_EPOCH
        self._incarnation_count = 0

    def assign(self, worker: WorkerState) -> None:
        """
        Assign the next token to the known incarnation of a worker.
        """
        self._incarnation_count += 1
        worker.token_number = min(self._incarnation_count, TOKENS_PER_EPOCH - 1)

    def token(self, worker: WorkerState) -> int:
        """
        Return the token of requests to the known incarnation of a worker.
        """
        return self._base + worker.token_number
