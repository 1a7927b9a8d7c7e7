"""Routes a client's request by its path: to the handler, or to a response that needs no server."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus

from sidecar.proxy.client_request import (
    API_PATH,
    ClientRequest,
    RequestHandler,
    Responder,
    parse_request,
    retry_after_header,
)
from sidecar.proxy.http_messages import Headers
from sidecar.proxy.request_errors import PathNotFoundError, RequestIdInUseError
from sidecar.proxy.request_reader import ReceivedRequest
from sidecar.settings import Settings

_READINESS_PATH = b"/health/ready"


@dataclass(frozen=True, slots=True)
class ImmediateResponse:
    """A response without a body to a request that is not forwarded.

    Attributes:
        status: Status code.
        headers: Names and values.
        close: Whether the connection is closed after it.
    """

    status: int
    headers: Headers = field(default_factory=list)
    close: bool = False


def route_request(
    received: ReceivedRequest,
    handler: RequestHandler,
    settings: Settings,
    responder: Responder,
    *,
    shed_load: bool,
) -> ClientRequest | ImmediateResponse:
    """Return the request to pass to the handler, or the response to one that the handler does not get.

    Args:
        received: The request.
        handler: Handles requests to the API.
        settings: The settings to check the request against.
        responder: Sends the response to the client.
        shed_load: Whether to reject requests to the API because of overload.

    Raises:
        RequestError: The request is malformed or not allowed.
    """
    path = received.path
    if path == _READINESS_PATH:
        return ImmediateResponse(HTTPStatus.OK if handler.is_ready() else HTTPStatus.SERVICE_UNAVAILABLE)
    if path != API_PATH and not path.startswith(API_PATH + b"/"):
        raise PathNotFoundError
    if shed_load:
        _check_request_id(received.request_id, handler)
        return _overload_response(settings)
    request = parse_request(received.head, received.body, settings, responder)
    _check_request_id(request.request_id, handler)
    return request


def _overload_response(settings: Settings) -> ImmediateResponse:
    limits = settings.limits
    wait_us = limits.max_retry_after_us if limits.retry_after else 0
    return ImmediateResponse(HTTPStatus.SERVICE_UNAVAILABLE, retry_after_header(wait_us), close=True)


def _check_request_id(request_id: str, handler: RequestHandler) -> None:
    """Check that no request with the same id may be running.

    Otherwise neither forwarding the request nor a 503 response, which invites a retry, is safe.

    Raises:
        RequestIdInUseError: A request with this id is in progress, or may have been executed recently.
    """
    if handler.is_request_id_in_use(request_id):
        raise RequestIdInUseError
