"""Hosts balancers for the simulator: passes them the events of each batch and replies with their actions.

Run as `python -m sidecar.simulator`.  If a line of input violates the wire protocol, the process writes one
line to standard error and exits with code 2.
"""

from __future__ import annotations

import io
import sys
from collections.abc import Iterable, Sequence
from typing import TextIO

from sidecar.balancer.balancer import Balancer
from sidecar.balancer.events import Endpoint, Event, RegistryUpdated
from sidecar.simulator.codec import (
    BATCH_DONE,
    BATCH_END,
    BATCH_START,
    decode_batch_start,
    decode_message,
    encode_action,
    encode_internal_error,
    parse_line,
)
from sidecar.simulator.errors import (
    NestedBatchError,
    OutsideBatchError,
    UnknownInstanceError,
    UnknownPageError,
    WireError,
)
from sidecar.simulator.messages import (
    EndpointPage,
    EventReceived,
    InstanceStarted,
    InstanceStopped,
    Message,
    RegistryUpdateReceived,
)

_EXIT_WIRE_ERROR = 2


class Adapter:
    """Hosts one independent balancer for each instance of the simulator."""

    def __init__(self) -> None:
        """Create an adapter without instances that expects the start of a batch."""
        self._balancers: dict[str, Balancer] = {}
        self._pages: dict[int, Sequence[Endpoint]] = {}
        self._now_us = 0
        self._in_batch = False
        self._reply_lines: list[str] = []

    def handle_line(self, line: str) -> list[str] | None:
        """Process one line of input.

        Args:
            line: The line, with or without its newline.

        Returns:
            The lines of the reply at the end of a batch; otherwise None.

        Raises:
            WireError: The line violates the wire protocol.
        """
        message = parse_line(line)
        if message.name == BATCH_START:
            if self._in_batch:
                raise NestedBatchError
            self._now_us = decode_batch_start(message)
            self._in_batch, self._reply_lines = True, []
            return None
        if not self._in_batch:
            raise OutsideBatchError(message.name)
        if message.name == BATCH_END:
            self._in_batch = False
            return [*self._reply_lines, BATCH_DONE]
        self._handle_message(message.name, decode_message(message))
        return None

    def _handle_message(self, name: object, message: Message) -> None:
        match message:
            case EventReceived():
                self._deliver_event(
                    message.instance, self._find_balancer(name, message.instance), message.event
                )
            case RegistryUpdateReceived():
                balancer = self._find_balancer(name, message.instance)
                self._deliver_event(message.instance, balancer, self._registry_update(message))
            case EndpointPage():
                self._pages[message.number] = message.endpoints
            case InstanceStarted():
                self._balancers[message.instance] = Balancer(message.settings, message.seed)
            case InstanceStopped():
                self._find_balancer(name, message.instance)
                del self._balancers[message.instance]

    def _find_balancer(self, name: object, instance: str) -> Balancer:
        balancer = self._balancers.get(instance)
        if balancer is None:
            raise UnknownInstanceError(name, instance)
        return balancer

    def _registry_update(self, message: RegistryUpdateReceived) -> RegistryUpdated:
        if message.page is None:
            return RegistryUpdated(message.kind)
        endpoints = self._pages.get(message.page)
        if endpoints is None:
            raise UnknownPageError(message.page)
        return RegistryUpdated(message.kind, endpoints, message.version)

    def _deliver_event(self, instance: str, balancer: Balancer, event: Event) -> None:
        try:
            actions = balancer.handle(self._now_us, event)
        except Exception as error:  # reported to the simulator; the other instances go on
            self._reply_lines.append(encode_internal_error(instance, error))
            return
        for action in actions:
            self._reply_lines.append(encode_action(instance, action))


def run(lines: Iterable[str], output: TextIO, error_output: TextIO) -> int:
    """Process all lines of input.

    Args:
        lines: The input.
        output: Receives the replies.
        error_output: Receives one line about the first invalid line of input, which ends the run.

    Returns:
        The exit code.
    """
    adapter = Adapter()
    for number, line in enumerate(lines, 1):
        try:
            reply_lines = adapter.handle_line(line)
        except WireError as error:
            error_output.write(f"line {number}: {error}\n")
            return _EXIT_WIRE_ERROR
        if reply_lines is not None:
            output.write("\n".join(reply_lines) + "\n")
            output.flush()
    return 0


def main() -> int:
    """Serve the simulator on standard input and output; return the exit code of the process."""
    if isinstance(sys.stdin, io.TextIOWrapper):
        sys.stdin.reconfigure(encoding="utf-8", errors="replace")
    if isinstance(sys.stdout, io.TextIOWrapper):
        sys.stdout.reconfigure(encoding="utf-8", newline="\n")
    return run(sys.stdin, sys.stdout, sys.stderr)
