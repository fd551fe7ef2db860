"""
An open-loop load generator that simulates the callers of services.
"""

from hawthornpier_standin.callers._commands import add_commands
from hawthornpier_standin.callers._entry import (
    CallResult,
    EntryCall,
    EntryPort,
    EntryReply,
    HttpEntry,
)
from hawthornpier_standin.callers._generator import LoadGenerator
from hawthornpier_standin.callers._plan import (
    Arrival,
    ServiceLoad,
    Surge,
    arrivals,
)
from hawthornpier_standin.callers._summary import (
    Latencies,
    Summary,
    percentile,
)

__all__ = [
    'Arrival',
    'CallResult',
    'EntryCall',
    'EntryPort',
    'EntryReply',
    'HttpEntry',
    'Latencies',
    'LoadGenerator',
    'ServiceLoad',
    'Summary',
    'Surge',
    'add_commands',
    'arrivals',
    'percentile',
]
