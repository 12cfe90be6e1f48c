"""Sending one order to one engine.

The connection is made first; then the fencing number is asked for, and the order
written at once. A connection carries one order and is closed after its answer.
"""

import json
import socket
import struct
from collections.abc import Callable
from typing import Any, Final

import eventlet
import urllib3.connection
import urllib3.exceptions

from bilberrydrum.weights import orders

_MAX_ANSWER_BYTES: Final = 64 * 1024
_MAX_DETAIL_CHARACTERS: Final = 200
# A host that is gone is noticed by unanswered probes.
_PROBE_SECONDS: Final = 2
_N_PROBES: Final = 3

# Returns the number to send under now, or None if this order must not be sent.
FencingNumber = Callable[[orders.Order], int | None]


def send(
    order: orders.Order,
    fencing_number: FencingNumber,
    flight_seconds: float,
    answer_seconds: float,
) -> orders.Outcome:
    """Send `order` and wait for its end.

    Parameters
    ----------
    order : orders.Order
        The order.
    fencing_number : callable
        Asked when the connection stands, immediately before the first byte goes out.
    flight_seconds : float
        Longest time that the order may be on its way to the engine.
    answer_seconds : float
        Longest time that the engine may take to carry it out.
    """
    connection = connection_to(order.address, flight_seconds)
    try:
        timeout = eventlet.Timeout(answer_seconds)
        try:
            return _exchange(connection, order, fencing_number)
        except eventlet.Timeout as error:
            if error is not timeout:
                raise
            return orders.Lost("no answer in time")
        finally:
            timeout.cancel()
    finally:
        _abort(connection)


def connection_to(
    address: str, flight_seconds: float
) -> urllib3.connection.HTTPConnection:
    """Return a connection to an engine, not made yet."""
    host, _, port = address.rpartition(":")
    # A process that is stopped, or cut off, after it wrote an order cannot take the
    # order back: the kernel would go on sending it for many minutes, and it could
    # reach an engine that ignores fencing numbers long after a newer controller's
    # orders. The kernel itself gives the order up after the longest flight.
    flight = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(flight_seconds * 1000))
    probes = [
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _N_PROBES),
    ]
    return urllib3.connection.HTTPConnection(
        host,
        int(port),
        timeout=flight_seconds,
        socket_options=[(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1), flight, *probes],
    )


def _exchange(
    connection: urllib3.connection.HTTPConnection,
    order: orders.Order,
    fencing_number: FencingNumber,
) -> orders.Outcome:
    try:
        connection.connect()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        return orders.Failed(f"not reached: {_brief(error)}")
    # From here on only the answer's time limit counts.
    connection.sock.settimeout(None)
    # Connecting may have taken long, or this process may have been stopped: the right
    # to order is checked when nothing is left to do but to write the order.
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
            preload_content=False,
        )
        response = connection.getresponse()
        data = response.read(_MAX_ANSWER_BYTES)
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
        return orders.Lost(_brief(error))
    return outcome_of(response.status, response.headers.get("Retry-After"), data)


def outcome_of(status: int, retry_after: str | None, body: bytes) -> orders.Outcome:
    """Return what an engine's answer says of the order."""
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


def _brief(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"[:_MAX_DETAIL_CHARACTERS]


def _abort(connection: urllib3.connection.HTTPConnection) -> None:
    # Closing by a reset drops what has not been sent yet; after an orderly close the
    # kernel would still deliver it.
    if connection.sock is not None:
        linger = struct.pack("ii", 1, 0)
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()
