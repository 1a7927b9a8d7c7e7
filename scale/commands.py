"""Command protocol between the rig and the processes that it starts: JSON lines over a loopback connection.

A process prints one line, a `Ready` message, once it listens.  It then answers each command with one line.
"""

from __future__ import annotations

import asyncio
import socket
import subprocess
import sys
from collections.abc import Callable
from typing import TypeVar

from pydantic import BaseModel, ConfigDict

from scale.errors import ProcessEndedError

MAXIMUM_LINE_BYTES = 64 * 1024 * 1024  # a change of thousands of endpoints is one line
_RESPONSE_TIMEOUT_S = 120.0


class Message(BaseModel):
    """A command or a response."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Ready(Message):
    """The line that a process prints once it accepts commands.

    Attributes:
        commands: Host and port for the command connection.
        addresses: Hosts and ports of the servers that the process runs.
    """

    commands: tuple[str, int]
    addresses: list[tuple[str, int]] = []


class Done(Message):
    """The response to a command that has nothing to return."""


AnyMessage = TypeVar("AnyMessage", bound=Message)


async def serve_commands(handle: Callable[[bytes], Message], addresses: list[tuple[str, int]]) -> None:
    """Print a `Ready` message, then serve the commands of one connection until it is closed.

    Args:
        handle: Handles one command, as a JSON line.
        addresses: Hosts and ports of the servers that this process runs, for the `Ready` message.
    """
    connection_closed = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                writer.write(handle(line).model_dump_json().encode() + b"\n")
                await writer.drain()
        finally:
            writer.close()
            connection_closed.set()

    server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=MAXIMUM_LINE_BYTES)
    try:
        host, port = server.sockets[0].getsockname()
        print(Ready(commands=(host, port), addresses=addresses).model_dump_json(), flush=True)
        await connection_closed.wait()
    finally:
        server.close()


class CommandClient:
    """Sends commands to a process, one at a time."""

    def __init__(self, popen: subprocess.Popen[bytes]) -> None:
        """Wait until the process accepts commands.

        Raises:
            ProcessEndedError: The process ended first.
        """
        assert popen.stdout is not None
        self._pid = popen.pid
        line = popen.stdout.readline()
        if not line:
            raise ProcessEndedError(popen.pid)
        self.ready = Ready.model_validate_json(line)
        self._socket = socket.create_connection(self.ready.commands, _RESPONSE_TIMEOUT_S)
        self._responses = self._socket.makefile("rb")

    def request(self, command: Message, response_type: type[AnyMessage]) -> AnyMessage:
        """Send a command and return its response.

        Raises:
            ProcessEndedError: The process closed the connection.
        """
        self._socket.sendall(command.model_dump_json().encode() + b"\n")
        line = self._responses.readline()
        if not line:
            raise ProcessEndedError(self._pid)
        return response_type.model_validate_json(line)

    def execute(self, command: Message) -> None:
        """Send a command that has nothing to return, and wait until it is done.

        Raises:
            ProcessEndedError: The process closed the connection.
        """
        self.request(command, Done)

    def close(self) -> None:
        """Close the connection; the process ends as a result."""
        self._responses.close()
        self._socket.close()


def python_command(module: str, *arguments: object) -> list[str]:
    """Return the command line that runs a module of this repository."""
    return [sys.executable, "-m", module, *(str(each) for each in arguments)]
