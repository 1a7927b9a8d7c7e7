"""Messages of the simulator to its instances, decoded.

Times are whole microseconds.  Like events, messages are slotted dataclasses to be treated as values.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sidecar.balancer.events import Endpoint, Event, RegistryUpdateKind
from sidecar.settings import Settings


@dataclass(slots=True)
class EndpointPage:
    """An endpoint list, to which later messages refer.

    Attributes:
        number: Number of the list; a later one with the same number replaces it.
        endpoints: Its entries.
    """

    number: int
    endpoints: Sequence[Endpoint]


@dataclass(slots=True)
class InstanceStarted:
    """An instance begins, with nothing learned.

    Attributes:
        instance: Name of the instance.
        seed: Seed of its random choices.
        settings: What it is told of its service.
    """

    instance: str
    seed: int
    settings: Settings


@dataclass(slots=True)
class InstanceStopped:
    """An instance ends, and what it learned is lost.

    Attributes:
        instance: Name of the instance.
    """

    instance: str


@dataclass(slots=True)
class RegistryUpdateReceived:
    """An instance gets an endpoint list, or learns that a call for it failed.

    Attributes:
        instance: Name of the instance.
        kind: How the list is to be read.
        page: Number of the list; None where a call failed.
        version: Version of the list.
    """

    instance: str
    kind: RegistryUpdateKind
    page: int | None = None
    version: int = 0


@dataclass(slots=True)
class EventReceived:
    """Any other event for an instance.

    Attributes:
        instance: Name of the instance.
        event: The event.
    """

    instance: str
    event: Event


Message = EventReceived | RegistryUpdateReceived | EndpointPage | InstanceStarted | InstanceStopped
