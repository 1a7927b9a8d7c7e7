"""One process of peers: plays its groups against a sidecar, and reports how long their connections lasted.

Run as `python -m scale.memory.peer_process`, with a `PeerOrder` as JSON on standard input.
"""

from __future__ import annotations

import asyncio
import contextlib
import resource
import socket
import sys
import time

from pydantic import BaseModel, ConfigDict

from scale.memory.messages import peer_data
from scale.memory.scenario import PeerGroup, PeerState

_BACKOFF_S = 0.02  # after a refused connection
_RECEIVE_BUFFER_BYTES = 4_096  # of a peer that does not read its response


class PeerOrder(BaseModel):
    """What a process of peers plays.

    Attributes:
        address: Where the sidecar listens.
        groups: The groups; `first` and `step` select the peers that this process plays.
        first: Number of its first peer in each group.
        step: Difference to the number of the next one.
        duration_s: Seconds that it plays.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    address: tuple[str, int]
    groups: tuple[PeerGroup, ...]
    first: int
    step: int
    duration_s: float


class PeerReport(BaseModel):
    """What the peers of one process saw.

    Attributes:
        connections: How many connections they opened.
        longest_s: Seconds that the longest connection of a peer without a request in flight lasted until it
            got a response or was closed.
    """

    connections: int = 0
    longest_s: float = 0.0


_BAD_STATES = (PeerState.SILENT, PeerState.HEAD_INCOMPLETE, PeerState.BODY_INCOMPLETE, PeerState.REJECTED)


class Peers:
    """The peers of one process."""

    def __init__(self, order: PeerOrder) -> None:
        self._order = order
        self._report = PeerReport()
        self._ends_at = time.monotonic() + order.duration_s

    async def play(self) -> PeerReport:
        """Play all peers until the time is over."""
        order = self._order
        tasks = [
            asyncio.create_task(self._play_peer(group, f"{index:x}{number:04x}"))
            for index, group in enumerate(order.groups)
            for number in range(order.first, group.peers, order.step)
        ]
        await asyncio.sleep(order.duration_s)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return self._report

    async def _play_peer(self, group: PeerGroup, prefix: str) -> None:
        while True:
            try:
                await self._play_connection(group, prefix)
            except OSError:
                await asyncio.sleep(_BACKOFF_S)
            await asyncio.sleep(group.return_s)

    async def _play_connection(self, group: PeerGroup, prefix: str) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        if group.state is PeerState.RESPONSE_UNREAD:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, self._order.address)
            started_at = time.monotonic()
            self._report.connections += 1
            await self._send_and_wait(sock, group, prefix)
            if group.state in _BAD_STATES:
                self._report.longest_s = max(self._report.longest_s, time.monotonic() - started_at)
        finally:
            sock.close()

    async def _send_and_wait(self, sock: socket.socket, group: PeerGroup, prefix: str) -> None:
        sending = asyncio.create_task(self._send(sock, group, prefix))
        loop = asyncio.get_running_loop()
        try:
            if group.state is PeerState.RESPONSE_UNREAD:
                await sending
                await asyncio.sleep(2.0)
                return
            while group.state not in _BAD_STATES and await loop.sock_recv(sock, 65_536):
                pass
            with contextlib.suppress(OSError):
                await loop.sock_recv(sock, 65_536)
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)

    async def _send(self, sock: socket.socket, group: PeerGroup, prefix: str) -> None:
        data = memoryview(peer_data(group, prefix))
        loop = asyncio.get_running_loop()
        while data:
            await loop.sock_sendall(sock, data[: group.write_bytes])
            data = data[group.write_bytes :]
            if group.pause_s:
                await asyncio.sleep(group.pause_s)


def main() -> None:
    """Play the order on standard input, and print the report."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    order = PeerOrder.model_validate_json(sys.stdin.read())
    print(asyncio.run(Peers(order).play()).model_dump_json())


if __name__ == "__main__":
    main()
