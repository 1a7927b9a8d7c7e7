"""Load shedding: refuse new requests early under overload, those of the lowest priority first."""

import math

from sidecar.balancer.policy.concurrency_limit import (
    ALLOWED_LATENCY_RATIO,
    UNRESTRICTED_UTILIZATION,
    ConcurrencyLimit,
)
from sidecar.balancer.policy.low_traffic import CONFIDENT_LOAD
from sidecar.balancer.state import Context, DecayingRate, Request, Traffic, TrafficKey
from sidecar.settings import ServiceClass

TRAFFIC_TARGETS = 4.0  # traffic is averaged over this many of the longest latency target
STEEPNESS = 4.0  # pressure at a full limit: of the typical requests one in fifty is admitted
PRIORITY_WEIGHT = 2.0  # the lowest priority feels this many times the pressure, the highest almost none
SPARSE_ROOM = 1.2  # where few requests come this many times what was answered in time is admitted
SPARSE_PRIOR = 2.0  # requests taken as answered in time beforehand: fewer are chance
IDLE_CPU_UTILIZATION = 0.6  # cores this idle tell that late answers come from a few slow servers


class AdmissionControl:
    """Decides of each new request whether to refuse it, before anything is sent.

    Guards against collapse: a fleet that answers all too late serves nobody, and clients repeat what fails.
    As the limit fills, the part admitted falls by powers, sooner for lower priority.
    """

    def __init__(self, context: Context, limit: ConcurrencyLimit, arrivals: DecayingRate) -> None:
        self.checks_load_before_sending = False  # whether probes tell of overload
        self._limit = limit
        self._arrivals = arrivals
        self._context = context
        self._traffic: dict[TrafficKey, Traffic] = context.new_table(context.names_traffic_key)
        self._in_time, self._late, self._shed = (context.new_rate(self._span_us) for _ in range(3))
        self._sample_due = 0  # when a request is admitted for its latency alone, however full the limit is
        self._found_room = False  # whether an answer was quick and nothing was sent since
        self._longest_remaining_us: dict[str, int] = context.new_table(lambda _: False)  # deadlines change

    def _span_us(self) -> float:
        return TRAFFIC_TARGETS * self._context.longest_target_us

    def observe_latency(self, latency_ratio: float) -> None:
        """Take in one answer, or an attempt that is late without one."""
        self._found_room = self._found_room or latency_ratio <= ALLOWED_LATENCY_RATIO
        (self._in_time if latency_ratio <= 1.0 else self._late).add(self._context.now)
        self._limit.observe(latency_ratio)

    def attempt_sent(self, latency_target_us: int) -> None:
        """Take in that an attempt was sent: it is the latest sample until it is answered or late."""
        self._sample_due = self._context.now + latency_target_us
        self._found_room = False

    def count_late_attempt(self) -> None:
        """Count an attempt that ended late without an answer."""
        self._late.add(self._context.now)

    def should_reject(self, request: Request, remaining_us: int) -> bool:
        """Whether to refuse a new request."""
        return self._sheds(request) or self._is_stale(request.service_class, remaining_us)

    def _sheds(self, request: Request) -> bool:
        traffic = self._traffic.get(request.traffic_key)
        if traffic is None:
            traffic = Traffic(request.service_class, request.traffic_key[1], DecayingRate(self._span_us()))
            self._traffic[request.traffic_key] = traffic
        traffic.service_class = request.service_class  # settings may have changed
        traffic.rate.add(self._context.now)
        if self.checks_load_before_sending:
            request.priority = self._priority(traffic)
            return False  # probes will tell
        if self._found_room and not self._context.load.total():
            return False
        rate = self._arrivals.per_us(self._context.now)
        if max(rate * self._context.longest_target_us, self._context.load.total()) < CONFIDENT_LOAD / 2:
            return self._sheds_by_count(traffic)
        fill = self._limit.utilization()
        if fill <= UNRESTRICTED_UTILIZATION or self._context.now >= self._sample_due:
            return False
        pressure = STEEPNESS * (fill - UNRESTRICTED_UTILIZATION) / (1.0 - UNRESTRICTED_UTILIZATION)
        admitted = math.exp(-PRIORITY_WEIGHT * pressure * (1.0 - self._priority(traffic)))
        if fill < 1.0 and self._context.rng.random() < admitted:
            return False
        self._limit.has_rejected = True
        return True

    def _sheds_by_count(self, traffic: Traffic) -> bool:
        """Whether to refuse where few requests come: by counts over a fixed time, so that relief is seen."""
        now = self._context.now
        if self._limit.cpu_utilization is not None and self._limit.cpu_utilization < IDLE_CPU_UTILIZATION:
            return False  # late answers from servers with idle cores tell of a few slow ones
        in_time = self._in_time.per_us(now) * self._span_us() + SPARSE_PRIOR
        missed = (self._late.per_us(now) + self._shed.per_us(now)) * self._span_us()
        # What is active tells of a surge before any of it is late; by itself it may be a burst and no more.
        admitted = SPARSE_ROOM * in_time / (in_time + missed + min(missed, 1.0) * self._context.load.total())
        excess = 1.0 - admitted
        if excess > 0.0 and self._context.rng.random() < 2.0 * excess * (1.0 - self._priority(traffic)):
            self._shed.add(now)
            return True
        return False

    def _is_stale(self, service_class: ServiceClass, remaining_us: int) -> bool:
        """Whether a request waited out its target in a stall, and a late answer is worth nothing."""
        # Requests of a class start with about the same time left: what is missing of it was waited.
        longest_us = max(self._longest_remaining_us.get(service_class.name, 0), remaining_us)
        self._longest_remaining_us[service_class.name] = longest_us
        waited_out = longest_us - remaining_us >= service_class.latency_target_us
        return self._context.has_just_resumed() and service_class.late_weight <= 0.0 and waited_out

    def _priority(self, own: Traffic) -> float:
        """The part of the traffic that is worth less, counting half of what is worth the same.

        A request is worth what its class is, less what its tenant asks beyond its share: only proportions are
        compared, as sidecars see different parts of the traffic.
        """
        mix = list(self._traffic.values())
        rates = [each.rate.per_us(self._context.now) for each in mix]
        total = sum(rates)
        by_tenant: dict[str | None, float] = {}
        for each, rate in zip(mix, rates, strict=True):
            by_tenant[each.tenant] = by_tenant.get(each.tenant, 0.0) + rate
        worths = [self._worth(each, by_tenant[each.tenant], total) for each in mix]
        own_worth = worths[mix.index(own)]
        below = sum(rate for rate, worth in zip(rates, worths, strict=True) if worth < own_worth)
        same = sum(rate for rate, worth in zip(rates, worths, strict=True) if worth == own_worth)
        return (below + 0.5 * same) / total if total > 0.0 else 0.5

    def _worth(self, traffic: Traffic, tenant_rate: float, total: float) -> float:
        worth, share = (
            traffic.service_class.priority_weight,
            self._context.tenant_shares.get(traffic.tenant or ""),
        )
        if share is None or tenant_rate <= 0.0:
            return worth
        inside = min(1.0, total * share / self._context.all_shares / tenant_rate)
        return worth * (inside + (1.0 - inside) * self._context.settings.over_share_weight)
