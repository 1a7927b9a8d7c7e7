"""What a client connection needs of the frontend that accepted it."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Protocol

from sidecar.proxy.client_request import RequestHandler
from sidecar.proxy.connection_state import ConnectionState
from sidecar.settings import Settings

if TYPE_CHECKING:
    from sidecar.proxy.client_connection import ClientConnection


class ConnectionOwner(Protocol):
    """The interface of the frontend that a client connection uses.

    Attributes:
        handler: Handles the requests.
        settings: The settings for requests that are read from now on.
        draining: Whether each connection is closed after its current response.
        max_match_bytes: How much memory it may take to match a line of a request, in bytes.
    """

    handler: RequestHandler
    settings: Settings
    draining: bool
    max_match_bytes: int

    def connection_opened(self, connection: ClientConnection, sock: socket.socket) -> None:
        """Register a connection that has been set up on an accepted socket."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Unregister a connection that has been closed."""

    def buffer_changed(self, connection: ClientConnection) -> None:
        """Record how much a connection buffers, and stop reading it if that is too much."""

    def readable_bytes(self, connection: ClientConnection) -> int:
        """Return how many bytes a connection may read now."""

    def has_room(self, byte_count: int) -> bool:
        """Return whether this number of bytes may be buffered for a request that is about to be forwarded."""

    def change_state(self, connection: ClientConnection, state: ConnectionState) -> None:
        """Change the state of a connection."""
