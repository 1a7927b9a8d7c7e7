"""Lookups of the service classes and tenants that the settings name."""

from sidecar.balancer.state.records import TrafficKey
from sidecar.settings import ServiceClass, Settings


class ServiceCatalog:
    """The service classes and tenants of the settings in force.

    Attributes:
        longest_target_us: The longest latency target of any class, in microseconds.
        shortest_target_us: The shortest latency target of any class, in microseconds.
        tenant_shares: Each tenant's share of the fleet, by the tenant's name.
        total_share: The sum of all shares; 1.0 where there are none.
    """

    def __init__(self, settings: Settings) -> None:
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Hold the classes and tenants of other settings from now on."""
        targets_us = [each.latency_target_us for each in settings.classes]
        self.longest_target_us = max(targets_us)
        self.shortest_target_us = min(targets_us)
        self.tenant_shares = {each.name: each.share for each in settings.tenants}
        self.total_share = sum(self.tenant_shares.values()) or 1.0
        self._classes = {each.name: each for each in settings.classes}
        self._has_ordered_class = any(each.ordered_by_key for each in settings.classes)

    def class_named(self, name: str, remaining_us: int) -> ServiceClass:
        """The service class of a request.

        Args:
            name: The name of the class.  Of a class that the settings don't name the least is assumed.
            remaining_us: How long the client waits for the response, in microseconds.
        """
        known = self._classes.get(name)
        if known is not None:
            return known
        allowed_us = max(remaining_us, 1)
        return ServiceClass(name, allowed_us, allowed_us, ordered_by_key=self._has_ordered_class)

    def has_class(self, name: str) -> bool:
        """Whether the settings name this class."""
        return name in self._classes

    def has_traffic_key(self, traffic_key: TrafficKey) -> bool:
        """Whether the settings name both the class and the tenant of a traffic key."""
        has_tenant = traffic_key.tenant is None or traffic_key.tenant in self.tenant_shares
        return self.has_class(traffic_key.service_class) and has_tenant
