"""Errors for which a client's request is rejected before it is handled, with their HTTP statuses.

The message of an error is sent to the client as the body of the response.
"""

from __future__ import annotations

from http import HTTPStatus


class RequestError(Exception):
    """Base of the errors for which a request is rejected.

    Attributes:
        status: HTTP status of the response.
    """

    status = HTTPStatus.BAD_REQUEST


class MalformedRequestError(RequestError):
    """The received data is not a valid HTTP request; the message says why."""


class AmbiguousFramingError(RequestError):
    """The body length is given in two ways, which would allow request smuggling."""

    def __init__(self) -> None:
        super().__init__("two ways to tell the body's end")


class DuplicateHeaderError(RequestError):
    """A header that must be unique occurs more than once."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} stands twice")


class MissingHeaderError(RequestError):
    """A required header is absent or empty."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} is missing")


class HeaderTooLongError(RequestError):
    """The value of a header exceeds the maximum length."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} is too long")


class NotANumberError(RequestError):
    """The value of a header is not a plain decimal number."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name}: a number is needed")


class UnknownNameError(RequestError):
    """A header names a service class or a tenant that the settings don't list."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} is not known")


class UnexpectedBodyError(RequestError):
    """A request of a class that is safe to repeat has a body."""

    def __init__(self) -> None:
        super().__init__("a body belongs to no request that is safe to repeat")


class BudgetTooLongError(RequestError):
    """The time budget exceeds the deadline of the service class."""

    def __init__(self) -> None:
        super().__init__("x-budget is longer than the deadline of the class")


class MethodNotAllowedError(RequestError):
    """The service class requires another method."""

    status = HTTPStatus.METHOD_NOT_ALLOWED

    def __init__(self) -> None:
        super().__init__("not the method of the class")


class PathNotFoundError(RequestError):
    """The proxy does not serve the path."""

    status = HTTPStatus.NOT_FOUND

    def __init__(self) -> None:
        super().__init__("no such path")


class RequestTimeoutError(RequestError):
    """The request did not arrive completely within the time limit."""

    status = HTTPStatus.REQUEST_TIMEOUT

    def __init__(self) -> None:
        super().__init__("the request took too long to come")


class ParsingTimeoutError(RequestTimeoutError):
    """The request arrived in so many small chunks that its time limit passed before all were parsed."""

    def __init__(self) -> None:
        RequestError.__init__(self, "the request came in too many small chunks")


class RequestIdInUseError(RequestError):
    """The request id is that of another request, so neither forwarding it nor a retry is safe."""

    status = HTTPStatus.CONFLICT

    def __init__(self) -> None:
        super().__init__("x-call-id is that of another request, which is out or may have run")


class BodyTooLargeError(RequestError):
    """The body exceeds the maximum size."""

    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE

    def __init__(self) -> None:
        super().__init__("the body is too large")


class MemoryShortageError(RequestError):
    """The request is incomplete, and its data is needed by others."""

    status = HTTPStatus.SERVICE_UNAVAILABLE

    def __init__(self) -> None:
        super().__init__("short of memory for incomplete requests")


class InternalError(RequestError):
    """An unexpected error of this program; the request itself may be valid."""

    status = HTTPStatus.INTERNAL_SERVER_ERROR

    def __init__(self) -> None:
        super().__init__("internal error")
