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
    HeadroomChoice,
    HealthChoice,
    InterferenceChoice,
    LinkSettings,
    MitigationChoice,
    ObservabilitySettings,
    PeerKey,
    PlacementChoice,
    PlatformSettings,
    PolicySettings,
    ProcessSettings,
    QueueChoice,
    SecuritySettings,
    Settings,
    SheddingChoice,
    SizesChoice,
    TimingSettings,
)

__all__ = [
    'BootstrapOperator',
    'ClusterSettings',
    'FailureDomain',
    'HeadroomChoice',
    'HealthChoice',
    'InterferenceChoice',
    'LinkSettings',
    'MitigationChoice',
    'ObservabilitySettings',
    'PeerKey',
    'PlacementChoice',
    'PlatformSettings',
    'PolicySettings',
    'ProcessSettings',
    'QueueChoice',
    'SecuritySettings',
    'Settings',
    'SettingsError',
    'SettingsErrorGroup',
    'SheddingChoice',
    'SizesChoice',
    'TimingSettings',
    'load_settings',
    'parse_settings',
]
