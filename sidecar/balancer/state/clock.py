"""The time of the event being handled."""


class Clock:
    """A clock that does not advance while an event is handled.

    All parts of the balancer share it, so they use the same time for an event.

    Attributes:
        now: The time of the host's clock at which the host reported the event, in microseconds.
    """

    __slots__ = ("now",)

    def __init__(self) -> None:
        self.now = 0
