"""What the parts of a daemon see of one another.

Each protocol here is kept by one package and used by others; contract tests check an
implementation against it, and focused tests use small fakes of it.
"""

from collections.abc import Iterator, Mapping
from typing import Protocol

import attrs
import result

from bilberrydrum import reasons
from bilberrydrum.bundles import model as bundle_model
from bilberrydrum.requests import model as request_model
from bilberrydrum.upstreams import model as upstream_model


@attrs.frozen
class Gateway:
    """A gateway as registered with the state group."""

    process_id: str
    peer_address: str
    availability_zone: str
    region: str
    incarnation: int


class BundleView(Protocol):
    """The bundle in force at this gateway. Kept by `bundles.lease`."""

    def current(self) -> result.Result[bundle_model.Bundle, reasons.Reason]:
        """Return the bundle to act on now, or why there is none.

        The lease is checked against the clock at each call: a process that was
        stopped for a while must not act on what it knew before.
        """

    def gateways_by_id(self) -> Mapping[str, Gateway]:
        """Return the registered gateways, this one included."""


class ControllerLease(Protocol):
    """The right to give orders to upstreams. Kept by `state.controller`."""

    def fencing_number(self) -> int | None:
        """Return the number for an order sent now; None: no order may be sent."""

    def may_order_unfenced(self) -> bool:
        """Tell whether upstreams that ignore the number may be given orders.

        True once an earlier controller's lease and its longest order have ended.
        """


class Registry(Protocol):
    """The upstreams this gateway may use. Kept by `upstreams.registry`."""

    def upstreams_by_id(self) -> Mapping[str, upstream_model.Upstream]:
        """Return the upstreams whose lease stands now and that are not leaving."""

    def home_of(self, upstream_id: str) -> str | None:
        """Return the process id of the gateway that hears the upstream's renewals."""


class Dispatcher(Protocol):
    """Calls to upstreams, with admission, routing and retries.

    Kept by `requests.dispatch`. Used by the callers' edge and by the samples.
    """

    def stream(
        self, call: request_model.ModelCall
    ) -> Iterator[request_model.StreamEvent]:
        """Generate on an engine; the last event is `Finished` or `Failed`.

        Closing the iterator cancels the work at the engine. An attempt that fails
        after its first token is not retried here: the caller of this method decides.
        """

    def call_application(
        self, call: request_model.ApplicationCall
    ) -> result.Result[request_model.ApplicationAnswer, request_model.Failed]:
        """Call a plain service and return its whole answer."""
