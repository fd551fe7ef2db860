"""
Encodes entries of workers in the way that the platform's workers do.
"""

import msgspec


def encode_entry(entry):
    row = {
        'service': entry.service,
        'address': entry.address,
        'state': 'draining' if entry.is_draining else 'ready',
        'zone': entry.failure_domain,
        'labels': entry.labels,
        'capacity': {
            'cpu': entry.processor_millis,
            'ram_mb': entry.memory_mb,
            'gpu': entry.accelerator_count,
        },
        'born': entry.incarnation_ms,
        'remaining_ms': entry.remaining_ms,
        'sequence': 1,
    }
    return msgspec.json.encode(row)
