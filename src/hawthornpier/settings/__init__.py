"""
The settings of one process, read from an INI file.
"""

from hawthornpier.settings._errors import (
    SettingsError,
    SettingsErrorGroup,
)
from hawthornpier.settings._load import load_settings, parse_settings
from hawthornpier.settings._model import (
    BootstrapOperator,
    ClusterSettings,
    FailureDomain,
    LinkSettings,
    ObservabilitySettings,
    PeerKey,
    PlatformSettings,
    ProcessSettings,
    SecuritySettings,
    Settings,
    TimingSettings,
)

__all__ = [
    'BootstrapOperator',
    'ClusterSettings',
    'FailureDomain',
    'LinkSettings',
    'ObservabilitySettings',
    'PeerKey',
    'PlatformSettings',
    'ProcessSettings',
    'SecuritySettings',
    'Settings',
    'SettingsError',
    'SettingsErrorGroup',
    'TimingSettings',
    'load_settings',
    'parse_settings',
]
