"""
Rows of the store of a simulated installation.
"""

import msgspec

from hawthornpier import fleet
from hawthornpier.steps import QueuePolicy

QUEUE = QueuePolicy(
    name='orders',
    service='desk',
    max_attempts=3,
    slack_factor=1.5,
    objective_ms=400,
)


def decode_configuration(content):
    document = msgspec.json.decode(content)
    return fleet.Configuration(
        version=document['version'],
        unguarded_services=frozenset(document['unguarded']),
        routes=tuple(
            fleet.QueueRoute(
                host='host',
                path_prefix=f'/{name}/',
                policy=QueuePolicy(
                    name=name,
                    service='desk',
                    max_attempts=QUEUE.max_attempts,
                    slack_factor=QUEUE.slack_factor,
                    objective_ms=QUEUE.objective_ms,
                ),
            )
            for name in document['queues']
        ),
    )
