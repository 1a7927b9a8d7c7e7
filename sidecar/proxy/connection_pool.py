"""Connections to servers: pools, attempts and probes; what happened to one becomes its `Outcome`.

Every byte and connection is under this file's control: nothing is resent silently, and it is known whether
a request's last byte was written.  Only then may the server have begun it.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from functools import partial

from sidecar.balancer.events import Outcome, ServerState
from sidecar.proxy import sockets
from sidecar.proxy.addresses import Address
from sidecar.proxy.dialing import LocalDialError, open_socket, retry_backoff
from sidecar.proxy.http_messages import Response, message
from sidecar.proxy.idle_lifetimes import IdleLifetimeEstimator
from sidecar.proxy.server_connection import Connection, connect
from sidecar.proxy.sockets import is_connected

log = logging.getLogger(__name__)

_UNKNOWN_ADDRESS: Address = ("127.0.0.1", 0)  # of a server that takes nothing new anyway
MAX_BODY_BYTES = 64 * 1024  # of an attempt's answer, as the protocol has it
_REUSE_DELAY_FRACTION = (
    0.12  # of the dial limit: so long a connection rests after an answer before it is used again
)
_IDLE_CLOSE_MARGIN = 0.1  # an idle connection is closed this part of its time before the server would
_HEALTH_CHECK_DIAL_TIMEOUTS = 4.0  # a probe may take this many dial time limits


@dataclass(slots=True, eq=False)
class PooledServer:
    """Where a server listens now, and the connections to it that carry nothing."""

    name: str
    address: Address
    started_at: int | None
    state: ServerState
    generation: int = 0  # of its process: older connections are not used again
    # The longest at rest first, each with the timer that closes it; bounded with all connections.
    idle: list[tuple[Connection, asyncio.TimerHandle]] = field(default_factory=list)
    dialing: set[Exchange] = field(default_factory=set)


# Makes a request when it is written, since it tells the time left; None: nobody waits for it any more.  Asked
# once more before the last byte of a long one.
Order = Callable[[float], bytes | None]
OutcomeCallback = Callable[[Outcome, Response | None], None]


class Exchange:
    """One attempt or probe, from the dial to its one outcome."""

    def __init__(self, server: PooledServer, order: Order, deadline: float, ended: OutcomeCallback) -> None:
        self.server = server
        self.generation = server.generation
        self.order = order
        self.deadline = deadline  # on the event loop's clock
        self.ended: OutcomeCallback | None = ended
        self.connection: Connection | None = None
        self.written_at = 0.0
        self.idle_s: float | None = None  # how long its connection was idle before; None: it was new
        self.dial_task: asyncio.Task[bool] | None = None
        self.connecting_socket: socket.socket | None = None  # what the dial tries at present
        self.local_failure = (
            False  # whether its dial has failed for a cause on this machine, and is tried again
        )
        self.timers: list[asyncio.TimerHandle] = []

    def is_written(self) -> bool:
        """Whether the last byte of its request has gone to the kernel."""
        return self.connection is not None and self.connection.request_written

    def unwritten_outcome(self) -> Outcome:
        """What it proves that the request was not written in time."""
        if self.connection is None and self.local_failure:
            return Outcome.NOT_SENT
        return Outcome.CONNECT_FAILED

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """Tell the outcome, once; what comes later is nobody's."""
        ended, self.ended = self.ended, None
        if ended is None:
            return
        for timer in self.timers:
            timer.cancel()
        self.server.dialing.discard(self)
        if outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
            if self.connection is not None:
                self.connection.shutdown_and_abort()
            if self.dial_task is not None:
                self.dial_task.cancel()
        ended(outcome, response)


def classify_outcome(response: Response | None, written: bool, protocol_error: bool) -> Outcome:
    """What an ended exchange proves: it never ran only if that is certain.

    A rejection with more behind it proves nothing: one of the two may answer the request before.
    """
    if response is not None and response.is_rejection() and not protocol_error:
        return Outcome.REJECTED
    if not written:
        return (
            Outcome.CONNECT_FAILED
        )  # a server begins a request with its last byte: what came answers another
    if response is None:
        return Outcome.ERROR if protocol_error else Outcome.RESET  # who answers with noise is still there
    return Outcome.SUCCEEDED if response.status == 200 else Outcome.ERROR


