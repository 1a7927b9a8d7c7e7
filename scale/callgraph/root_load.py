"""The load on a call graph: root calls at random times."""

from __future__ import annotations

import numpy as np

from scale.callgraph.graph import CallGraph
from scale.callgraph.loop import MICROSECONDS_PER_SECOND, VirtualEventLoop
from scale.callgraph.measure import RootCall, RootCallRecorder
from scale.callgraph.server import CallResult


class RootLoad:
    """Makes root calls at random times from random root callers; those in a partitioned zone make none."""

    def __init__(
        self, loop: VirtualEventLoop, graph: CallGraph, calls_per_s: float, deadline_us: int, seed: int
    ) -> None:
        self.recorder = RootCallRecorder(deadline_us)
        self._loop = loop
        self._graph = graph
        self._mean_interval_us = MICROSECONDS_PER_SECOND / calls_per_s
        self._deadline_us = deadline_us
        self._random = np.random.default_rng([seed, 1])

    def schedule_next(self) -> None:
        """Schedule the next root call."""
        self._loop.call_later(int(self._random.exponential(self._mean_interval_us)), self._make_call)

    def _make_call(self) -> None:
        self.schedule_next()
        callers = self._graph.root_callers
        caller = callers[int(self._random.integers(len(callers)))]
        if caller.location.zone in self._graph.network.partitioned_zones:
            return  # the caller's application is in the partitioned zone, too
        call = self.recorder.offer(self._loop.now)
        caller.call(self._deadline_us, lambda result: self._record_end(call, result))

    def _record_end(self, call: RootCall, result: CallResult) -> None:
        call.ended_at = self._loop.now
        call.result = result
