"""Runs the sidecar program with its event loop timed, and writes the trace when it ends.

Run as `python -m scale.latency.traced_sidecar`, with RELAY_CONFIG as for `python -m sidecar`.  The program
itself is not changed: the timed functions are wrapped at run time.
"""

from __future__ import annotations

import gc
import sys
from pathlib import Path
from typing import Annotated

import typer

from scale.latency.experiment import Collector
from scale.latency.tracing import Tracer
from sidecar import __main__ as program
from sidecar.proxy.endpoint_list import EndpointList
from sidecar.proxy.registry_call import RegistryCall

_COLLECTION_DISABLED = (0, 1, 1)  # a first threshold of 0 disables collection


def set_collector(collector: Collector) -> None:
    """Replace the collection thresholds that the program is going to set; turn collection off at once."""
    if collector is Collector.DEFAULT:
        program.GC_THRESHOLDS = gc.get_threshold()
    elif collector is Collector.OFF:
        program.GC_THRESHOLDS = _COLLECTION_DISABLED
        gc.set_threshold(*_COLLECTION_DISABLED)  # the program sets its own only after it has been configured


def trace_registry(tracer: Tracer) -> None:
    """Time the parsing and the applying of registry responses."""
    timed_result = tracer.registry.timed(vars(RegistryCall)["result"])
    timed_apply = tracer.registry.timed(vars(EndpointList)["apply"])
    type.__setattr__(RegistryCall, "result", timed_result)
    type.__setattr__(EndpointList, "apply", timed_apply)


def main(
    trace: Annotated[Path, typer.Option(help="File that the trace is written to.")],
    collector: Annotated[Collector, typer.Option(help="Garbage collection thresholds.")] = Collector.PROGRAM,
) -> None:
    """Run one sidecar until SIGTERM."""
    set_collector(collector)
    tracer = Tracer()
    tracer.trace_event_loop()
    trace_registry(tracer)
    exit_code = program.main()
    tracer.write(trace)
    sys.exit(exit_code)


if __name__ == "__main__":
    typer.run(main)
