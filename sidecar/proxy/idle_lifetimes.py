"""Estimates how long idle connections stay usable, from the requests that failed on them."""

from __future__ import annotations

import math
from dataclasses import dataclass

_MAX_EXCESS_FAILURE_RATE = 0.1  # above the failure rate of new connections
_PRIOR_REQUESTS = 20.0  # successes assumed in advance, as a few failures of a few requests may be chance
_MIN_BUCKET = -6  # idle times below 2 ** -6 s, a sixty-fourth of a second, share a bucket


@dataclass(slots=True)
class FailureCounter:
    """Counts requests on connections of similar idle time, and those whose connection broke.

    Attributes:
        requests: Count of requests, with exponential decay.
        failures: Count of the requests whose connection broke, with the same decay.
    """

    requests: float = 0.0
    failures: float = 0.0

    def failure_rate(self) -> float:
        """Return the fraction of failed requests, biased towards zero while there are few requests."""
        return self.failures / (self.requests + _PRIOR_REQUESTS)

    def decay(self, factor: float) -> None:
        """Multiply both counts by a factor from 0 to 1."""
        self.requests *= factor
        self.failures *= factor


class IdleLifetimeEstimator:
    """Decides how long a connection may have been idle and still be trusted with a request.

    Guards against servers and middleboxes that drop an idle connection long before the configured time, which
    shows only when the next request fails.  Failures that new connections suffer too are not counted against
    idle ones.  Counts decay over a few time constants, so that connections are trusted again.
    """

    def __init__(self, time_constant_s: float) -> None:
        """Create an estimator without observations, which trusts every connection.

        Args:
            time_constant_s: Seconds within which counts decay to 1/e.
        """
        self._time_constant_s = time_constant_s
        self._decayed_at = 0.0
        self._new_connections = FailureCounter()
        # Each bucket extends to twice the idle time of the one before.
        self._counters_by_bucket: dict[int, FailureCounter] = {}
        self._first_untrusted_bucket: float = math.inf

    def set_time_constant(self, time_constant_s: float) -> None:
        """Let counts decay with another time constant, in seconds, from now on."""
        self._time_constant_s = time_constant_s

    def record(self, idle_s: float | None, has_failed: bool) -> None:
        """Count a request.

        Args:
            idle_s: Seconds that its connection had been idle; None: it was new.
            has_failed: Whether the connection broke on the request.
        """
        counter = self._counter_for(idle_s)
        counter.requests += 1.0
        if has_failed:
            counter.failures += 1.0
            self._update_threshold()

    def is_trusted(self, idle_s: float, now: float) -> bool:
        """Return whether a connection is as reliable as a new one.

        If connections of some idle time are not trusted, neither are those that have been idle for longer.

        Args:
            idle_s: Seconds that the connection has been idle.
            now: Event loop time, in seconds.
        """
        if now >= self._decayed_at + self._time_constant_s:
            self._decay(now)
        return self._bucket(idle_s) < self._first_untrusted_bucket

    def _counter_for(self, idle_s: float | None) -> FailureCounter:
        if idle_s is None:
            return self._new_connections
        return self._counters_by_bucket.setdefault(self._bucket(idle_s), FailureCounter())

    def _decay(self, now: float) -> None:
        factor = math.exp((self._decayed_at - now) / self._time_constant_s)
        self._decayed_at = now
        for counter in (self._new_connections, *self._counters_by_bucket.values()):
            counter.decay(factor)
        self._update_threshold()

    def _update_threshold(self) -> None:
        max_failure_rate = self._new_connections.failure_rate() + _MAX_EXCESS_FAILURE_RATE
        untrusted = (
            bucket
            for bucket, counter in self._counters_by_bucket.items()
            if counter.failure_rate() > max_failure_rate
        )
        self._first_untrusted_bucket = min(untrusted, default=math.inf)

    @staticmethod
    def _bucket(idle_s: float) -> int:
        _, exponent = math.frexp(idle_s)
        return max(exponent, _MIN_BUCKET)
