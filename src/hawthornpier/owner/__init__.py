"""
The owner of a shard: admission, requests, batch jobs and recovery.
"""

from hawthornpier.owner._background_tasks import (
    Part,
    run_again_after_errors,
)
from hawthornpier.owner._errors import (
    CommitNotAppliedError,
    CommitUnknownError,
    OwnerError,
    ShardClosedError,
)
from hawthornpier.owner._interfaces import (
    AdmissionGate,
    Committer,
    ServiceCatalog,
)
from hawthornpier.owner._records import newest_job_ids
from hawthornpier.owner._shard_owner import ShardOwner
from hawthornpier.owner._timing import OwnerTiming

__all__ = [
    'AdmissionGate',
    'CommitNotAppliedError',
    'CommitUnknownError',
    'Committer',
    'OwnerError',
    'OwnerTiming',
    'Part',
    'ServiceCatalog',
    'ShardClosedError',
    'ShardOwner',
    'newest_job_ids',
    'run_again_after_errors',
]
