"""Lookup of the service classes and tenants of the settings."""

from sidecar.balancer.state.records import TrafficKey
from sidecar.settings import ServiceClass, Settings


class ServiceCatalog:
    """The service classes and tenants of the settings in force.

    Attributes:
        longest_target_us: The longest latency target of any class, in microseconds.
        shortest_target_us: The shortest latency target of any class, in microseconds.
        tenant_shares: The share of the fleet of each tenant, by the tenant's name.
        total_share: The sum of the tenants' shares; 1.0 if there are none.
    """

    def __init__(self, settings: Settings) -> None:
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Replace the classes and tenants by those of other settings."""
        targets_us = [service_class.latency_target_us for service_class in settings.classes]
        self.longest_target_us = max(targets_us)
        self.shortest_target_us = min(targets_us)
        self.tenant_shares = {tenant.name: tenant.share for tenant in settings.tenants}
        self.total_share = sum(self.tenant_shares.values()) or 1.0
        self._classes = {service_class.name: service_class for service_class in settings.classes}
        self._has_ordered_class = any(service_class.ordered_by_key for service_class in settings.classes)

    def class_named(self, name: str, remaining_us: int) -> ServiceClass:
        """The service class of a request.

        Args:
            name: The name of the class.  A class that is not in the settings is assumed not to be idempotent,
                and to be ordered by key if any class is.
            remaining_us: How long the client waits for the response, in microseconds.  It serves as deadline
                and latency target of a class that is not in the settings.
        """
        known = self._classes.get(name)
        if known is not None:
            return known
        allowed_us = max(remaining_us, 1)
        return ServiceClass(name, allowed_us, allowed_us, ordered_by_key=self._has_ordered_class)

    def has_class(self, name: str) -> bool:
        """Whether this class is in the settings."""
        return name in self._classes

    def has_traffic_key(self, traffic_key: TrafficKey) -> bool:
        """Whether the class of a traffic key and its tenant, if any, are in the settings."""
        has_tenant = traffic_key.tenant is None or traffic_key.tenant in self.tenant_shares
        return self.has_class(traffic_key.service_class) and has_tenant
