"""What the parts of a daemon see of one another.

Each protocol here is kept by one package and used by others; contract tests check an
implementation against it, and focused tests use small fakes of it.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import Any, Protocol

import attrs
import result

from bilberrydrum import reasons
from bilberrydrum.bundles import model as bundle_model
from bilberrydrum.requests import model as request_model
from bilberrydrum.state import client, machine
from bilberrydrum.upstreams import model as upstream_model


@attrs.frozen
class Gateway:
    """A gateway as registered with the state group."""

    process_id: str
    peer_address: str
    availability_zone: str
    region: str
    incarnation: int


@attrs.frozen
class Leadership:
    """The right of a replica to answer for the state group, checked now."""

    term: int
    # When this replica became leader of the term, in seconds of `clock.now`.
    since: float


class Replica(Protocol):
    """The replica in this process, as seen by what runs beside the leader.

    Kept by `state.replica`.
    """

    def leadership(self) -> Leadership | None:
        """Return the leadership if this replica holds the leader lease now."""

    def state(self) -> machine.State:
        """Return the applied state; it must not be changed."""

    def propose(
        self, command: object, timeout: float = 5.0
    ) -> result.Result[Any, client.StateError]:
        """Commit `command` and return the answer of its apply function."""

    def watch(self, callback: Callable[[object, Any], None]) -> None:
        """Call `callback(command, answer)` after each command applied here.

        It is called in the replica's task and must not block.
        """


class BundleView(Protocol):
    """The bundle in force at this gateway. Kept by `bundles.lease`."""

    def current(self) -> result.Result[bundle_model.Bundle, reasons.Reason]:
        """Return the bundle to act on now, or why there is none.

        The lease is checked against the clock at each call: a process that was
        stopped for a while must not act on what it knew before.
        """

    def gateways_by_id(self) -> Mapping[str, Gateway]:
        """Return the registered gateways, this one included."""

    def weight_versions_by_trainer(self) -> Mapping[str, int]:
        """Return the newest published versions as heard with the last renewal.

        A hint to act early on: what is delivered is checked in the state group.
        """

    def crashes_index(self) -> int:
        """Return how far the record of calls that end upstreams is, as heard last."""


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
        """Return the upstreams whose lease stands now and that are not leaving.

        The mapping is not changed later: the same one again means that nothing has
        changed.
        """

    def owner_of(self, upstream_id: str) -> str | None:
        """Return the process id of the gateway that hears the upstream's renewals."""

    def prefix_holders(self, prefix: str) -> frozenset[str]:
        """Return the engines that are likely to hold a prompt's prefix; a hint."""


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

    def predict_refusal(
        self, call: request_model.ModelCall | request_model.ApplicationCall
    ) -> request_model.Failed | None:
        """Return the refusal that `call` would meet now; nothing is changed."""
