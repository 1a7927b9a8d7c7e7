"""Formats the outcome of a demonstration as text."""

from __future__ import annotations

from scale.demo.outcome import DRAINED_SERVER, DemoOutcome
from scale.text_table import align_columns


def format_outcome(outcome: DemoOutcome) -> str:
    """Format the outcome as a table and a few sentences."""
    phases = outcome.served_by_phase()
    header = ["served by", *(phase.name for phase in outcome.phases), "rejected"]
    rows = [header]
    for server in outcome.servers:
        counts = [str(phase[server.name]) for phase in phases]
        rows.append([server.name, *counts, str(server.rejected)])
    lines = align_columns(rows, str.rjust)
    added = outcome.added_us()
    drained = outcome.servers[DRAINED_SERVER]
    stopped_after_ms = max((drained.last_request_at - outcome.drain_notified_at) * 1000, 0.0)
    attempts = sum(server.requests for server in outcome.servers)
    lines += [
        "",
        f"calls: {len(outcome.results)}, served {len(outcome.served())}, shed {outcome.shed()},"
        f" failed {outcome.failed()}; attempts that reached servers: {attempts}",
        f"{drained.name} got its last call {stopped_after_ms:.0f} ms after the registry had drained it",
        f"latency without the server's service time: {added.percentile(50) / 1000:.2f} ms at p50,"
        f" {added.percentile(99) / 1000:.2f} ms at p99",
        f"sidecar: exit code {outcome.exit_code} after SIGTERM; its log:",
        *(f"    {line}" for line in outcome.log),
    ]
    return "\n".join(lines)
