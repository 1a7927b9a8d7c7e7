"""The settings of a balancer, and the parser that reads them from plain mappings."""

from sidecar.settings.errors import ConfigurationError, DuplicateNameError, InvalidSettingError
from sidecar.settings.model import (
    DedupScope,
    Discovery,
    Idempotency,
    Limits,
    Prices,
    ReportSource,
    Rules,
    ServiceClass,
    Settings,
    Tenant,
    WeightBasis,
    Weights,
)

__all__ = [
    "ConfigurationError",
    "DedupScope",
    "Discovery",
    "DuplicateNameError",
    "Idempotency",
    "InvalidSettingError",
    "Limits",
    "Prices",
    "ReportSource",
    "Rules",
    "ServiceClass",
    "Settings",
    "Tenant",
    "WeightBasis",
    "Weights",
]
