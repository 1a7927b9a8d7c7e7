"""Overload detection: the event loop's lag limits how many connections may carry requests."""

from __future__ import annotations

_MAX_LAG_S = 0.04  # a larger lag shows that the CPU cannot keep up
_MIN_ACTIVE_CONNECTIONS = 32  # the limit never falls below this, whatever the lag
_LIMIT_DECREASE = 0.8  # factor on the limit after a late callback
_LIMIT_INCREASE = 1.1  # factor on the limit after a callback on time


class OverloadDetector:
    """Limits active connections: multiplicative decrease while the event loop lags, else increase.

    Attributes:
        active_limit: Number of active connections from which on new connections are shed.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self.active_limit = float(capacity)

    def record_lag(self, lag_s: float) -> None:
        """Adjust the limit to the lag, in seconds, of a callback that the event loop has just run."""
        self.active_limit *= _LIMIT_DECREASE if lag_s > _MAX_LAG_S else _LIMIT_INCREASE
        self.active_limit = max(_MIN_ACTIVE_CONNECTIONS, min(self.active_limit, self._capacity))

    def is_limiting(self) -> bool:
        """Return whether recent lag keeps the limit below the capacity."""
        return self.active_limit < self._capacity

    def is_overloaded(self, active: int) -> bool:
        """Return whether this number of active connections reaches the limit."""
        return active >= self.active_limit
