"""Decoded messages from the simulator to its instances.

Times are whole microseconds.  Like events, messages are slotted dataclasses that are treated as immutable.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sidecar.balancer.events import Endpoint, Event, RegistryUpdateKind
from sidecar.settings import Settings


@dataclass(slots=True)
class EndpointPage:
    """An endpoint list to which later messages refer by its number.

    Attributes:
        number: Number of the list; a later list with the same number replaces it.
        endpoints: Entries of the list.
    """

    number: int
    endpoints: Sequence[Endpoint]


@dataclass(slots=True)
class InstanceStarted:
    """An instance starts, without any learned state.

    Attributes:
        instance: Name of the instance.
        seed: Seed of the balancer's random choices.
        settings: Settings of the balancer.
    """

    instance: str
    seed: int
    settings: Settings


@dataclass(slots=True)
class InstanceStopped:
    """An instance stops, and its learned state is lost.

    Attributes:
        instance: Name of the instance.
    """

    instance: str


@dataclass(slots=True)
class RegistryUpdateReceived:
    """An instance receives an endpoint list, or its request for the list failed.

    Attributes:
        instance: Name of the instance.
        kind: Whether the list is complete, a delta or cached, or the request failed.
        page: Number of the list; None if the request failed.
        version: Version of the list.
    """

    instance: str
    kind: RegistryUpdateKind
    page: int | None = None
    version: int = 0


@dataclass(slots=True)
class EventReceived:
    """Any other event of an instance.

    Attributes:
        instance: Name of the instance.
        event: The event.
    """

    instance: str
    event: Event


Message = EventReceived | RegistryUpdateReceived | EndpointPage | InstanceStarted | InstanceStopped
