"""Client requests: parsing them, checking them against the settings, and the interface of their handler."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Protocol

from sidecar.proxy.http_messages import Headers
from sidecar.proxy.request_errors import (
    BudgetTooLongError,
    DuplicateHeaderError,
    HeaderTooLongError,
    MethodNotAllowedError,
    MissingHeaderError,
    NotANumberError,
    UnexpectedBodyError,
    UnknownNameError,
)
from sidecar.proxy.request_head import RequestHead
from sidecar.settings import Idempotency, ServiceClass, Settings

API_PATH = b"/api"
_MAX_REQUEST_ID_LENGTH = 256  # characters
_BUDGET_TOLERANCE = 1.1  # factor by which rounding may make a budget exceed the deadline of its class
_REQUIRED_HEADERS = (b"x-call-id", b"x-call-class", b"x-budget")
_NUMBER_PATTERN = re.compile(r"[0-9]{1,10}(\.[0-9]{1,9})?", re.ASCII)


class Responder(Protocol):
    """Sends the response of one request to its client."""

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write the complete response; to be called once for each request."""

    def is_disconnected(self) -> bool:
        """Return whether the connection is closed, even if a close by the client has not been read yet."""


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request as the client sent it.

    Attributes:
        method: The HTTP method.
        target: The path and the query.
        forwarded_headers: The headers to forward, each as an encoded line with its line break.
        has_host: Whether these include a Host header.
        body: The complete body.
        request_id: The client's id of the request, unique among the requests in flight.
        service_class: The service class, as in the settings when the request arrived.
        tenant: The tenant that sent the request; None if it has not named one or the settings list none.
        key: Identifies the data that the request is about, for cache affinity and ordering, if any.
        budget_us: The remaining time budget when the request arrived, in microseconds.
        cost_us: The client's estimate of the processing time, in microseconds; None if it gave none.
        is_retry: Whether the client has sent this request before.
        responder: Sends the response to the client.
    """

    method: bytes
    target: bytes
    forwarded_headers: bytes
    has_host: bool
    body: bytes
    request_id: str
    service_class: ServiceClass
    tenant: str | None
    key: int | None
    budget_us: int
    cost_us: int | None
    is_retry: bool
    responder: Responder


class RequestHandler(Protocol):
    """Handles the requests that have been read from client connections."""

    def handle_request(self, request: ClientRequest) -> None:
        """Process a request, which is answered later through its responder."""

    def handle_disconnect(self, request: ClientRequest) -> None:
        """Drop a request whose client has disconnected, or that its connection has failed already."""

    def is_request_id_in_use(self, request_id: str) -> bool:
        """Return whether a request with this id is in progress, or may have been executed recently."""

    def is_ready(self) -> bool:
        """Return whether the proxy is ready for requests."""


def retry_after_header(wait_us: int) -> Headers:
    """Return the Retry-After header for a wait in microseconds; no header for a wait of 0."""
    return [(b"Retry-After", b"%.3f" % (wait_us / 1e6))] if wait_us else []


def parse_request(head: RequestHead, body: bytes, settings: Settings, responder: Responder) -> ClientRequest:
    """Parse a request and check it against the settings.

    Args:
        head: The request line and the headers.
        body: The complete body.
        settings: The settings to check against.
        responder: Sends the response to the client.

    Raises:
        RequestError: The request is malformed or not allowed.
    """
    values = _parse_headers(head)
    cost = values.get(b"x-call-cost")
    request = ClientRequest(
        method=head.method,
        target=head.target,
        forwarded_headers=head.forwarded_headers,
        has_host=head.has_host,
        body=body,
        request_id=values[b"x-call-id"],
        service_class=_find_service_class(values[b"x-call-class"], settings),
        tenant=values.get(b"x-caller") or None,
        key=_parse_key(head.target),
        budget_us=int(_parse_number(values[b"x-budget"], "x-budget") * 1e6),
        cost_us=int(_parse_number(cost, "x-call-cost")) if cost else None,
        is_retry=values.get(b"x-again") == "1",
        responder=responder,
    )
    _check_service_class(request, has_idempotency_key=bool(values.get(b"idempotency-key")))
    _check_tenant(request, settings)
    return request


def _parse_headers(head: RequestHead) -> dict[bytes, str]:
    if head.duplicate is not None:
        raise DuplicateHeaderError(head.duplicate.decode())
    values = {name: value.decode("latin-1").strip() for name, value in head.values.items()}
    for name in _REQUIRED_HEADERS:
        if not values.get(name):
            raise MissingHeaderError(name.decode())
    if len(values[b"x-call-id"]) > _MAX_REQUEST_ID_LENGTH:
        raise HeaderTooLongError("x-call-id")
    return values


def _find_service_class(name: str, settings: Settings) -> ServiceClass:
    for service_class in settings.classes:
        if service_class.name == name:
            return service_class
    raise UnknownNameError("x-call-class")


def _check_service_class(request: ClientRequest, *, has_idempotency_key: bool) -> None:
    """Check the method, the body, the idempotency key and the budget against the service class."""
    service_class = request.service_class
    is_safe = service_class.idempotency is Idempotency.SAFE
    if request.method != (b"GET" if is_safe else b"POST"):
        raise MethodNotAllowedError
    if is_safe and request.body:
        raise UnexpectedBodyError
    if service_class.idempotency is Idempotency.KEYED and not has_idempotency_key:
        raise MissingHeaderError("idempotency-key")  # without it, servers could not deduplicate the attempts
    if request.budget_us > _BUDGET_TOLERANCE * service_class.deadline_us:
        raise BudgetTooLongError


def _check_tenant(request: ClientRequest, settings: Settings) -> None:
    """Reject an unknown tenant if the settings list tenants; otherwise clear the tenant."""
    if not settings.tenants:
        request.tenant = None
    elif request.tenant is not None and all(each.name != request.tenant for each in settings.tenants):
        raise UnknownNameError("x-caller")


def _parse_number(text: str, name: str) -> float:
    if not _NUMBER_PATTERN.fullmatch(text):
        raise NotANumberError(name)
    return float(text)


def _parse_key(target: bytes) -> int | None:
    """Return the last path segment as a number, from hexadecimal digits or else from its bytes, if any."""
    last = target.partition(b"?")[0].removeprefix(API_PATH).rpartition(b"/")[2]
    if not last:
        return None
    try:
        return int(last, 16)
    except ValueError:
        return int.from_bytes(last, "big")
