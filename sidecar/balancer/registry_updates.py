"""Registry updates: handles servers that are added, restarted or removed."""

from dataclasses import dataclass

from sidecar.balancer.events import RegistryUpdated, RegistryUpdateKind, ServerState
from sidecar.balancer.policy.latency import LatencyTracker
from sidecar.balancer.policy.outliers import OutlierDetector
from sidecar.balancer.policy.registry_polling import RegistryPoller
from sidecar.balancer.policy.slow_start import SlowStart
from sidecar.balancer.policy.start_times import StartTimes
from sidecar.balancer.state import Context, Server


@dataclass(slots=True, eq=False)
class RegistryUpdater:
    """Applies updates to this balancer's copy of the registry and to the policies that depend on it.

    Attributes:
        context: The shared state.
        poller: Polls the registry.
        start_times: Converts start times to this balancer's clock.
        slow_start: Starts the slow start of new processes.
        outliers: Readmits restarted servers, and ends the ejection of removed ones.
        latency: Initializes the relative latencies of servers without observations.
    """

    context: Context
    poller: RegistryPoller
    start_times: StartTimes
    slow_start: SlowStart
    outliers: OutlierDetector
    latency: LatencyTracker

    def update(self, update: RegistryUpdated) -> None:
        """Handle an update, or the failure to get one."""
        if update.kind is RegistryUpdateKind.FAILED:
            self.poller.poll_failed()
            return
        if update.kind is not RegistryUpdateKind.CACHED:
            self.poller.poll_succeeded()
        # Most polls return no changes, and applying an update takes time proportional to the server count.
        if not update.is_empty():
            self._apply(self.start_times.to_local_clock(update))
        self.start_times.registry_responded(update)

    def _apply(self, update: RegistryUpdated) -> None:
        # Updates the capacity estimate first, as the update may remove all warm servers.
        self.slow_start.capacity_estimate.of_warm_server()
        for server in self.context.registry.apply(update):
            self._on_restarted(server)
        for server in self.context.registry.removed():
            self._on_removed(server)
        self.latency.initialize_relative_latencies(self.context.registry.ready)

    def _on_restarted(self, server: Server) -> None:
        self.slow_start.start(server, server.started_at or 0)
        if server.ejected_until is not None and server.state is ServerState.READY:
            self.outliers.readmit(server)  # the failures were those of its previous process

    def _on_removed(self, server: Server) -> None:
        self.outliers.end_ejection(server)
        if not self.context.load.attempts_at(server) and server.health_check_sent_at is None:
            self.context.registry.forget(server)
