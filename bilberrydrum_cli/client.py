"""HTTP requests to the operator interface of the gateways, with failover.

If a gateway does not answer or refuses temporarily (429, 503), the next one is tried.
This applies to changes too: all of them are idempotent, as a bundle is identified by
its digest and the other changes have the same effect when sent again. So a change whose
answer was lost may be sent again.
"""

import json
import time
from collections.abc import Callable
from typing import Any, Final

import attrs
import result
import urllib3

from bilberrydrum_cli import messages, rotation

JSON_TYPE: Final = "application/json"
BYTES_TYPE: Final = "application/octet-stream"
_MAX_CONNECT_SECONDS: Final = 2.0
# Statuses of temporary refusals; another gateway may accept the request.
_BODILESS_STATUSES: Final = frozenset({204, 304})
_BUSY_STATUSES: Final = frozenset({429, 503})


@attrs.frozen
class Attempt:
    """A failed attempt: it got no answer, or a temporary refusal."""

    gateway: str
    detail: str
    # False only if the request was not sent, or the gateway says that it did not run.
    may_have_run: bool


@attrs.frozen
class Unavailable:
    """No gateway answered in time."""

    seconds: float
    # The last attempt at each gateway, by its URL.
    attempts_by_gateway: dict[str, Attempt]
    # Whether a change may have been made; always False for a query.
    may_have_run: bool


@attrs.frozen
class Refused:
    """A gateway answered with an error."""

    gateway: str
    status: int
    # The problem document; empty if the answer did not have one.
    problem: dict[str, Any]


@attrs.frozen
class InvalidAnswer:
    """A gateway gave an answer that this interface does not define."""

    gateway: str
    status: int


Failure = Unavailable | Refused | InvalidAnswer


@attrs.frozen
class Call:
    """One request."""

    method: str
    # Path and query, percent-encoded.
    target: str
    body: bytes = b""
    content_type: str = JSON_TYPE

    @property
    def is_change(self) -> bool:
        """Whether the request changes anything."""
        return self.method != "GET"


class Client:
    """Sends requests to the first gateway that answers."""

    def __init__(
        self,
        gateways: tuple[str, ...],
        operator: str,
        token: str = "",
        timeout: float = 10.0,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        http: Any = None,
    ) -> None:
        self._rotation = rotation.Rotation(gateways)
        self._timeout = timeout
        self._clock = clock
        self._sleep = sleep
        self._headers = {"X-Operator": operator, "Accept": JSON_TYPE}
        if token:
            self._headers["Authorization"] = f"Bearer {token}"
        # Redirects and retries of urllib3 are disabled: this class decides which
        # gateway is tried.
        self._http = http or urllib3.PoolManager(retries=False)

    def json(
        self,
        method: str,
        target: str,
        body: Any = None,
        timeout: float | None = None,
    ) -> result.Result[Any, Failure]:
        """Send a request with a JSON body and return the JSON answer."""
        data = b"" if body is None else json.dumps(body).encode()
        return self.call(Call(method, target, data), timeout).and_then(_parse)

    def call(
        self, call: Call, timeout: float | None = None
    ) -> result.Result["Answer", Failure]:
        """Send a request until a gateway answers or the timeout expires.

        Parameters
        ----------
        call : Call
            The request.
        timeout : float or None
            Timeout in seconds, if it is shorter than that of the client.
        """
        seconds = min(self._timeout, timeout or self._timeout)
        attempts_by_gateway: dict[str, Attempt] = {}
        may_have_run = False
        event: rotation.Event = rotation.Begin(self._clock() + seconds)
        while True:
            effect = self._rotation.step(self._clock(), event)
            if not isinstance(effect, rotation.Try):
                return result.Err(
                    Unavailable(seconds, attempts_by_gateway, may_have_run)
                )
            if effect.pause_seconds:
                self._sleep(effect.pause_seconds)
            outcome = self._attempt(call, effect)
            if isinstance(outcome, Answer):
                self._rotation.step(self._clock(), rotation.Answered())
                return _classify(outcome)
            attempt, retry_after_seconds = outcome
            attempts_by_gateway[attempt.gateway] = attempt
            may_have_run |= call.is_change and attempt.may_have_run
            event = rotation.Failed(retry_after_seconds)

    def _attempt(
        self, call: Call, effect: rotation.Try
    ) -> "Answer | tuple[Attempt, float]":
        try:
            response = self._http.request(
                call.method,
                effect.gateway + call.target,
                body=call.body or None,
                headers={**self._headers, "Content-Type": call.content_type},
                timeout=urllib3.Timeout(
                    total=effect.timeout_seconds,
                    connect=min(effect.timeout_seconds, _MAX_CONNECT_SECONDS),
                ),
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as error:
            return _failed_attempt(effect.gateway, error), 0.0
        if not _marks_its_end(response):
            attempt = Attempt(effect.gateway, messages.INCOMPLETE, True)
            return attempt, 0.0
        answer = Answer(effect.gateway, response.status, response.data)
        if answer.status not in _BUSY_STATUSES:
            return answer
        problem = answer.problem()
        reason = str(problem.get("reason", "busy"))
        detail = messages.BUSY.format(status=answer.status, reason=reason)
        may_have_run = problem.get("outcome") != "not-run"
        attempt = Attempt(effect.gateway, detail, may_have_run)
        return attempt, _seconds(response.headers.get("Retry-After", ""))


@attrs.frozen
class Answer:
    """What a gateway answered."""

    gateway: str
    status: int
    body: bytes

    def problem(self) -> dict[str, Any]:
        """Return the problem document, or an empty dict if the body is not one."""
        try:
            value = json.loads(self.body)
        except (ValueError, RecursionError):
            return {}
        return value if isinstance(value, dict) else {}


def _classify(answer: Answer) -> result.Result[Answer, Failure]:
    if 200 <= answer.status < 300:
        return result.Ok(answer)
    if 400 <= answer.status < 600:
        return result.Err(Refused(answer.gateway, answer.status, answer.problem()))
    return result.Err(InvalidAnswer(answer.gateway, answer.status))


def _parse(answer: Answer) -> result.Result[Any, Failure]:
    try:
        return result.Ok(json.loads(answer.body or b"{}"))
    except (ValueError, RecursionError):
        return result.Err(InvalidAnswer(answer.gateway, answer.status))


def _failed_attempt(gateway: str, error: Exception) -> Attempt:
    unsent = (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    )
    detail = str(error).rpartition(": ")[2] or type(error).__name__
    return Attempt(gateway, detail, not isinstance(error, unsent))


def _marks_its_end(response: Any) -> bool:
    """Return whether the end of an answer can be told from a broken connection.

    Gateways give each answer a length, or send it in chunks. Where neither is there,
    the connection broke off within the head, which urllib3 takes for the whole head.
    """
    if response.status in _BODILESS_STATUSES:
        return True
    names = ("Content-Length", "Transfer-Encoding")
    return any(name in response.headers for name in names)


def _seconds(text: str) -> float:
    """Return the seconds in a Retry-After header; 0 for a date or an invalid value."""
    return float(text) if text.isascii() and text.isdigit() and len(text) < 10 else 0.0
