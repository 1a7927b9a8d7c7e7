"""The process is out of descriptors for a while."""

from __future__ import annotations

import errno
import socket

from balancer_harness import settings
from proxy_harness import (
    CLASSES,
    request,
    run_scenario,
    send_request,
    wait_until,
)

from sidecar.proxy.buffer_budget import BufferBudget
from sidecar.proxy.client_request import ClientRequest
from sidecar.proxy.connection_table import ConnectionTable
from sidecar.proxy.frontend import Frontend
from sidecar.proxy.memory_pressure import MemoryPressure


class RespondingHandler:
    """Responds to each request as soon as it is read."""

    def handle_request(self, request: ClientRequest) -> None:
        request.responder.respond(200, [], b"taken")

    def handle_disconnect(self, request: ClientRequest) -> None:
        """Do nothing: no request is in flight."""

    def is_request_id_in_use(self, request_id: str) -> bool:
        return False

    def is_ready(self) -> bool:
        return True


def test_lack_of_descriptors_does_not_stop_the_listener() -> None:
    class ListenerWithoutDescriptors:
        """A listener whose first accepts fail."""

        def __init__(self, real: socket.socket) -> None:
            self.real, self.failures = real, 3

        def accept(self) -> object:
            if self.failures:
                self.failures -= 1
                raise OSError(errno.EMFILE, "Too many open files")
            return self.real.accept()

        def fileno(self) -> int:
            return self.real.fileno()

    async def scenario() -> None:
        table = ConnectionTable(5)
        memory = MemoryPressure(BufferBudget(1_000_000), table)
        frontend = Frontend(("127.0.0.1", 0), table, RespondingHandler(), settings(classes=CLASSES), memory)
        real = frontend._sock
        # The double implements the part of a socket that the frontend uses.
        frontend._sock = ListenerWithoutDescriptors(real)  # type: ignore[assignment]
        frontend.start()
        assert (await send_request(frontend.address, request()))[2] == b"taken"
        frontend._sock = real
        frontend.close_listener()
        await wait_until(frontend.has_no_connections)

    run_scenario(scenario())
