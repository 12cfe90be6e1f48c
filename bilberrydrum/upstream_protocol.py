"""The interface of adapters for the protocol of a deployment's upstreams.

The deployment defines the names of headers, calls and fields. Only its adapter knows
these names; it translates between them and the types defined here.
"""

from collections.abc import Mapping
from typing import Final, Protocol

import attrs

# Work factors outside of this range are no plausible reports. A factor near 0 would
# draw all requests to one host, and no known host is slowed down more than tenfold.
MIN_WORK_FACTOR: Final = 0.1
MAX_WORK_FACTOR: Final = 10.0


def is_plausible_factor(factor: float) -> bool:
    """Return whether a reported work factor can be true."""
    return MIN_WORK_FACTOR <= factor <= MAX_WORK_FACTOR


@attrs.frozen
class Attempt:
    """The values that are sent to an upstream with a request."""

    # Id of this attempt; the upstream's answer repeats it.
    request_id: str
    # Name of the only upstream that may run the request. Its address alone is not
    # enough, as another upstream may have taken it over.
    announced_id: str
    # Seconds until the request's deadline.
    remaining_seconds: float
    # Number of the last event received so far; None to stream from the beginning.
    last_event_number: int | None = None
    # Priority at the engine, 0 being the highest; None for the engine's default.
    priority: int | None = None
    # Account of the request, which replaces any that its sender gives; empty if it has
    # none. If None, the deployment has no accounts, and the sender's headers are kept.
    account: str | None = None


@attrs.frozen
class AnswerHead:
    """The metadata in the headers of an upstream's answer."""

    # Id of the request that is answered; empty if unknown.
    request_id: str = ""
    # Whether it has the upstream's signature; otherwise another program answered.
    is_genuine: bool = True
    # The signature, which proves that the upstream gave the answer; empty if none.
    signature: str = ""
    # Whether the upstream states that the request which it answers did not run. Whether
    # that is the request that was sent, `attempts.is_answer_to` tells.
    was_not_run: bool = False
    # Whether another upstream answered, which has the address of the named one now; it
    # did not run the request.
    is_misdirected: bool = False
    # Whether callers take the status for the guarantee that the request did not run and
    # never will.
    is_guarantee: bool = False
    # Weight version of the first event; None if unknown.
    version: int | None = None
    # Numbers of running and waiting requests at the upstream; None if unknown.
    n_running: int | None = None
    n_waiting: int | None = None
    # Time in seconds for which it keeps an idle connection open; 0 if unknown.
    idle_seconds: float = 0.0
    # How long work takes at the upstream at this moment, as a multiple of the usual
    # time; None if unknown.
    work_factor: float | None = None


@attrs.frozen
class WeightOrder:
    """An order to an engine to switch to another version of a model's weights."""

    model: str
    version: int
    # Whether running requests continue with the new version; otherwise the engine
    # finishes them first.
    keeps_running: bool
    # The sender, which holds the controller lease, and its fencing number, which is
    # higher for each new holder.
    holder: str
    fencing_number: int
    # Number of orders that the upstream must have accepted before this one.
    expected_sequence: int
    # Name of the only upstream that may accept it.
    announced_id: str


@attrs.frozen
class OrderMessage:
    """An HTTP request that contains an order or requests a report."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""


@attrs.frozen
class EngineReport:
    """An engine's report of its state, which may be slightly outdated."""

    versions_by_model: dict[str, int]
    # Whether the engine is executing an order.
    is_busy: bool
    # Number of orders that it has accepted since its start.
    sequence: int
    n_running: int = 0
    n_waiting: int = 0
    # Tokens in its cache that cannot be evicted, and the capacity of the cache.
    n_cache_used: int = 0
    n_cache_total: int = 0
    # Unix time of its start in milliseconds; None if unknown.
    started_at_ms: int | None = None


class UpstreamProtocol(Protocol):
    """Translates messages to and from upstreams; implemented by the adapter."""

    # Header of answers that contains the id of the request.
    request_id_header: str
    # Field of a stream's events that contains a new weight version.
    version_field: str

    def relay_headers(
        self, headers: Mapping[str, str], attempt: Attempt
    ) -> dict[str, str]:
        """Return the headers with which a request is sent to an upstream."""

    def identity_of(self, headers: Mapping[str, str]) -> str:
        """Return a text that identifies the caller and what it requests.

        It depends on the request's headers only, and is the same for all attempts of a
        caller and at all gateways.
        """

    def last_event_number(self, headers: Mapping[str, str]) -> int | None:
        """Return the event after which a caller wants to resume; None for no resume."""

    def read_head(self, status: int, headers: Mapping[str, str]) -> AnswerHead:
        """Parse the status and the headers of an answer."""

    def order(self, order: WeightOrder) -> OrderMessage:
        """Return the HTTP request that sends `order`."""

    def report_request(self, announced_id: str) -> OrderMessage:
        """Return the HTTP request for an engine's report."""

    def read_report(self, body: bytes) -> EngineReport | None:
        """Return the report in an answer's body, or None if it is invalid."""
