"""Reservation of loopback ports."""

from __future__ import annotations

import socket

import pytest

from scale.ports import ReservedAddress


def test_reserved_port_is_refused_until_a_server_listens_there() -> None:
    with ReservedAddress() as reserved:
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(reserved.address)
        with socket.create_server(reserved.address) as server, socket.create_connection(reserved.address):
            server.accept()[0].close()


def test_reserved_port_is_given_to_no_other_socket() -> None:
    with ReservedAddress() as reserved, socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(reserved.address)  # without SO_REUSEADDR, as for an outgoing connection
