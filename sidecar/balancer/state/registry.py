"""This balancer's copy of the registry."""

import random

from sidecar.balancer.events import Endpoint, RegistryUpdated, RegistryUpdateKind, ServerState
from sidecar.balancer.state.records import Server


class ServerRegistry:
    """The servers in the registry, and removed ones that are not forgotten yet.

    Attributes:
        servers: All of these, by name.
        ready: Those that accept requests, in this balancer's own order of the servers.
        ready_local: Of the ready ones, those in the local zone.
    """

    def __init__(self, rng: random.Random) -> None:
        self.servers: dict[str, Server] = {}
        self.ready: list[Server] = []
        self.ready_local: list[Server] = []
        self._by_rank: list[Server] = []  # all servers; kept in order, as it is costly to sort all
        self._local_zone = ""
        self._rng = rng

    def set_local_zone(self, zone: str) -> None:
        """Take this zone for the local one."""
        self._local_zone = zone
        self.ready_local = [each for each in self.ready if each.zone == zone]

    def apply(self, update: RegistryUpdated) -> list[Server]:
        """Apply an update of the endpoint list.

        Returns:
            The servers whose process is a new one.
        """
        if update.kind is not RegistryUpdateKind.DELTA:
            self._remove_unlisted(update)
        restarted = [endpoint.name for endpoint in update.endpoints if self._apply(endpoint)]
        if len(self._by_rank) < len(self.servers):
            self._by_rank = sorted(self.servers.values(), key=lambda each: each.rank)
        self.ready = [each for each in self._by_rank if each.state is ServerState.READY]
        self.ready_local = [each for each in self.ready if each.is_local]
        return [self.servers[name] for name in restarted]

    def _remove_unlisted(self, update: RegistryUpdated) -> None:
        listed = {endpoint.name for endpoint in update.endpoints}
        for server in self.servers.values():
            if server.name not in listed:
                server.state = ServerState.REMOVED

    def _apply(self, endpoint: Endpoint) -> bool:
        """Apply one entry; return whether its server has a new process."""
        server = self.servers.get(endpoint.name)
        if server is None:
            server = Server(endpoint.name, self._rng.random())
            self.servers[endpoint.name] = server
        server.zone = endpoint.zone
        server.is_local = endpoint.zone == self._local_zone
        server.cell = endpoint.cell
        if server.state is ServerState.REMOVED or endpoint.capacity_weight != server.declared_capacity:
            server.latency_weight = 0.0  # unknown
        server.declared_capacity = max(endpoint.capacity_weight, 0.0)
        server.state = endpoint.state
        if endpoint.started_at is None or endpoint.started_at == server.started_at:
            return False
        server.started_at = endpoint.started_at
        return True

    def removed(self) -> list[Server]:
        """The servers that are removed and not forgotten yet."""
        return [each for each in self.servers.values() if each.state is ServerState.REMOVED]

    def forget(self, server: Server) -> None:
        """Delete the record of a removed server."""
        del self.servers[server.name]
        self._by_rank.remove(server)

    def contains(self, server: Server) -> bool:
        """Whether this very record is in use; a server that is listed again later has a new one."""
        return self.servers.get(server.name) is server
