"""Priority of requests, by the weight of their class and the share of the service that their tenant has."""

from sidecar.balancer.state import Context, DecayingRate, Request, Traffic, TrafficKey

RATE_SPAN_TARGETS = 4.0  # span over which rates are averaged, in longest latency targets
MEDIAN_PRIORITY = 0.5  # used while no traffic is known


def traffic_rate_span_us(context: Context) -> float:
    """The time over which rates of requests are averaged, in microseconds."""
    return RATE_SPAN_TARGETS * context.longest_target_us


class TrafficPriorities:
    """Ranks the traffic of each class and tenant within all traffic of this balancer."""

    def __init__(self, context: Context) -> None:
        """Create a ranking without traffic.

        Args:
            context: The shared state of the balancer.
        """
        self._context = context
        self._traffic: dict[TrafficKey, Traffic] = context.settings_bound.new_table(
            context.catalog.has_traffic_key
        )

    def count_arrival(self, request: Request) -> Traffic:
        """Count a request that arrived.

        Args:
            request: The request.

        Returns:
            The traffic that it belongs to.
        """
        traffic = self._traffic.get(request.traffic_key)
        if traffic is None:
            rate = DecayingRate(traffic_rate_span_us(self._context))
            traffic = Traffic(request.service_class, request.traffic_key.tenant, rate)
            self._traffic[request.traffic_key] = traffic
        traffic.service_class = request.service_class  # the settings may have changed
        traffic.rate.add(self._context.now)
        return traffic

    def priority(self, traffic: Traffic) -> float:
        """The share of all traffic that has a lower weight, plus half of the share with the same weight.

        Each balancer sees only a part of the traffic, so a tenant's share is compared with its part of that.

        Args:
            traffic: The traffic of one class and tenant.

        Returns:
            The priority, from 0 (shed first) to 1 (shed last).
        """
        all_traffic = list(self._traffic.values())
        rates = [each.rate.per_us(self._context.now) for each in all_traffic]
        total_rate = sum(rates)
        if total_rate <= 0.0:
            return MEDIAN_PRIORITY
        weights = self._weights(all_traffic, rates, total_rate)
        own_weight = weights[all_traffic.index(traffic)]
        rate_below = sum(rate for rate, weight in zip(rates, weights, strict=True) if weight < own_weight)
        rate_equal = sum(rate for rate, weight in zip(rates, weights, strict=True) if weight == own_weight)
        return (rate_below + 0.5 * rate_equal) / total_rate

    def _weights(self, all_traffic: list[Traffic], rates: list[float], total_rate: float) -> list[float]:
        """The priority weight of the traffic of each class and tenant."""
        tenant_rates: dict[str | None, float] = {}
        for traffic, rate in zip(all_traffic, rates, strict=True):
            tenant_rates[traffic.tenant] = tenant_rates.get(traffic.tenant, 0.0) + rate
        return [self._weight(traffic, tenant_rates[traffic.tenant], total_rate) for traffic in all_traffic]

    def _weight(self, traffic: Traffic, tenant_rate: float, total_rate: float) -> float:
        """The weight of the class, reduced for the fraction of the tenant's traffic beyond its share."""
        class_weight = traffic.service_class.priority_weight
        tenant_share = self._context.catalog.tenant_shares.get(traffic.tenant or "")
        if tenant_share is None or tenant_rate <= 0.0:
            return class_weight
        fraction_within_share = min(
            1.0, total_rate * tenant_share / self._context.catalog.total_share / tenant_rate
        )
        over_share_weight = self._context.settings.over_share_weight
        return class_weight * (fraction_within_share + (1.0 - fraction_within_share) * over_share_weight)
