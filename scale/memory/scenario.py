"""The load of one run, drawn from its seed: the sidecar's limits, the groups of peers, and the kills."""

from __future__ import annotations

import random
from enum import StrEnum

from pydantic import BaseModel, ConfigDict

MEMORY_LIMITS_MB = (32, 80, 192)
DESCRIPTOR_LIMITS = (256, 384, 1024)
RESERVED_DESCRIPTORS = 64  # of a sidecar, which its clients cannot use
MAX_FIELDS = 250  # the sidecar rejects more than 256 in one section
MAX_SECTION_BYTES = 60_000
MAX_GROUPS = 3
MAX_KILLS = 2
_CROWD = 1.25  # peers for each connection that the sidecar accepts, where they are a crowd
_LEAST_MEMORY_SHARE = 0.5  # of the seeds, which play the least memory limit
_SLOW_SHARE = 1 / 3  # of the groups, which write slowly
_KILL_SHARE = 0.5  # of the seeds, which kill the sidecar
_UNLIMITED_WRITE_BYTES = 1 << 20


class PeerState(StrEnum):
    """What the connections of a group of peers have in common."""

    SILENT = "silent"
    HEAD_INCOMPLETE = "head incomplete"
    BODY_INCOMPLETE = "body incomplete"
    IN_FLIGHT = "in flight"
    INCOMPLETE_BEHIND = "incomplete behind one in flight"
    COMPLETE_BEHIND = "complete behind one in flight"
    RESPONSE_UNREAD = "response unread"
    RESPONSE_INCOMPLETE = "response incomplete"
    REJECTED = "rejected and sending"


class DataKind(StrEnum):
    """What the data of a group consists of mostly."""

    SHORT_FIELDS = "short fields"
    LONG_FIELDS = "long fields"
    FIELDS_OF_WORDS = "fields of words"
    CHUNKS = "chunks"
    TRAILERS = "trailers"
    BODY = "body"


class RegistryFault(StrEnum):
    """How the registry answers during a run."""

    NONE = "none"
    LARGE_LIST = "large list"
    LARGE_INCOMPLETE = "large and incomplete"


class _Drawn(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class PeerGroup(_Drawn):
    """Peers that all send the same.

    Attributes:
        state: The state that each of their connections reaches.
        kind: What they, or the servers that answer them, send.
        peers: How many there are.
        field_bytes: Length of each header field or chunk, in bytes.
        body_bytes: Length of the body, in bytes.
        write_bytes: How much is written at once, in bytes.
        pause_s: Seconds between two writes.
        return_s: Seconds until a peer whose connection has ended opens the next one.
    """

    state: PeerState
    kind: DataKind
    peers: int
    field_bytes: int
    body_bytes: int
    write_bytes: int
    pause_s: float
    return_s: float

    def server_path(self) -> str:
        """Return the request path that makes the stand-in servers answer as this group wants."""
        if self.state is PeerState.RESPONSE_INCOMPLETE:
            return f"/api/{self.kind.name.lower()}-{self.field_bytes}"
        return "/api/large" if self.state is PeerState.RESPONSE_UNREAD else "/api/hang"


class Kill(_Drawn):
    """A SIGKILL under load, and the start of the next process.

    Attributes:
        at_s: Seconds from the start of the load.
        restart_s: Seconds from the kill to the next start.
    """

    at_s: float
    restart_s: float


class MemoryScenario(_Drawn):
    """The load of one run.

    Attributes:
        seed: What it was drawn from.
        memory_mb: The sidecar's memory limit, in MiB.
        descriptors: The sidecar's limit on descriptors.
        duration_s: Seconds that the load lasts.
        groups: The groups of peers.
        registry: How the registry answers.
        kills: The kills, in order.
    """

    seed: int
    memory_mb: int
    descriptors: int
    duration_s: float
    groups: tuple[PeerGroup, ...]
    registry: RegistryFault
    kills: tuple[Kill, ...]

    def describe(self) -> str:
        """Return one line of text."""
        groups = "; ".join(
            f"{each.peers} {each.state.value}, {each.kind.value} of {each.field_bytes} B, "
            f"body {each.body_bytes}, {each.write_bytes} B/{each.pause_s:.3f} s"
            for each in self.groups
        )
        return (
            f"{self.memory_mb} MB, {self.descriptors} descriptors, {groups}, "
            f"registry {self.registry.value}, {len(self.kills)} kills"
        )


def draw_scenario(seed: int, duration_s: float, memory_mb: int | None = None) -> MemoryScenario:
    """Draw a scenario; the same arguments give the same one.

    Args:
        seed: The seed.
        duration_s: Seconds that the load lasts.
        memory_mb: The memory limit; None: drawn, the least one for half of the seeds.
    """
    rng = random.Random(seed)
    drawn_mb = MEMORY_LIMITS_MB[0] if rng.random() < _LEAST_MEMORY_SHARE else rng.choice(MEMORY_LIMITS_MB)
    descriptors = rng.choice(DESCRIPTOR_LIMITS)
    connections = (descriptors - RESERVED_DESCRIPTORS) // 2
    peers = int(connections * rng.choice((0.3, 1.0, 1.0, _CROWD)))
    group_count = rng.randint(1, MAX_GROUPS)
    groups = tuple(_draw_group(rng, max(peers // group_count, 1)) for _ in range(group_count))
    return MemoryScenario(
        seed=seed,
        memory_mb=memory_mb or drawn_mb,
        descriptors=descriptors,
        duration_s=duration_s,
        groups=groups,
        registry=rng.choice((RegistryFault.NONE, RegistryFault.NONE, *RegistryFault)),
        kills=_draw_kills(rng, duration_s),
    )


def _draw_group(rng: random.Random, peers: int) -> PeerGroup:
    slow = rng.random() < _SLOW_SHARE
    return PeerGroup(
        state=rng.choice(list(PeerState)),
        kind=rng.choice(list(DataKind)),
        peers=peers,
        field_bytes=rng.choice((6, 6, 20, 100, 240, 4_000, 50_000)),
        body_bytes=rng.choice((100, 4_000, 60_000, 65_000)),
        write_bytes=rng.choice((1, 100, 2_000)) if slow else _UNLIMITED_WRITE_BYTES,
        pause_s=rng.choice((0.005, 0.05)) if slow else 0.0,
        return_s=rng.choice((0.0, 0.05, 0.5)),
    )


def _draw_kills(rng: random.Random, duration_s: float) -> tuple[Kill, ...]:
    if rng.random() >= _KILL_SHARE:
        return ()
    times = sorted(rng.uniform(0.2, 0.7) * duration_s for _ in range(rng.randint(1, MAX_KILLS)))
    return tuple(Kill(at_s=each, restart_s=rng.choice((0.0, 0.3, 1.0))) for each in times)
