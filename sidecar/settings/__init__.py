"""The settings of a service, and how they are read."""

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
    "DedupScope",
    "Discovery",
    "Idempotency",
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
