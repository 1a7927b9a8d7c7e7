"""Creation of request records: class, cost, deadline and limits, by the settings in force on arrival."""

import math
from dataclasses import dataclass

from sidecar.balancer.events import RequestArrived
from sidecar.balancer.policy import retries
from sidecar.balancer.policy.latency import LatencyTracker
from sidecar.balancer.policy.zone_preference import ZonePreference
from sidecar.balancer.state import Context, Request, TrafficKey

RESPONSE_MARGIN_TICKS = 2  # final responses are sent this many clock ticks before the client gives up
MIN_COST_CLASS = -3  # the class of all costs below an eighth of the mean
MAX_COST_CLASS = 4  # the class of all costs of at least eight times the mean


def cost_class(relative_cost: float) -> int:
    """The class of a cost relative to the mean: its binary exponent, within bounds."""
    _, exponent = math.frexp(relative_cost)
    return max(MIN_COST_CLASS, min(exponent, MAX_COST_CLASS))


@dataclass(slots=True, eq=False)
class RequestFactory:
    """Creates requests according to the settings in force when they arrive.

    Attributes:
        context: The shared state.
        latency: Provides the cost of a request relative to the mean of its class.
        zone_preference: Decides whether at first only servers of the local zone are candidates.
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
