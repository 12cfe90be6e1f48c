"""One short call to a program outside, and its answer; what is sent is made last."""

import http.client
from collections.abc import Callable
from typing import Any, Final

import attrs
import eliot
import eventlet
import urllib3.exceptions

from bilberrydrum import upstream_protocol
from bilberrydrum.requests import attempts, connections

_NO_ANSWER: Final = 0


@attrs.frozen
class Reply:
    """What became of a call."""

    # Of the answer; 0: there is none.
    status: int = _NO_ANSWER
    body: bytes = b""
    # Nothing was sent, as there was nothing to be sent any more.
    is_withheld: bool = False


def call(
    pool: connections.Connections,
    address: str,
    prepare: Callable[[], upstream_protocol.OrderMessage | None],
    seconds: float,
    purpose: str,
) -> Reply:
    """Send what `prepare` returns to `address`, and return the answer.

    Parameters
    ----------
    prepare : callable
        Called with the connection in hand: connecting takes time, and a process that
        was stopped meanwhile may not have the right to send any more. None: it has not.
    seconds : float
        Time for the whole call.
    purpose : str
        What the call is for, for the log.
    """
    with eventlet.Timeout(seconds, False):
        try:
            return _call(pool, address, prepare, seconds)
        except (
            OSError,
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
        detail=f"none within {seconds} s",
    )
    return Reply()


def _call(
    pool: connections.Connections,
    address: str,
    prepare: Callable[[], upstream_protocol.OrderMessage | None],
    seconds: float,
) -> Reply:
    taken = pool.take(address, seconds)
    connection: Any = taken.connection
    is_whole = False
    try:
        message = prepare()
        if message is None:
            return Reply(is_withheld=True)
        connection.request(
            message.method,
            message.target,
            body=message.body or None,
            headers=message.headers,
            preload_content=False,
        )
        answer = connection.getresponse()
        body = answer.read()
        is_whole = True
    finally:
        if not is_whole:
            connection.close()
    attempts.settle(pool, address, connection, answer, True)
    return Reply(answer.status, body)
