"""
The entry: from a caller's request to one of the three outcomes.
"""

from hawthornpier.entry._errors import (
    EntryError,
    JobNotAcceptedError,
    JobOutcomeUnknownError,
    KeyRequiredError,
    UnknownServiceError,
)
from hawthornpier.entry._interfaces import ShardChooser, ShardClient
from hawthornpier.entry._jobs import JobRouter, shard_of_job
from hawthornpier.entry._router import CallerRequest, EntryRouter, EntryTiming

__all__ = [
    'CallerRequest',
    'EntryError',
    'EntryRouter',
    'EntryTiming',
    'JobNotAcceptedError',
    'JobRouter',
    'JobOutcomeUnknownError',
    'KeyRequiredError',
    'ShardChooser',
    'ShardClient',
    'UnknownServiceError',
    'shard_of_job',
]
