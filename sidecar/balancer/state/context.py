"""The event being handled: its time, the actions that it leads to, and stalls of this process before it."""

import random
from collections.abc import Callable
from typing import Any, TypeVar

from sidecar.balancer.actions import Action
from sidecar.balancer.events import Event, Outcome, TimerFired
from sidecar.balancer.state.load import ActiveLoad
from sidecar.balancer.state.records import TrafficKey
from sidecar.balancer.state.registry import ServerRegistry
from sidecar.balancer.state.statistics import DecayingRate
from sidecar.balancer.state.timers import StallCheck, Timer, TimerQueue
from sidecar.settings import ServiceClass, Settings

NEVER_RAN = frozenset((Outcome.CONNECT_FAILED, Outcome.NOT_SENT))  # prove that an attempt did not run

Key = TypeVar("Key")
Value = TypeVar("Value")


class Context:
    """What all parts of the policy share; times are in microseconds."""

    def __init__(self, settings: Settings, rng: random.Random, stall_check_targets: float) -> None:
        self.rng = rng
        self.registry = ServerRegistry(rng)
        self.load = ActiveLoad(self)
        self.timers = TimerQueue()
        self.actions: list[Action] = []  # to carry out for this event
        self.now = 0
        self.stalled_us = 0  # in all stalls together
        self.caught_up_at = -1  # by when what came during the last stall has been handled
        self.stall_check_due = 0  # 0: no check is set
        self._stall_check_targets = stall_check_targets
        self._resumed_at = -1
        self._tables: list[tuple[dict[Any, Any], Callable[[Any], bool]]] = []
        self._rates: list[tuple[DecayingRate, Callable[[], float]]] = []
        self.adopt(settings)

    def adopt(self, settings: Settings) -> None:
        """Go by these settings from now on, with what follows from them alone.

        What is kept of classes and tenants that are gone is forgotten; rates go on over new spans.
        """
        self.settings = settings
        self.classes = {each.name: each for each in settings.classes}
        self._has_ordered_class = any(each.ordered_by_key for each in settings.classes)
        self.tenant_shares = {each.name: each.share for each in settings.tenants}
        self.all_shares = sum(self.tenant_shares.values()) or 1.0
        self.never_ran = NEVER_RAN if settings.rules.late_shedding else NEVER_RAN | {Outcome.REJECTED}
        targets_us = [each.latency_target_us for each in settings.classes]
        self.longest_target_us = max(targets_us)
        self._stall_check_us = max(int(self._stall_check_targets * min(targets_us)), settings.tick_us)
        self.registry.set_local_zone(settings.zone)
        servers = self.registry.servers.values()
        backoffs = [(each.rejection_backoffs, self.names_flow) for each in servers if each.rejection_backoffs]
        for table, is_kept in (*self._tables, *backoffs):
            for key in [each for each in table if not is_kept(each)]:
                del table[key]
        for rate, span_us in self._rates:
            rate.set_span(span_us())

    def class_named(self, name: str, remaining_us: int) -> ServiceClass:
        """The class of this name; of one that the settings do not name the least is assumed."""
        known = self.classes.get(name)
        allowed_us = max(remaining_us, 1)
        return known or ServiceClass(name, allowed_us, allowed_us, ordered_by_key=self._has_ordered_class)

    def names_class(self, name: str) -> bool:
        """Whether the settings name this class."""
        return name in self.classes

    def names_sized_class(self, kind: tuple[str, int]) -> bool:
        """Whether the settings name the class of this class and size."""
        return kind[0] in self.classes

    def names_flow(self, flow: TrafficKey) -> bool:
        """Whether the settings name this class and tenant."""
        return flow[0] in self.classes and (flow[1] is None or flow[1] in self.tenant_shares)

    def new_table(self, is_kept: Callable[[Key], bool]) -> dict[Key, Value]:
        """A table by class or tenant; entries that are not to be kept go as the settings change."""
        table: dict[Key, Value] = {}
        self._tables.append((table, is_kept))
        return table

    def new_rate(self, span_us: Callable[[], float]) -> DecayingRate:
        """A rate whose span follows from the settings."""
        rate = DecayingRate(span_us())
        self._rates.append((rate, span_us))
        return rate

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
