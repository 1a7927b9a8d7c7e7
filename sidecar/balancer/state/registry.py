"""This balancer's copy of the registry."""

import random

from sidecar.balancer.events import Endpoint, RegistryUpdated, RegistryUpdateKind, ServerState
from sidecar.balancer.state.records import Server


class ServerRegistry:
    """The servers listed, and those gone that still have attempts."""

    def __init__(self, rng: random.Random) -> None:
        self.servers: dict[str, Server] = {}  # by name
        self._by_rank: list[Server] = []  # the same; kept so, as sorting all is costly
        self.ready: list[Server] = []  # by rank
        self.ready_local: list[Server] = []  # of these, the ones in the local zone
        self._local_zone = ""
        self._rng = rng

    def set_local_zone(self, zone: str) -> None:
        """This balancer is in this zone from now on."""
        self._local_zone = zone
        self.ready_local = [each for each in self.ready if each.zone == zone]

    def apply(self, update: RegistryUpdated) -> list[Server]:
        """Take over a list or changes of it; give the servers whose process is a new one."""
        if update.kind is not RegistryUpdateKind.DELTA:
            listed = {endpoint.server for endpoint in update.servers}
            for server in self.servers.values():
                if server.name not in listed:
                    server.state = ServerState.REMOVED
        restarted = [each for each in map(self._apply, update.servers) if each is not None]
        if len(self._by_rank) < len(self.servers):
            self._by_rank = sorted(self.servers.values(), key=lambda each: each.rank)
        self.ready = [each for each in self._by_rank if each.state is ServerState.READY]
        self.ready_local = [each for each in self.ready if each.is_local]
        return restarted

    def _apply(self, endpoint: Endpoint) -> Server | None:
        """Take over one entry; give the server if its process is a new one."""
        server = self.servers.get(endpoint.server)
        if server is None:
            server = Server(endpoint.server, self._rng.random())
            self.servers[endpoint.server] = server
        server.zone = endpoint.zone
        server.is_local = endpoint.zone == self._local_zone
        server.cell = endpoint.cell
        if server.state is ServerState.REMOVED or endpoint.nominal != server.declared_capacity:
            server.latency_weight = 0.0  # unknown
        server.declared_capacity = max(endpoint.nominal, 0.0)
        server.state = endpoint.state
        if endpoint.started_at is None or endpoint.started_at == server.started_at:
            return None
        server.started_at = endpoint.started_at
        return server

    def gone(self) -> list[Server]:
        """The servers that are gone and not forgotten yet."""
        return [each for each in self.servers.values() if each.state is ServerState.REMOVED]

    def forget(self, server: Server) -> None:
        """Drop the record of a server that is gone."""
        del self.servers[server.name]
        self._by_rank.remove(server)

    def knows(self, server: Server) -> bool:
        """Whether this very record is still in use; a server listed again later has a new one."""
        return self.servers.get(server.name) is server
