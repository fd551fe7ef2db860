"""
The entry layer: routing of requests and batch jobs to the owners of shards.
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
    'JobOutcomeUnknownError',
    'JobRouter',
    'KeyRequiredError',
    'ShardChooser',
    'ShardClient',
    'UnknownServiceError',
    'shard_of_job',
]
