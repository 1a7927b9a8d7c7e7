"""Traces, inside a sidecar's process, what may block its event loop, and reads such traces.

All times are seconds on the machine's monotonic clock, so that they can be compared with the client's.
"""

from __future__ import annotations

import asyncio
import functools
import gc
import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, ParamSpec, TypeVar

import numpy as np
import numpy.typing as npt

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")

FloatArray = npt.NDArray[np.float64]
Span = tuple[float, float, float]  # start, end, and the thread's CPU seconds between them


class SpanLog:
    """Spans of one kind, in the order in which they ended."""

    def __init__(self) -> None:
        self.spans: list[Span] = []

    def timed(self, function: Callable[Parameters, Result]) -> Callable[Parameters, Result]:
        """Wrap a function so that each of its calls is recorded."""

        @functools.wraps(function)
        def timed_call(*arguments: Parameters.args, **keywords: Parameters.kwargs) -> Result:
            started_at, cpu_started_at = time.monotonic(), time.thread_time()
            try:
                return function(*arguments, **keywords)
            finally:
                self.spans.append((started_at, time.monotonic(), time.thread_time() - cpu_started_at))

        return timed_call


class CollectionLog(SpanLog):
    """Spans of garbage collections."""

    def __init__(self) -> None:
        super().__init__()
        self._collection_started = (0.0, 0.0)

    def install(self) -> None:
        """Record every collection from now on."""
        gc.callbacks.append(self._record)

    def uninstall(self) -> None:
        """Stop recording.

        Raises:
            ValueError: Recording was not installed.
        """
        gc.callbacks.remove(self._record)

    def _record(self, phase: str, _info: dict[str, int]) -> None:
        if phase == "start":
            self._collection_started = (time.monotonic(), time.thread_time())
        else:
            started_at, cpu_started_at = self._collection_started
            self.spans.append((started_at, time.monotonic(), time.thread_time() - cpu_started_at))


class Tracer:
    """Records the spans of a sidecar's process."""

    def __init__(self) -> None:
        self.callbacks = SpanLog()  # event loop callbacks; each blocks all others
        self.collections = CollectionLog()
        self.registry = SpanLog()  # parsing and applying of registry responses

    def trace_event_loop(self) -> None:
        """Record each event loop callback and each garbage collection from now on."""
        handle: Any = asyncio.Handle
        handle._run = self.callbacks.timed(handle._run)
        self.collections.install()

    def write(self, path: Path) -> None:
        """Write the trace as JSON."""
        spans = {"callbacks": self.callbacks, "collections": self.collections, "registry": self.registry}
        path.write_text(json.dumps({name: log.spans for name, log in spans.items()}), encoding="utf-8")


class BusyTime:
    """Computes how much of an interval is covered by non-overlapping spans."""

    def __init__(self, spans: list[Span]) -> None:
        ordered = np.array(sorted(spans), dtype=np.float64).reshape(-1, 3)
        self._edges = ordered[:, :2].ravel()
        self._wall = self._cumulative(ordered[:, 1] - ordered[:, 0])
        self._cpu = self._cumulative(ordered[:, 2])

    @staticmethod
    def _cumulative(lengths: FloatArray) -> FloatArray:
        """Return the cumulative length at each start and end of a span; it grows only within spans."""
        after = np.cumsum(lengths)
        return np.column_stack((after - lengths, after)).ravel()

    def wall_s(self, starts: FloatArray, ends: FloatArray) -> FloatArray:
        """Return the wall-clock seconds of each interval that are covered by spans."""
        return self._between(self._wall, starts, ends)

    def cpu_s(self, starts: FloatArray, ends: FloatArray) -> FloatArray:
        """Return the CPU seconds in each interval, assuming that they are spread evenly over each span."""
        return self._between(self._cpu, starts, ends)

    def _between(self, cumulative: FloatArray, starts: FloatArray, ends: FloatArray) -> FloatArray:
        if not self._edges.size:
            return np.zeros_like(starts)
        until_end: FloatArray = np.interp(ends, self._edges, cumulative)
        return until_end - np.interp(starts, self._edges, cumulative)


class Trace:
    """A recorded trace, indexed to compute the time in intervals."""

    def __init__(self, spans: dict[str, list[Span]]) -> None:
        self.callbacks = BusyTime(spans["callbacks"])
        self.collections = BusyTime(spans["collections"])
        self.registry = BusyTime(spans["registry"])
        self.collections_in_registry = BusyTime(_spans_within(spans["collections"], spans["registry"]))
        self.collection_count = len(spans["collections"])
        self.registry_count = len(spans["registry"])  # two for each response: parsed, then applied

    @staticmethod
    def read(path: Path) -> Trace:
        """Read a trace written by `Tracer.write`.

        Raises:
            OSError: The file cannot be read.
            ValueError: The file is not JSON.
        """
        return Trace(json.loads(path.read_text(encoding="utf-8")))


def _spans_within(inner: list[Span], outer: list[Span]) -> list[Span]:
    """Return the inner spans that lie within one of the outer spans."""
    return [
        span
        for span in inner
        if any(started_at <= span[0] and span[1] <= ended for started_at, ended, _ in outer)
    ]
