"""The context that all policies share: settings, state and the actions of the event being handled."""

import random
from collections.abc import Callable

from sidecar.balancer.actions import Action
from sidecar.balancer.events import Event, TimerFired
from sidecar.balancer.state.clock import Clock
from sidecar.balancer.state.load import ActiveLoad
from sidecar.balancer.state.registry import ServerRegistry
from sidecar.balancer.state.service_catalog import ServiceCatalog
from sidecar.balancer.state.settings_bound import SettingsBoundState, evict
from sidecar.balancer.state.stall_detector import StallDetector
from sidecar.balancer.state.timers import StallCheck, Timer, TimerQueue
from sidecar.settings import Settings


class Context:
    """The shared state of a balancer; each event is handled between `begin_event` and `end_event`.

    Attributes:
        settings: The settings in force.
        catalog: The service classes and tenants of the settings.
        rng: The random number generator for all random decisions.
        clock: The time of the event being handled.
        stalls: Detects stalls of this process.
        settings_bound: The tables and rates that depend on the settings.
        registry: The known servers.
        load: The load of this balancer's own attempts.
        timers: The timers of all policies.
        actions: The actions for the event so far, in the order in which to carry them out.
    """

    def __init__(self, settings: Settings, rng: random.Random, stall_check_interval_targets: float) -> None:
        """Create the state of a new balancer.

        Args:
            settings: The initial settings.
            rng: The random number generator for all random decisions.
            stall_check_interval_targets: The interval of stall checks, in shortest latency targets.
        """
        self.settings = settings
        self.catalog = ServiceCatalog(settings)
        self.rng = rng
        self.clock = Clock()
        self._stall_check_interval_targets = stall_check_interval_targets
        self.stalls = StallDetector(self.clock, self._stall_check_interval_us())
        self.registry = ServerRegistry(rng)
        self.registry.set_local_zone(settings.zone)
        self.load = ActiveLoad(self.clock)
        self.timers = TimerQueue()
        self.actions: list[Action] = []
        self.settings_bound = SettingsBoundState()

    def _stall_check_interval_us(self) -> int:
        interval_us = int(self._stall_check_interval_targets * self.catalog.shortest_target_us)
        return max(interval_us, self.settings.tick_us)

    def apply_settings(self, settings: Settings) -> None:
        """Replace the settings, and adapt all state that depends on them."""
        self.settings = settings
        self.catalog.apply_settings(settings)
        self.stalls.set_check_interval(self._stall_check_interval_us())
        self.registry.set_local_zone(settings.zone)
        for server in self.registry.servers.values():
            evict(server.rejection_backoffs, self.catalog.has_traffic_key)
        self.settings_bound.settings_changed()

    @property
    def now(self) -> int:
        """The time of the event being handled, in microseconds on the host's clock."""
        return self.clock.now

    @property
    def longest_target_us(self) -> int:
        """The longest latency target of any class, in microseconds."""
        return self.catalog.longest_target_us

    def begin_event(self, now: int, event: Event) -> None:
        """Start handling an event.

        Args:
            now: The host's clock, in microseconds.
            event: The event.
        """
        self.clock.now = now
        self.actions = []
        self.stalls.observe(is_timer=isinstance(event, TimerFired))

    def end_event(self, current_due_time: Callable[[int, Timer], int | None]) -> list[Action]:
        """Finish handling the event: set the next stall check and the host's timer where needed.

        Args:
            current_due_time: Returns the time at which a timer is now due, given the time for which it was
                added, or None if it is no longer needed.

        Returns:
            The actions for the event, in the order in which to carry them out.
        """
        if self.load.attempts:
            check_due = self.stalls.schedule_check()
            if check_due is not None:
                self.timers.add(check_due, StallCheck())
        host_timer = self.timers.arm(self.now, current_due_time)
        if host_timer is not None:
            self.actions.append(host_timer)
        return self.actions
