"""Processes that an experiment starts, each ended by its id when the experiment is over."""

from __future__ import annotations

import subprocess
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from types import TracebackType
from typing import IO, Self

import psutil

_TERMINATE_WAIT_S = 5.0  # how long a process may take to end after SIGTERM, before SIGKILL


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used by a moment."""

    at_s: float  # monotonic clock
    cpu_s: float  # user and system time since its start
    memory_bytes: int  # resident set


class ManagedProcess:
    """One process that was started."""

    def __init__(self, popen: subprocess.Popen[bytes]) -> None:
        self.popen = popen
        self._process = psutil.Process(popen.pid)

    @property
    def pid(self) -> int:
        """Its process id."""
        return self.popen.pid

    def is_running(self) -> bool:
        """Whether it has not ended yet."""
        return self.popen.poll() is None

    def usage(self) -> Usage:
        """What it has used so far; raise psutil.NoSuchProcess once it is gone."""
        with self._process.oneshot():
            times = self._process.cpu_times()
            memory = self._process.memory_info().rss
        return Usage(time.monotonic(), times.user + times.system, memory)


class ProcessGroup:
    """Starts processes, and ends all that still run when the block is left, whatever the reason."""

    def __init__(self) -> None:
        self.processes: list[ManagedProcess] = []

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.end_all()

    def start(
        self,
        command: Sequence[str],
        environment: Mapping[str, str] | None = None,
        stdout: int | IO[bytes] | None = subprocess.DEVNULL,
        stderr: int | IO[bytes] | None = subprocess.DEVNULL,
    ) -> ManagedProcess:
        """Start a process with no standard input; raise OSError if it cannot be started."""
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

    def end_all(self) -> None:
        """Ask all to end with SIGTERM, and kill those that do not within 5 s."""
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
