"""Why a client's request is rejected before it is handled: an error for each reason, with its HTTP status.

The message of an error is the body of the response, so clients see it.
"""

from __future__ import annotations

from http import HTTPStatus


class BadRequestError(Exception):
    """A request that can't be accepted.

    Attributes:
        status: Of the response.
    """

    status = HTTPStatus.BAD_REQUEST


class MalformedRequestError(BadRequestError):
    """What was sent can't be read as an HTTP request; the message says why."""


class AmbiguousFramingError(BadRequestError):
    """The end of the body is given twice, so that one may hide a request in the other."""

    def __init__(self) -> None:
        super().__init__("two ways to tell the body's end")


class DuplicateHeaderError(BadRequestError):
    """A header with one meaning is given twice."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} stands twice")


class MissingHeaderError(BadRequestError):
    """A required header is absent or empty."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} is missing")


class HeaderTooLongError(BadRequestError):
    """The value of a header is longer than allowed."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} is too long")


class NotANumberError(BadRequestError):
    """A header needs a plain decimal number."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name}: a number is needed")


class UnknownNameError(BadRequestError):
    """A header names what the settings don't list."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} is not known")


class UnexpectedBodyError(BadRequestError):
    """A request that is safe to repeat has a body."""

    def __init__(self) -> None:
        super().__init__("a body belongs to no request that is safe to repeat")


class BudgetTooLongError(BadRequestError):
    """The time budget exceeds the deadline of the service class."""

    def __init__(self) -> None:
        super().__init__("x-budget is longer than the deadline of the class")


class MethodNotAllowedError(BadRequestError):
    """The service class uses another method."""

    status = HTTPStatus.METHOD_NOT_ALLOWED

    def __init__(self) -> None:
        super().__init__("not the method of the class")


class PathNotFoundError(BadRequestError):
    """The path is not one that the proxy serves."""

    status = HTTPStatus.NOT_FOUND

    def __init__(self) -> None:
        super().__init__("no such path")


class RequestTimeoutError(BadRequestError):
    """The request did not arrive in time."""

    status = HTTPStatus.REQUEST_TIMEOUT

    def __init__(self) -> None:
        super().__init__("the request took too long to come")


class RequestIdInUseError(BadRequestError):
    """The request id is that of another request, so neither forwarding nor a retry is safe."""

    status = HTTPStatus.CONFLICT

    def __init__(self) -> None:
        super().__init__("x-call-id is that of another request, which is out or may have run")


class BodyTooLargeError(BadRequestError):
    """The body is longer than allowed."""

    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE

    def __init__(self) -> None:
        super().__init__("the body is too large")


class InternalError(BadRequestError):
    """A defect of this program; the request itself may be fine."""

    status = HTTPStatus.INTERNAL_SERVER_ERROR

    def __init__(self) -> None:
        super().__init__("internal error")
