"""Make one short call to an external program, and return its answer.

The request is prepared only when the connection is established (see `call`).
"""

import http.client
from collections.abc import Callable
from typing import Final

import attrs
import eliot
import eventlet
import urllib3.exceptions

from bilberrydrum import upstream_protocol
from bilberrydrum.http1 import errors
from bilberrydrum.requests import connections

_NO_ANSWER: Final = 0
# Largest body of an answer. Reports and acknowledgements have a few kilobytes.
_MAX_ANSWER_BYTES: Final = 1024 * 1024


@attrs.frozen
class Reply:
    """The outcome of a call."""

    # Status of the answer; 0: there was none.
    status: int = _NO_ANSWER
    body: bytes = b""
    # Nothing was sent, because `prepare` returned None.
    is_withheld: bool = False


def call(
    pool: connections.ConnectionPool,
    address: str,
    prepare: Callable[[], upstream_protocol.OrderMessage | None],
    seconds: float,
    purpose: str,
) -> Reply:
    """Send what `prepare` returns to `address`, and return the answer.

    Parameters
    ----------
    prepare : callable
        Called when the connection is established, and returns the request, or None if
        it must not be sent. Connecting takes time, and a process that was suspended
        meanwhile may have lost the right to send.
    seconds : float
        Timeout of the call, connecting included.
    purpose : str
        Purpose of the call, for the log.
    """
    with eventlet.Timeout(seconds, False):
        try:
            return _call(pool, address, prepare, seconds)
        except (
            OSError,
            errors.MessageError,
            http.client.HTTPException,
            urllib3.exceptions.HTTPError,
        ) as error:
            eliot.log_message(
                message_type="calls:no-answer",
                purpose=purpose,
                address=address,
                detail=repr(error),
            )
            return Reply()
    eliot.log_message(
        message_type="calls:no-answer",
        purpose=purpose,
        address=address,
        detail=f"no answer within {seconds} s",
    )
    return Reply()


def _call(
    pool: connections.ConnectionPool,
    address: str,
    prepare: Callable[[], upstream_protocol.OrderMessage | None],
    seconds: float,
) -> Reply:
    taken = pool.take(address, seconds)
    connection = taken.connection
    is_complete = False
    try:
        message = prepare()
        if message is None:
            return Reply(is_withheld=True)
        connection.request(
            message.method,
            message.target,
            body=message.body or None,
            headers=message.headers,
        )
        answer = connection.getresponse()
        body = answer.read(_MAX_ANSWER_BYTES)
        is_complete = True
    finally:
        if not is_complete:
            connection.close()
    connections.keep_or_close(pool, address, connection, answer, True)
    return Reply(answer.status, body)
