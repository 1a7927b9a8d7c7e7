"""This balancer's copy of the registry, which keeps the servers in a random order of its own."""

import random

from sidecar.balancer.events import Endpoint, RegistryUpdated, RegistryUpdateKind, ServerState
from sidecar.balancer.state.records import Server


class ServerRegistry:
    """The servers in the registry, and removed servers whose records are still needed.

    Attributes:
        servers: All of these servers, by name.
        ready: The servers that accept requests, in this balancer's own order.
        ready_local: The ready servers in the local zone.
    """

    def __init__(self, rng: random.Random) -> None:
        self.servers: dict[str, Server] = {}
        self.ready: list[Server] = []
        self.ready_local: list[Server] = []
        self._by_rank: list[Server] = []  # all servers; kept sorted, as sorting them is expensive
        self._local_zone = ""
        self._rng = rng

    def set_local_zone(self, zone: str) -> None:
        """Set the local zone."""
        self._local_zone = zone
        self.ready_local = [server for server in self.ready if server.zone == zone]

    def apply(self, update: RegistryUpdated) -> list[Server]:
        """Apply an update of the endpoint list.

        Returns:
            The servers that have a new process.
        """
        if update.kind is not RegistryUpdateKind.DELTA:
            self._remove_unlisted(update)
        restarted = [endpoint.name for endpoint in update.endpoints if self._apply(endpoint)]
        if len(self._by_rank) < len(self.servers):
            self._by_rank = sorted(self.servers.values(), key=lambda server: server.rank)
        self.ready = [server for server in self._by_rank if server.state is ServerState.READY]
        self.ready_local = [server for server in self.ready if server.is_local]
        return [self.servers[name] for name in restarted]

    def _remove_unlisted(self, update: RegistryUpdated) -> None:
        listed = {endpoint.name for endpoint in update.endpoints}
        for server in self.servers.values():
            if server.name not in listed:
                server.state = ServerState.REMOVED

    def _apply(self, endpoint: Endpoint) -> bool:
        """Apply one entry.

        Returns:
            Whether its server has a new process.
        """
        server = self.servers.get(endpoint.name)
        if server is None:
            server = Server(endpoint.name, self._rng.random())
            self.servers[endpoint.name] = server
        server.zone = endpoint.zone
        server.is_local = endpoint.zone == self._local_zone
        server.cell = endpoint.cell
        if server.state is ServerState.REMOVED or endpoint.capacity_weight != server.declared_capacity:
            server.relative_latency = 0.0  # unknown
        server.declared_capacity = max(endpoint.capacity_weight, 0.0)
        server.state = endpoint.state
        if endpoint.started_at is None or endpoint.started_at == server.started_at:
            return False
        server.started_at = endpoint.started_at
        return True

    def removed(self) -> list[Server]:
        """The removed servers whose records are still kept."""
        return [server for server in self.servers.values() if server.state is ServerState.REMOVED]

    def forget(self, server: Server) -> None:
        """Delete the record of a removed server."""
        del self.servers[server.name]
        self._by_rank.remove(server)

    def contains(self, server: Server) -> bool:
        """Whether this record is in use; a server that is listed again after `forget` has a new record."""
        return self.servers.get(server.name) is server
