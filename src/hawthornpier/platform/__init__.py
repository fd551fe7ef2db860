"""
The users' platform: its names, formats and calls.

Nothing in here decides; nothing outside knows the platform's names.
"""

from hawthornpier.platform._records import PlatformDecoder
from hawthornpier.platform._run import PlatformProcess, main
from hawthornpier.platform._settings import (
    NodeSettings,
    PlatformSettingsError,
    check_file,
    parse_settings,
)

__all__ = [
    'NodeSettings',
    'PlatformDecoder',
    'PlatformProcess',
    'PlatformSettingsError',
    'check_file',
    'main',
    'parse_settings',
]
