"""
Simulates the platform's store and host list in memory.
"""

from hawthornpier_standin.platform._faults import StoreFaults
from hawthornpier_standin.platform._hosts import HostListHistory
from hawthornpier_standin.platform._store import MemoryStore

__all__ = ['HostListHistory', 'MemoryStore', 'StoreFaults']