class ConnectionPool:
    """All connections to servers, within a bound on their number."""

    def __init__(self, dial_timeout_s: float, idle_s: float, max_connections: int) -> None:
        self._set_timeouts(dial_timeout_s, idle_s)
        self._lifetimes = IdleLifetimeEstimator(idle_s)
        self._max_connections = max_connections
        self.open_connections = 0  # connections, and dials under way
        self.servers: dict[str, PooledServer] = {}  # of the servers that the list holds now

    def _set_timeouts(self, dial_timeout_s: float, idle_s: float) -> None:
        self._dial_timeout_s = dial_timeout_s
        self._idle_timeout_s = idle_s * (1.0 - _IDLE_CLOSE_MARGIN)
        self._reuse_delay_s = _REUSE_DELAY_FRACTION * dial_timeout_s

    def set_timeouts(self, dial_timeout_s: float, idle_s: float) -> None:
        """Dial and keep idle connections for other times from now on; dials under way keep their limit.

        A connection that is idle already counts from when it became so: its server closes it by the new time.
        """
        former_s = self._idle_timeout_s
        self._set_timeouts(dial_timeout_s, idle_s)
        self._lifetimes.set_time_constant(idle_s)
        if self._idle_timeout_s == former_s:
            return
        loop = asyncio.get_running_loop()
        for server in self.servers.values():
            for index, (connection, timer) in enumerate(server.idle):
                timer.cancel()
                over_at = timer.when() - former_s + self._idle_timeout_s
                timer = loop.call_at(over_at, self._on_idle_timeout, server, connection)
                server.idle[index] = (connection, timer)

    def update(self, name: str, address: Address | None, started_at: int | None, state: ServerState) -> None:
        """Note what the list says of a server; a new process or place makes its old connections useless."""
        known = self.servers.get(name)
        if known is None:
            if state is not ServerState.REMOVED:
                self.servers[name] = PooledServer(name, address or _UNKNOWN_ADDRESS, started_at, state)
            return
        address = address or known.address
        if (known.address, known.started_at) != (address, started_at):
            moved = known.address != address
            known.address, known.started_at = address, started_at
            known.generation += 1
            self.close_idle(name)
            if moved:
                self._end_unwritten(known, Outcome.NOT_SENT)  # who listens there now may be any other
        known.state = state
        if state is not ServerState.READY:
            self._end_unwritten(known)
        if state is ServerState.REMOVED:
            del self.servers[name]  # what is still out there holds it until it ends

    def retain(self, names: Collection[str]) -> None:
        """Drop all servers but these."""
        for name in [each for each in self.servers if each not in names]:
            self.update(name, None, None, ServerState.REMOVED)

    def remove_superseded(self) -> list[str]:
        """Drop the servers whose address is that of one that started later: its process listens there now."""
        latest: dict[Address, PooledServer] = {}
        former = []
        for each in self.servers.values():
            other = latest.setdefault(each.address, each)
            older, newer = sorted((other, each), key=lambda server: server.started_at or 0)
            if each.address != _UNKNOWN_ADDRESS and (older.started_at or 0) < (newer.started_at or 0):
                former.append(older.name)
            latest[each.address] = newer
        for name in former:
            self.update(name, None, None, ServerState.REMOVED)
        return former

    def _end_unwritten(self, server: PooledServer, outcome: Outcome = Outcome.CONNECT_FAILED) -> None:
        """End what was not written to a server that takes nothing new: a slow dial may outlast the grace."""
        self.close_idle(server.name)
        for exchange in list(server.dialing):
            exchange.end(outcome)

    def send(self, name: str, order: Order, deadline: float, ended: OutcomeCallback) -> Exchange:
        """Start an attempt; `ended` hears its outcome exactly once, maybe before this returns."""
        server = self.servers[name]
        loop = asyncio.get_running_loop()
        exchange = Exchange(server, order, deadline, ended)
        if deadline <= loop.time() or server.state is not ServerState.READY:
            # Not ready: the list has told so, and its news are still on their way to the balancer.
            exchange.end(Outcome.NOT_SENT)
            return exchange
        exchange.timers.append(loop.call_at(deadline, self._on_deadline, exchange))
        connection = self._take_idle(exchange)
        if connection is not None:
            self._write(exchange, connection)
        elif self._reserve_capacity():
            self.open_connections += 1
            server.dialing.add(exchange)
            exchange.dial_task = loop.create_task(self._dial(exchange))
            exchange.dial_task.add_done_callback(self._on_dial_done)
        else:
            log.warning("no connection to spare for %s", name)
            exchange.end(Outcome.CONNECT_FAILED)
        return exchange

    def check_health(self, name: str, target: str, ended: OutcomeCallback) -> Exchange:
        """Ask a server how it is."""
        data = message(b"GET %b HTTP/1.1" % target.encode(), [(b"Host", name.encode())])
        deadline = asyncio.get_running_loop().time() + _HEALTH_CHECK_DIAL_TIMEOUTS * self._dial_timeout_s
        return self.send(name, lambda _: data, deadline, ended)

    def cancel(self, exchange: Exchange) -> None:
        exchange.end(Outcome.CANCELLED)

    def abandon_unwritten(self, exchange: Exchange) -> None:
        """End an attempt that is not all written yet, so that it never will be."""
        if not exchange.is_written():
            exchange.end(Outcome.NOT_SENT)

    def close_idle(self, name: str) -> None:
        server = self.servers.get(name)
        while server is not None and server.idle:
            connection, timer = server.idle.pop()
            timer.cancel()
            connection.abort()

    @staticmethod
    def _on_deadline(exchange: Exchange) -> None:
        exchange.end(Outcome.TIMED_OUT if exchange.is_written() else exchange.unwritten_outcome())

    @staticmethod
    def _on_dial_timeout(exchange: Exchange) -> None:
        """End a dial, unless its connection is up and only this program has not come to look.

        Guards a busy sidecar against taking its own lag for dead servers.  The attempt's end bounds it still.
        """
        connecting_socket = exchange.connecting_socket
        if exchange.connection is None and (connecting_socket is None or not is_connected(connecting_socket)):
            exchange.end(exchange.unwritten_outcome())

    def _take_idle(self, exchange: Exchange) -> Connection | None:
        """The last used of those that have rested, unless it has been idle for longer than such ones last.

        What a server does to a connection after its answer, an end or more bytes, is under way for as long as
        the network takes; what is written meanwhile may have run and would be lost, or get another's answer.
        """
        now = asyncio.get_running_loop().time()
        idle = exchange.server.idle
        for index in reversed(range(len(idle))):
            connection, timer = idle[index]
            idle_s = now + self._idle_timeout_s - timer.when()
            if idle_s < self._reuse_delay_s:
                continue
            del idle[index]
            timer.cancel()
            scarce = self.open_connections >= self._max_connections  # then any is better than none
            if connection.is_idle() and (scarce or self._lifetimes.is_trusted(idle_s, now)):
                exchange.idle_s = idle_s
                return connection
            connection.abort()
        return None

    def _reserve_capacity(self) -> bool:
        """Whether one more connection may be opened, perhaps for an idle one elsewhere."""
        if self.open_connections < self._max_connections:
            return True
        while idle := [each for each in self.servers.values() if each.idle]:
            fullest = max(idle, key=lambda each: len(each.idle))
            connection, timer = fullest.idle.pop(0)
            timer.cancel()
            if connection.reusable:  # else it has ended already, and makes no room
                connection.abort()
                return True
        return False

    async def _dial(self, exchange: Exchange) -> bool:
        """Dial and write; say whether there is a connection now."""
        loop = asyncio.get_running_loop()
        exchange.timers.append(loop.call_later(self._dial_timeout_s, self._on_dial_timeout, exchange))
        try:
            connection = await self._connect(exchange)
        except (OSError, UnicodeError) as fault:  # the latter of a host's name that is none
            log.debug("no connection to %s: %r", exchange.server.name, fault)
            exchange.end(Outcome.CONNECT_FAILED)
            return False
        connection.on_lost = self._on_connection_lost
        if exchange.ended is None:
            connection.abort()
        else:
            self._write(exchange, connection)
        return True

    async def _connect(self, exchange: Exchange) -> Connection:
        """Dial, again after each failure of this machine, until the exchange's timers end it."""
        address = exchange.server.address
        backoff = retry_backoff()
        while True:
            try:
                exchange.connecting_socket = open_socket(partial(sockets.new_socket, address))
                return await connect(
                    address, MAX_BODY_BYTES, self._dial_timeout_s, exchange.connecting_socket
                )
            except LocalDialError as fault:
                log.debug("dial of %s held up: %r", exchange.server.name, fault)
                exchange.local_failure, exchange.connecting_socket = True, None
                await asyncio.sleep(next(backoff))

    def _on_dial_done(self, dial: asyncio.Task[bool]) -> None:
        if dial.cancelled() or not dial.result():
            self._on_connection_lost()

    def _on_connection_lost(self) -> None:
        self.open_connections -= 1

    def _write(self, exchange: Exchange, connection: Connection) -> None:
        exchange.dial_task = None  # it is over
        exchange.server.dialing.discard(exchange)
        now = asyncio.get_running_loop().time()
        data = exchange.order(max(exchange.deadline - now, 0.0))
        if data is None:
            if exchange.idle_s is None:
                self._release(exchange, connection)
            else:
                connection.abort()  # its idle time goes on at its server, and must not begin anew here
            exchange.end(Outcome.NOT_SENT)
            return
        exchange.connection, exchange.written_at = connection, now
        connection.request(
            data, partial(self._on_response, exchange, connection), partial(self._is_still_wanted, exchange)
        )

    @staticmethod
    def _is_still_wanted(exchange: Exchange) -> bool:
        """Whether a long request may be written to its end, as its order tells; else it is given up."""
        left_s = exchange.deadline - asyncio.get_running_loop().time()
        if exchange.order(max(left_s, 0.0)) is None:
            exchange.end(Outcome.NOT_SENT)
        return exchange.ended is not None

    def _on_response(self, exchange: Exchange, connection: Connection, response: Response | None) -> None:
        self._release(exchange, connection)
        outcome = classify_outcome(response, connection.request_written, connection.protocol_error)
        if outcome is Outcome.CONNECT_FAILED and connection.local_failure:
            outcome = Outcome.NOT_SENT  # the server has no part in it
        if exchange.ended is not None:  # else it was given up on, which says nothing of its connection
            now = asyncio.get_running_loop().time()
            # A connection forgotten while idle breaks at once; later it is the server that broke.
            broke = outcome is Outcome.RESET and now - exchange.written_at < self._dial_timeout_s
            self._lifetimes.record(exchange.idle_s, broke)
        exchange.end(outcome, response)

    def _release(self, exchange: Exchange, connection: Connection) -> None:
        """Keep a connection for the next request, for less long than the server keeps it."""
        server = exchange.server
        if not connection.reusable:
            return
        if exchange.generation != server.generation or server.state is not ServerState.READY:
            connection.abort()
            return
        timer = asyncio.get_running_loop().call_later(
            self._idle_timeout_s, self._on_idle_timeout, server, connection
        )
        server.idle.append((connection, timer))

    @staticmethod
    def _on_idle_timeout(server: PooledServer, connection: Connection) -> None:
        server.idle = [each for each in server.idle if each[0] is not connection]
        connection.abort()

    async def close(self) -> None:
        """Close what is idle and wait for dials to end."""
        dials = [
            each.dial_task for e in self.servers.values() for each in e.dialing if each.dial_task is not None
        ]
        for server in list(self.servers.values()):
            self._end_unwritten(server)
        await asyncio.gather(*dials, return_exceptions=True)
