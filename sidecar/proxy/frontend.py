"""The frontend: accepts client connections, and drains them for a graceful shutdown."""

from __future__ import annotations

import asyncio
import logging
import socket

from sidecar.proxy.addresses import Address
from sidecar.proxy.client_connection import ClientConnection
from sidecar.proxy.client_request import RequestHandler
from sidecar.proxy.connection_state import ConnectionState
from sidecar.proxy.connection_table import ConnectionTable
from sidecar.proxy.event_loop import earliest_arrival
from sidecar.proxy.listener import BACKLOG, accept_connection, has_pending_connection, open_listener
from sidecar.proxy.memory_pressure import MemoryPressure
from sidecar.settings import Settings

log = logging.getLogger(__name__)

_ACCEPT_BATCH_SIZE = 64  # connections accepted before the event loop handles other events
_ACCEPT_BACKOFF_S = 0.05  # delay after a failed accept, e.g. for lack of descriptors, to avoid a busy loop
_EVICTION_BACKOFF_S = 0.02  # delay until a connection can be evicted


class Frontend:
    """Accepts client connections, up to a limit, and passes their requests to a handler.

    Attributes:
        handler: Handles the requests.
        settings: The settings for requests that are read from now on; may be replaced at any time.
        draining: Whether a graceful shutdown has begun.
        table: The table of connections.
        max_match_bytes: How much memory it may take to match a line of a request, in bytes.
        address: The address of the listening socket.
    """

    def __init__(
        self,
        address: Address,
        table: ConnectionTable,
        handler: RequestHandler,
        settings: Settings,
        memory: MemoryPressure,
    ) -> None:
        """Open the listening socket.

        Args:
            address: Address to listen on.
            table: An empty table for the connections.
            handler: Handles the requests.
            settings: The settings to check requests against.
            memory: Keeps the data of all connections within a limit.

        Raises:
            OSError: The listening socket can't be opened.
        """
        self.handler = handler
        self.settings = settings
        self.draining = False
        self.table = table
        self.max_match_bytes = memory.max_match_bytes
        self._memory = memory
        self._accepting = False
        # Event loop time at which the accept queue was last known to be empty; None: at the loop's last poll.
        self._queue_empty_at: float | None = None
        self._setup_tasks: set[asyncio.Task[None]] = set()
        self._sock = open_listener(address)
        self.address: Address = self._sock.getsockname()[:2]

    @property
    def connections(self) -> list[ClientConnection]:
        """The connections that have been set up."""
        return self.table.connections

    def start(self) -> None:
        """Start accepting connections and enforcing their time limits."""
        self._resume_accepting()
        self.table.schedule_sweep()

    # -- Accepting ------------------------------------------------------------------------------------

    def _resume_accepting(self) -> None:
        if not self._accepting and self._sock.fileno() >= 0:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self._sock, self._accept)

    def _pause_accepting(self) -> None:
        """Leave new connections in the accept queue for now."""
        self._accepting = False
        if self._queue_empty_at is None:
            self._queue_empty_at = earliest_arrival()
        asyncio.get_running_loop().remove_reader(self._sock)

    def _back_off(self, delay_s: float = _ACCEPT_BACKOFF_S) -> None:
        self._pause_accepting()
        asyncio.get_running_loop().call_later(delay_s, self._resume_accepting)

    def _accept(self, max_accepted: int = _ACCEPT_BATCH_SIZE) -> bool:
        """Accept the connections in the accept queue; return whether the queue is empty."""
        if self._queue_empty_at is None:
            self._queue_empty_at = earliest_arrival()
        is_queue_empty = self._accept_batch(max_accepted, self._queue_empty_at)
        if is_queue_empty:
            self._queue_empty_at = None if self._accepting else asyncio.get_running_loop().time()
        return is_queue_empty

    def _accept_batch(self, max_accepted: int, connected_after: float) -> bool:
        """Accept connections until the queue is empty or a limit is reached; return whether it is empty."""
        for _ in range(max_accepted):
            if self.table.is_full():
                return self._make_capacity()
            try:
                sock = accept_connection(self._sock)
            except BlockingIOError:
                return True
            except OSError as error:
                self._accept_failed(error)
                return False
            if sock is not None:
                self._set_up(sock, connected_after)
        return False

    def _make_capacity(self) -> bool:
        """Evict a connection if there is one in the accept queue; return whether the queue is empty.

        The evicted connection keeps its descriptor until the next iteration of the event loop, so no
        connection is accepted before that.
        """
        if not has_pending_connection(self._sock):
            return True
        if not self.table.evict_one():
            self._back_off(_EVICTION_BACKOFF_S)
        return False

    def _accept_failed(self, error: OSError) -> None:
        log.error("could not accept a connection: %s", error)
        self._back_off()

    def _set_up(self, sock: socket.socket, connected_after: float) -> None:
        setup = self._connect_transport(sock, connected_after, self.table.is_overloaded())
        task = asyncio.get_running_loop().create_task(setup)
        self.table.reserve(sock)
        self._setup_tasks.add(task)
        task.add_done_callback(self._setup_tasks.discard)

    async def _connect_transport(self, sock: socket.socket, connected_after: float, shed_load: bool) -> None:
        try:
            connection = ClientConnection(self, sock, connected_after, shed_load=shed_load)
            await asyncio.get_running_loop().connect_accepted_socket(lambda: connection, sock)
        except OSError as error:
            log.info("could not set up an accepted connection: %s", error)
        finally:
            if self.table.release(sock):  # it has no transport that would close it
                sock.close()

    # -- Connections ----------------------------------------------------------------------------------

    def connection_opened(self, connection: ClientConnection, sock: socket.socket) -> None:
        """Register a connection that has been set up on an accepted socket."""
        self.table.release(sock)
        self.table.add(connection)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Unregister a connection that has been closed."""
        self.table.remove(connection)
        self._memory.release(connection)

    def buffer_changed(self, connection: ClientConnection) -> None:
        """Record how much a connection buffers, and stop reading it if that is too much."""
        self._memory.buffer_changed(connection)

    def readable_bytes(self, connection: ClientConnection) -> int:
        """Return how many bytes a connection may read now."""
        return self._memory.readable_bytes(connection)

    def has_room(self, byte_count: int) -> bool:
        """Return whether this number of bytes may be buffered for a request that is about to be forwarded."""
        return self._memory.has_room(byte_count)

    def change_state(self, connection: ClientConnection, state: ConnectionState) -> None:
        """Change the state of a connection."""
        self.table.change_state(connection, state)

    # -- Graceful shutdown ----------------------------------------------------------------------------

    def drain(self) -> None:
        """Begin a graceful shutdown: close idle connections, and continue to accept new ones.

        A client whose request crosses the close of its connection sends it again on a new one.
        """
        self.draining = True
        self.close_idle(only_used=True)

    def close_idle(self, *, only_used: bool) -> None:
        """Close idle connections.

        Args:
            only_used: Keep those that have not carried a request, as their first one may be in transit.
        """
        for connection in self.connections:
            if connection.is_idle() and (connection.state is ConnectionState.IDLE or not only_used):
                connection.close()

    def close_listener(self) -> bool:
        """Accept the connections in the accept queue, then close the listener.

        Returns:
            Whether the listener is closed; it stays open while there is no capacity for queued connections.
        """
        if self._sock.fileno() >= 0 and self._accept(BACKLOG):
            if self._accepting:
                self._pause_accepting()
            self._sock.close()
        return self._sock.fileno() < 0

    def has_no_connections(self) -> bool:
        """Return whether there are no connections, including those being set up."""
        return not self.table.count()
