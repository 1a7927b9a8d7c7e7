"""Detection of stalls: periods in which this process did not run."""

from sidecar.balancer.state.clock import Clock


class StallDetector:
    """Detects a stall by a check that is due at a known time and handled late.

    Events that are handled after a stall happened at unknown times, so the balancer must learn nothing from
    them.  Otherwise it would mistake its own delay for slow servers, eject them and reject requests that
    they could serve.  Catching up takes about as long as the stall.  A process with too little CPU does not
    catch up: its checks stay late, and each late check is another stall.

    Attributes:
        stalled_us: The total duration of all stalls so far, in microseconds.
        caught_up_at: When the events that arrived during the last stall should all have been handled, in
            microseconds on the host's clock; -1 before the first stall.
        check_due: When the next check is due, in microseconds on the host's clock; None while none is set.
    """

    def __init__(self, clock: Clock, check_interval_us: int) -> None:
        self.stalled_us = 0
        self.caught_up_at = -1
        self.check_due: int | None = None
        self._clock = clock
        self._check_interval_us = check_interval_us
        self._resumed_at = -1

    def set_check_interval(self, check_interval_us: int) -> None:
        """Change the interval, in microseconds, from the next check on."""
        self._check_interval_us = check_interval_us

    def schedule_check(self) -> int | None:
        """Set the next check, unless one is set already.

        Returns:
            The time at which the new check is due, in microseconds; None if one was set already.
        """
        if self.check_due is not None:
            return None
        self.check_due = self._clock.now + self._check_interval_us
        return self.check_due

    def observe(self, is_timer: bool) -> None:
        """Compare the time of an event with the due time of the pending check.

        Args:
            is_timer: Whether the event is a timer.  Any event can show that a check is late, but only a timer
                completes a check in time: timers may still be waiting behind many other events.
        """
        if self.check_due is None:
            return
        late_us = self._clock.now - self.check_due
        if late_us > self._check_interval_us:
            self._record_stall(late_us)
        elif late_us >= 0 and is_timer:
            self.check_due = None

    def _record_stall(self, duration_us: int) -> None:
        self.stalled_us += duration_us
        self.caught_up_at = self._clock.now + duration_us + self._check_interval_us
        self.check_due = None
        self._resumed_at = self._clock.now

    def is_catching_up(self) -> bool:
        """Whether the event may have waited while this process stalled."""
        return self._clock.now <= self.caught_up_at

    def has_just_resumed(self) -> bool:
        """Whether the event is the first one after a stall, or happened at the same time."""
        return self._clock.now == self._resumed_at
