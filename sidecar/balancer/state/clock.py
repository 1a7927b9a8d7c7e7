"""The time of the event being handled."""


class Clock:
    """A clock that stands still while an event is handled.

    All parts of the balancer read the same clock, so they agree on the time of an event.

    Attributes:
        now: The host's clock when the event happened, in microseconds.
    """

    __slots__ = ("now",)

    def __init__(self) -> None:
        self.now = 0
