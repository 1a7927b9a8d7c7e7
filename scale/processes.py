"""Starts the processes of an experiment, and terminates them at its end."""

from __future__ import annotations

import subprocess
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from types import TracebackType
from typing import IO, Self

import psutil

_TERMINATE_WAIT_S = 5.0  # from SIGTERM to SIGKILL


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """Resource usage of a process at one moment."""

    at_s: float  # time of the reading on the monotonic clock
    cpu_s: float  # user and system time since its start
    memory_bytes: int  # resident set


class ManagedProcess:
    """One process that the rig started."""

    def __init__(self, popen: subprocess.Popen[bytes]) -> None:
        self.popen = popen
        self._process = psutil.Process(popen.pid)

    @property
    def pid(self) -> int:
        """The process id."""
        return self.popen.pid

    def is_running(self) -> bool:
        """Return whether the process has not exited yet."""
        return self.popen.poll() is None

    def usage(self) -> ResourceUsage:
        """Return the resource usage of the process so far.

        Raises:
            psutil.NoSuchProcess: The process has exited.
        """
        with self._process.oneshot():
            times = self._process.cpu_times()
            memory = self._process.memory_info().rss
        return ResourceUsage(time.monotonic(), times.user + times.system, memory)


class ProcessGroup:
    """Starts processes, and terminates those still running when the `with` block ends, also by an exception.

    It isn't a process group of the operating system: each process is terminated on its own.
    """

    def __init__(self) -> None:
        self.processes: list[ManagedProcess] = []

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self, exc_type: type[BaseException] | None, exc: BaseException | None, traceback: TracebackType | None
    ) -> None:
        self.terminate_all()

    def start(
        self,
        command: Sequence[str],
        environment: Mapping[str, str] | None = None,
        stdout: int | IO[bytes] | None = subprocess.DEVNULL,
        stderr: int | IO[bytes] | None = subprocess.DEVNULL,
    ) -> ManagedProcess:
        """Start a process without standard input.

        Args:
            command: The program and its arguments.
            environment: All environment variables; None inherits this process's.
            stdout: Where its standard output goes, as for `subprocess.Popen`.
            stderr: Where its standard error goes, as for `subprocess.Popen`.

        Raises:
            OSError: The process cannot be started.
        """
        popen = subprocess.Popen(
            list(command),
            env=None if environment is None else dict(environment),
            stdin=subprocess.DEVNULL,
            stdout=stdout,
            stderr=stderr,
        )
        process = ManagedProcess(popen)
        self.processes.append(process)
        return process

    def terminate_all(self) -> None:
        """Send SIGTERM to all running processes, and SIGKILL to those that have not exited within 5 s."""
        running = [each.popen for each in self.processes if each.is_running()]
        for popen in running:
            popen.terminate()
        deadline = time.monotonic() + _TERMINATE_WAIT_S
        for popen in running:
            try:
                popen.wait(max(deadline - time.monotonic(), 0.0))
            except subprocess.TimeoutExpired:
                popen.kill()
                popen.wait()
