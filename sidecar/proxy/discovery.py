"""The list of servers: watches and fetches.  When to ask is not decided here."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable

from sidecar.proxy.addresses import Address
from sidecar.proxy.http_messages import Response, message
from sidecar.proxy.registry_messages import RegistryResponse, parse_registry
from sidecar.proxy.server_connection import Connection, connect

log = logging.getLogger(__name__)

_PATH = "/registry/instances"
# Whatever a call came to, changes count as told 6 s after the service has them and can be reached.  A watch
# that fell silent and the next call have to fit in; so have a dial, a wait of the module and a call.
_WAIT_MS = (3_200, 4_000)  # a watch may wait: drawn anew, so that instances silenced at once spread out
_LATE_S = 0.5  # and what it may take beyond that
_CALL_S = 2.5  # what a call that does not wait may take: a busy service lets calls wait for 2 s
_DIAL_S = 1.5  # what a connection may take to come up: longer than the first repeat of a lost SYN
_IDLE_S = 0.1  # between watches that come back at once with nothing, well within the 200 ms of one watch
_LIST_MOST = 8 * 1024 * 1024


class Discovery:
    """Watches the list while that is wanted; each call has a connection of its own."""

    def __init__(
        self, address: Address, version: int, told: Callable[[RegistryResponse | None], None]
    ) -> None:
        self._address = address
        self._version: int | None = version  # None: the whole list is needed, whatever was heard before
        self._in_doubt = False  # whether the last call failed or was given up on
        self._told = told
        self._stopped = False
        self._watch: asyncio.Task[None] | None = None
        self._fetches: set[asyncio.Task[bool]] = set()  # as many as the balancer asks for, each for _CALL_S
        self._unanswered: Connection | None = None  # of a call given up on, until the next one is out

    def follow(self, wanted: bool) -> None:
        """Begin a watch or end it; one that is under way goes on."""
        if not wanted:
            self._end_watch()
        elif not self._stopped and (self._watch is None or self._watch.done()):
            self._watch = asyncio.get_running_loop().create_task(self._keep_watch())

    def fetch(self) -> None:
        """Ask once for the whole list."""
        task = asyncio.get_running_loop().create_task(self._ask(_PATH, _CALL_S))
        self._fetches.add(task)
        task.add_done_callback(lambda done: self._fetches.discard(done))

    def move(self, address: Address) -> None:
        """Ask at another place from now on, and at once: what was heard at the old one may be behind."""
        self._address, self._version = address, None
        for fetch in self._fetches:
            fetch.cancel()
        self._end_watch()
        self.follow(True)

    def stop(self) -> None:
        self._stopped = True
        self._end_watch()

    def _end_watch(self) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        self._hang_up()

    def _hang_up(self) -> None:
        former, self._unanswered = self._unanswered, None
        if former is not None:
            former.abort()

    async def _keep_watch(self) -> None:
        """Call again as soon as a call is answered: later than 200 ms it would be a new watch.

        A watch that fell silent is opened anew as soon: a service with many such callers takes them in turn.
        After any fault the next call does not wait, so that another fault is noticed soon.
        """
        loop = asyncio.get_running_loop()
        while True:
            began, version = loop.time(), self._version
            if version is None:
                goes_on = await self._ask(_PATH, _CALL_S)
            elif self._in_doubt:
                goes_on = await self._ask(f"{_PATH}?after={version}&wait_ms=0", _CALL_S)
            else:
                wait_ms = random.randint(*_WAIT_MS)
                goes_on = await self._ask(
                    f"{_PATH}?after={version}&wait_ms={wait_ms}", wait_ms / 1000 + _LATE_S
                )
            if not goes_on:
                return
            if self._version == version and loop.time() < began + _IDLE_S:
                await asyncio.sleep(_IDLE_S)  # guards against spinning on a service that does not wait

    async def _ask(self, target: str, limit_s: float) -> bool:
        """Make a call and tell what came of it; say whether the next may be made at once."""
        told: RegistryResponse | None = None
        limit, version = asyncio.timeout(limit_s), self._version
        try:
            async with limit:
                told = self._read(await self._call(target, limit))
                if self._version not in (None, version) and told.version < self._version:
                    self._in_doubt = False
                    return True  # another call has told of more meanwhile: this would undo it
                self._version = told.version
        except (OSError, ValueError, TimeoutError) as fault:
            log.warning("discovery: %s", fault or type(fault).__name__)
        except Exception:
            log.exception(
                "discovery: a call could not be handled"
            )  # a defect or junk: the watch is opened anew
        told = self._notify(told)
        self._in_doubt = told is None
        return told is not None or limit.expired()

    def _notify(self, told: RegistryResponse | None) -> RegistryResponse | None:
        """Hand over what a call came to; give None where it failed, or could not be put into force."""
        if told is not None:
            try:
                self._told(told)
                return told
            except Exception:
                log.exception("discovery: version %d could not be put into force", told.version)
                self._version = None  # a part of it may be missing: the whole list is needed
        self._told(None)
        return None

    @staticmethod
    def _read(response: Response | None) -> RegistryResponse:
        if response is None:
            raise ConnectionResetError("the connection broke")
        if response.status != 200:
            raise ConnectionRefusedError(f"status {response.status}")
        return parse_registry(json.loads(response.body))

    async def _call(self, target: str, limit: asyncio.Timeout) -> Response | None:
        async with asyncio.timeout(_DIAL_S):
            connection = await connect(self._address, _LIST_MOST)
        try:
            return await self._exchange(connection, target)
        finally:
            if limit.expired():
                # Who has no call out counts as told of all that is older than it may go without asking.
                self._hang_up()
                self._unanswered = connection
            else:
                connection.abort()

    async def _exchange(self, connection: Connection, target: str) -> Response | None:
        answer: asyncio.Future[Response | None] = asyncio.get_running_loop().create_future()
        host = f"{self._address[0]}:{self._address[1]}".encode()
        call = message(b"GET %b HTTP/1.1" % target.encode(), [(b"Host", host), (b"Connection", b"close")])

        def ended(response: Response | None) -> None:
            if not answer.done():
                answer.set_result(response)

        if not connection.is_idle():  # it broke as it came up, and would never tell that it has ended
            raise ConnectionResetError("the connection broke as it came up")
        connection.request(call, ended)
        self._hang_up()
        return await answer
