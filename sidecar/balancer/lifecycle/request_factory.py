"""Creation of the record of a new request."""

import math
from dataclasses import dataclass

from sidecar.balancer.events import RequestArrived
from sidecar.balancer.policy import retries
from sidecar.balancer.policy.latency import LatencyTracker
from sidecar.balancer.policy.zone_preference import ZonePreference
from sidecar.balancer.state import Context, Request, TrafficKey

RESPONSE_MARGIN_TICKS = 2  # a final response leaves this many ticks before the client's time is up
MIN_COST_CLASS = -3  # costs below an eighth of the mean are one class
MAX_COST_CLASS = 4  # and so are those of eight times the mean or more


def cost_class(relative_cost: float) -> int:
    """The class of a cost relative to the mean: its power of two, within bounds."""
    _, exponent = math.frexp(relative_cost)
    return max(MIN_COST_CLASS, min(exponent, MAX_COST_CLASS))


@dataclass(slots=True, eq=False)
class RequestFactory:
    """Creates requests by the settings in force when they arrive.

    Attributes:
        context: The shared state.
        latency: Knows the mean cost of each class.
        zone_preference: Knows whether only servers of the local zone are candidates at first.
    """

    context: Context
    latency: LatencyTracker
    zone_preference: ZonePreference

    def create(self, event: RequestArrived) -> Request:
        """Create the record of a request that has just arrived."""
        settings = self.context.settings
        service_class = self.context.catalog.class_named(event.service_class, event.remaining_us)
        relative_cost = self.latency.relative_cost(service_class, event.cost_us)
        margin_us = RESPONSE_MARGIN_TICKS * settings.tick_us
        return Request(
            id=event.request,
            service_class=service_class,
            deadline=self.context.now + event.remaining_us - margin_us,
            relative_cost=relative_cost,
            traffic_key=TrafficKey(service_class.name, event.tenant),
            may_cross_zones=not self.zone_preference.is_local_first,
            cost_class=cost_class(relative_cost),
            limits=settings.limits,
            non_execution_outcomes=retries.non_execution_outcomes(settings),
        )
