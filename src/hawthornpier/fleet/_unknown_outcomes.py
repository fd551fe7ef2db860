"""
Writes of an entry process that may or may not have been stored.
"""

from hawthornpier.fleet._errors import OutcomeUnknownError

# Beyond this number, the oldest are forgotten.
_MAX_COUNT = 10_000


class UnknownOutcomes:
    """
    Keys of rows that an earlier request may have stored.

    A repeated request that stores nothing must not be answered as if the row
    could not come into being.
    """

    def __init__(self) -> None:
        # Used as an ordered set.
        self._keys: dict[str, None] = {}

    def add(self, key: str) -> None:
        """
        Record that a request may have stored a row.
        """
        self._keys[key] = None
        if len(self._keys) > _MAX_COUNT:
            self._keys.pop(next(iter(self._keys)))

    def discard(self, key: str) -> None:
        """
        Record that a row is stored.
        """
        self._keys.pop(key, None)

    def check(self, key: str) -> None:
        """
        Check that no earlier request may have stored a row.

        Raises:
            OutcomeUnknownError: One may have.
        """
        if key in self._keys:
            raise OutcomeUnknownError(
                'an earlier request with this id may have been stored'
            )
