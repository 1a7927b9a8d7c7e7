"""The outcome of a demonstration, and its checks."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from http import HTTPStatus

from scale.histogram import LatencyHistogram
from scale.http_client import CallResult
from scale.standins.server import ServedBody

DRAINED_SERVER, KILLED_SERVER = 1, 2  # indexes in the list of servers
DRAIN_GRACE_S = 1.0  # drainGraceUs of the sample configuration
_SHED_STATUSES = frozenset((HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE))


@dataclass(frozen=True, slots=True)
class Phase:
    """A part of the run that ends with a fault or with the run itself."""

    name: str
    ends_at: float  # seconds on the monotonic clock


@dataclass(frozen=True, slots=True)
class ServerOutcome:
    """What one server received."""

    name: str
    requests: int  # attempts that were received completely
    rejected: int
    last_request_at: float  # seconds on the monotonic clock; 0.0 if there was none


@dataclass(slots=True)
class DemoOutcome:
    """The outcome of the run, and its checks."""

    results: Sequence[CallResult]
    phases: Sequence[Phase]
    servers: Sequence[ServerOutcome]
    drain_notified_at: float  # when the registry published the drain, in seconds on the monotonic clock
    exit_code: int | None  # of the sidecar after SIGTERM; None if it had to be killed
    log: Sequence[str] = field(default_factory=list)

    def served(self) -> list[CallResult]:
        """Return the calls with status 200."""
        return [each for each in self.results if each.status == HTTPStatus.OK]

    def shed(self) -> int:
        """Return how many calls got status 429 or 503."""
        return sum(each.status in _SHED_STATUSES for each in self.results)

    def failed(self) -> int:
        """Return how many calls got any other response, or none."""
        return len(self.results) - len(self.served()) - self.shed()

    def served_by_phase(self) -> list[Counter[str]]:
        """Return, for each phase, how many calls each server served."""
        counters: list[Counter[str]] = [Counter() for _ in self.phases]
        for result in self.served():
            phase_index = next(
                (index for index, phase in enumerate(self.phases) if result.sent_at < phase.ends_at),
                len(self.phases) - 1,
            )
            counters[phase_index][ServedBody.decode(result.body).server] += 1
        return counters

    def added_us(self) -> LatencyHistogram:
        """Return the latencies of the served calls without their servers' service times."""
        return LatencyHistogram(
            [each.latency_us - ServedBody.decode(each.body).service_time_us for each in self.served()]
        )

    def failed_checks(self) -> list[str]:
        """Return a message for each failed check; empty if all passed."""
        drained = self.servers[DRAINED_SERVER]
        served_at_end = self.served_by_phase()[-1]
        survivors = [
            each for index, each in enumerate(self.servers) if index not in (DRAINED_SERVER, KILLED_SERVER)
        ]
        checks = [
            (not self.results, "no calls were made"),
            (bool(self.shed()), f"{self.shed()} calls were shed"),
            (bool(self.failed()), f"{self.failed()} calls failed"),
            (
                drained.last_request_at > self.drain_notified_at + DRAIN_GRACE_S,
                f"{drained.name} got calls later than {DRAIN_GRACE_S:.0f} s after the registry drained it",
            ),
            (
                any(not served_at_end[each.name] for each in survivors),
                "a server that stayed up got no calls at the end",
            ),
            (self.exit_code != 0, f"the sidecar's exit code after SIGTERM was {self.exit_code}, not 0"),
        ]
        return [text for has_failed, text in checks if has_failed]
