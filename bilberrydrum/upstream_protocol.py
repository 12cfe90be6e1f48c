"""What the product needs of the protocol that a deployment's upstreams speak.

The names of headers, calls and fields belong to the deployment. An adapter decodes them
into the types here, once, and nothing else knows them.
"""

from collections.abc import Mapping
from typing import Protocol

import attrs


@attrs.frozen
class Attempt:
    """The facts that are put on a request sent to an upstream."""

    # The caller's id for its own attempt; the upstream's answer names it.
    request_id: str
    # Name of the only upstream that may run it: addresses are taken over by others.
    announced_id: str
    # Time that is left, in seconds.
    remaining_seconds: float
    # The last event that was read of an earlier answer; None: from the start.
    last_event_number: int | None = None
    # Rank at the engine, 0 first; None: the engine's own default.
    priority: int | None = None
    # Account that the request belongs to, whatever its sender claims; empty: none.
    # None: the deployment has no accounts, and a sender's headers are its own affair.
    account: str | None = None


@attrs.frozen
class AnswerHead:
    """What an upstream's answer says about itself."""

    # The request that it answers; empty: not said.
    request_id: str = ""
    # It bears the upstream's own mark; without one it is not the upstream's answer.
    is_genuine: bool = True
    # That mark, by which the upstream can show that it gave the answer; empty: none.
    signature: str = ""
    # The upstream promises that the request did not run.
    was_not_run: bool = False
    # Weight version of the first event; None: not said.
    version: int | None = None
    # Requests that run, and that wait, at the upstream; None: not said.
    n_running: int | None = None
    n_waiting: int | None = None
    # Time for which it keeps an idle connection, in seconds; 0: not said.
    idle_seconds: float = 0.0


@attrs.frozen
class WeightOrder:
    """An order to serve another version of a model's weights."""

    model: str
    version: int
    # Whether running requests go on under the new version, or end first.
    keeps_running: bool
    # Who gives it, and the number that only ever rises from holder to holder.
    holder: str
    fencing_number: int
    # Number of orders that the upstream must have taken so far.
    expected_sequence: int
    # Name of the only upstream that may take it.
    announced_id: str


@attrs.frozen
class OrderMessage:
    """An HTTP request that carries an order or asks for a report."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""


@attrs.frozen
class EngineReport:
    """An engine's own account, a little old."""

    versions_by_model: dict[str, int]
    # An order is being carried out.
    is_busy: bool
    # Number of orders that it has taken since its start.
    sequence: int
    n_running: int = 0
    n_waiting: int = 0
    # Tokens in its memory that cannot yield, and all that it holds.
    n_cache_used: int = 0
    n_cache_total: int = 0
    # Unix time of its start, in milliseconds; None: not told.
    started_at_ms: int | None = None


class UpstreamProtocol(Protocol):
    """Kept by the deployment's adapter."""

    # Header by which answers name the request that they belong to.
    request_id_header: str
    # Field by which an event of a stream tells a change of the weight version.
    version_field: str

    def relay_headers(
        self, headers: Mapping[str, str], attempt: Attempt
    ) -> dict[str, str]:
        """Return the headers of a request that is passed on."""

    def identity_of(self, headers: Mapping[str, str]) -> str:
        """Return who asks and for what, as far as a request's headers tell.

        The same at each attempt of a caller, and at any gateway.
        """

    def last_event_number(self, headers: Mapping[str, str]) -> int | None:
        """Return the event after which a caller wants its stream to go on."""

    def read_head(self, headers: Mapping[str, str]) -> AnswerHead:
        """Return what the headers of an answer say."""

    def order(self, order: WeightOrder) -> OrderMessage:
        """Return the request that gives `order`."""

    def ask_report(self, announced_id: str) -> OrderMessage:
        """Return the request that asks for an engine's report."""

    def read_report(self, body: bytes) -> EngineReport | None:
        """Return the report in an answer's body; None: it cannot be read."""
