"""The event being handled: its time, the actions that it leads to, and stalls of this process before it."""

import random
from collections.abc import Callable

from topazbank.interface import Action, Event, TimerFired
from topazbank.settings import Settings
from topazbank.state.load import ActiveLoad
from topazbank.state.registry import ServerRegistry
from topazbank.state.timers import StallCheck, Timer, TimerQueue


class Context:
    """What all parts of the policy share; times are in microseconds."""

    def __init__(self, settings: Settings, rng: random.Random, stall_check_targets: float) -> None:
        self.settings = settings
        self.rng = rng
        self.registry = ServerRegistry(settings.zone, rng)
        self.load = ActiveLoad(self)
        self.timers = TimerQueue()
        self.actions: list[Action] = []  # to carry out for this event
        self.now = 0
        targets_us = [each.latency_target_us for each in settings.classes]
        self.longest_target_us = max(targets_us)
        self.stalled_us = 0  # in all stalls together
        self.caught_up_at = -1  # by when what came during the last stall has been handled
        self.stall_check_due = 0  # 0: no check is set
        self._stall_check_us = max(int(stall_check_targets * min(targets_us)), settings.tick_us)
        self._resumed_at = -1

    def begin(self, now: int, event: Event) -> None:
        """Turn to the next event; a stall check that is late by more than its interval tells of a stall.

        What is found after a stall came at times unknown, so nothing is learned from it: else the balancer
        would take its own absence for slow servers, eject them and refuse what they could serve.  Catching
        up takes about as long as the stall; a process with too little CPU stays in that state.
        """
        self.now = now
        self.actions = []
        late_us = now - self.stall_check_due
        if self.stall_check_due and late_us > self._stall_check_us:
            self.stalled_us += late_us
            self._resumed_at = now
            self.caught_up_at = now + late_us + self._stall_check_us
            self.stall_check_due = 0
        elif late_us >= 0 and isinstance(event, TimerFired):
            self.stall_check_due = 0  # by no other event: where those are many, timers wait

    def is_catching_up(self) -> bool:
        """Whether events may have waited while this process stalled."""
        return self.now <= self.caught_up_at

    def has_just_resumed(self) -> bool:
        """Whether this event is the first after a stall, or came at the same time."""
        return self.now == self._resumed_at

    def end(self, wanted_at: Callable[[int, Timer], int | None]) -> list[Action]:
        """Set the next stall check and the host's timer where they are needed; give the actions, in order."""
        if self.load.attempts and not self.stall_check_due:
            self.stall_check_due = self.now + self._stall_check_us
            self.timers.add(self.stall_check_due, StallCheck())
        timer = self.timers.arm(self.now, wanted_at)
        if timer is not None:
            self.actions.append(timer)
        return self.actions
