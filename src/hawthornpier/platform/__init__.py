"""
Adapter to the platform on which the fleet scheduler runs.

The platform provides the store, the workers, the settings file and the
connections of callers.  Its field names, paths and formats occur only in this
package, which makes no scheduling decisions.
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
