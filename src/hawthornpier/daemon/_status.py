"""
The status document of a process.
"""

from typing import Any

from hawthornpier.daemon._services import Services


def status_document(services: Services) -> dict[str, Any]:
    """
    Return the state of the cluster as this process knows it.

    *jobs* contains only waiting jobs of the shards that this process owns.
    """
    loads = services.membership.loads()
    return {
        'process_id': services.process_id,
        'is_ready': services.is_ready(),
        'table_version': services.table.version,
        'table_age_ms': services.confirmation.age_ms,
        'may_admit': services.confirmation.may_admit(),
        'peers': services.membership.peers(),
        'shards': [
            {'owner': services.owner_of(load.shard), 'load': load}
            for load in loads
        ],
        'jobs': [
            {
                'job_id': view.job_id,
                'member': view.spec.member,
                'waits_for': view.waits_for,
            }
            for owner in services.local_shards.owners().values()
            for view in owner.jobs.views()
            if view.waits_for
        ],
    }
