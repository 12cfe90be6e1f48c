"""Sends one order to one engine.

The connection is established first. Then the fencing number is read, and the order is
written immediately. A connection carries one order and is closed after its answer.
"""

import http.client
import json
import socket
import struct
from collections.abc import Callable
from typing import Any, Final

import eventlet
import urllib3.exceptions

from bilberrydrum.http1 import errors
from bilberrydrum.requests import connections
from bilberrydrum.weights import orders

_MAX_ANSWER_BYTES: Final = 64 * 1024
_MAX_DETAIL_CHARACTERS: Final = 200
# TCP keep-alive probes detect a lost host while an answer is awaited: the interval
# between probes in seconds, and the number of unanswered probes after which the
# connection fails.
_PROBE_SECONDS: Final = 2
_N_PROBES: Final = 3

# Returns the fencing number to send with an order, or None if it must not be sent.
GetFencingNumber = Callable[[orders.Order], int | None]


def send(
    order: orders.Order,
    fencing_number: GetFencingNumber,
    flight_seconds: float,
    answer_seconds: float,
) -> orders.Outcome:
    """Send `order` and return its outcome.

    Parameters
    ----------
    order : orders.Order
        The order.
    fencing_number : callable
        Called once the connection is established, immediately before the order is
        written.
    flight_seconds : float
        Longest time in seconds that the order may take to reach the engine.
    answer_seconds : float
        Longest time in seconds that the engine may take to execute the order.
    """
    connection = connection_to(order.address, flight_seconds)
    try:
        timeout = eventlet.Timeout(answer_seconds)
        try:
            return _exchange(connection, order, fencing_number)
        except eventlet.Timeout as error:
            if error is not timeout:
                raise
            return orders.Lost(f"no answer within {answer_seconds:g} s")
        finally:
            timeout.cancel()
    finally:
        _abort(connection)


def connection_to(address: str, flight_seconds: float) -> connections.Connection:
    """Return a connection to an engine, not established yet."""
    host, _, port = address.rpartition(":")
    # A process that is suspended or loses its network after it wrote an order cannot
    # withdraw the order: the kernel would retransmit it for many minutes, and it could
    # reach an engine that ignores fencing numbers long after the orders of a newer
    # controller. TCP_USER_TIMEOUT makes the kernel itself drop data that is not
    # acknowledged within `flight_seconds`.
    user_timeout = (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(flight_seconds * 1000),
    )
    probes = [
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _N_PROBES),
    ]
    return connections.Connection(
        host,
        int(port),
        timeout=flight_seconds,
        socket_options=[
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            user_timeout,
            *probes,
        ],
    )


def _exchange(
    connection: connections.Connection,
    order: orders.Order,
    fencing_number: GetFencingNumber,
) -> orders.Outcome:
    try:
        connection.connect()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        return orders.Failed(f"could not connect: {_describe(error)}")
    # Connecting may have taken long, or this process may have been suspended, so the
    # lease may have expired. It is therefore checked immediately before the write.
    number = fencing_number(order)
    if number is None:
        return orders.NotSent()
    body = json.dumps(order.body(number)).encode()
    try:
        connection.request(
            "POST",
            "/orders",
            body,
            {"Content-Type": "application/json"},
        )
        response = connection.getresponse()
        data = response.read(_MAX_ANSWER_BYTES)
    except (
        http.client.HTTPException,
        urllib3.exceptions.HTTPError,
        errors.MessageError,
        OSError,
        ValueError,
    ) as error:
        return orders.Lost(_describe(error))
    return outcome_of(response.status, response.headers.get("Retry-After"), data)


def outcome_of(status: int, retry_after: str | None, body: bytes) -> orders.Outcome:
    """Return the outcome of an order from the engine's HTTP answer."""
    if status == 200:
        return orders.Done()
    if status == 409 and _json(body).get("reason") == orders.STALE_FENCING:
        return orders.Fenced()
    if status == 429 or (status == 503 and retry_after is not None):
        return orders.RateLimited(_seconds(retry_after))
    detail = body[:_MAX_DETAIL_CHARACTERS].decode("utf-8", "replace")
    return orders.Failed(f"{status} {detail}")


def _json(body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def _seconds(retry_after: str | None) -> float:
    try:
        seconds = float(retry_after or 0)
    except ValueError:
        return 0.0
    return seconds if 0 <= seconds < float("inf") else 0.0


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"[:_MAX_DETAIL_CHARACTERS]


def _abort(connection: connections.Connection) -> None:
    # Closing with a reset discards data that has not been sent yet. After an orderly
    # close the kernel would still deliver the order.
    if connection.sock is not None:
        linger = struct.pack("ii", 1, 0)
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()
