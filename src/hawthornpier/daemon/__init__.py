"""
The daemon that every entry host runs.
"""

from hawthornpier.daemon._node import Node
from hawthornpier.daemon._peer_service import PeerService
from hawthornpier.daemon._ports import Connections
from hawthornpier.daemon._process import EntryProcess
from hawthornpier.daemon._run import run

__all__ = ['Connections', 'EntryProcess', 'Node', 'PeerService', 'run']
