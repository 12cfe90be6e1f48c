"""Protocols through which the components of a daemon use one another.

Each protocol here is implemented by one package and used by others. Contract tests
check the implementation against it, and unit tests use small fakes of it.
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
    """The right of a replica to answer for the state group, as just checked."""

    term: int
    # When this replica became leader of the term, in seconds of `clock.now`.
    since: float


class Replica(Protocol):
    """The local replica, as used by the tasks that run next to the leader.

    Implemented by `state.replica`.
    """

    def leadership(self) -> Leadership | None:
        """Return the leadership, or None if this replica holds no leader lease."""

    def state(self) -> machine.State:
        """Return the applied state, which must not be modified."""

    def propose(
        self, command: object, timeout: float = 5.0
    ) -> result.Result[Any, client.StateError]:
        """Commit `command` and return the answer of its apply function."""

    def watch(self, callback: Callable[[object, Any], None]) -> None:
        """Call `callback(command, answer)` after each command applied here.

        The callback runs in the replica's task and must not block.
        """


class BundleView(Protocol):
    """The bundle in force at this gateway. Implemented by `bundles.lease`."""

    def current(self) -> result.Result[bundle_model.Bundle, reasons.Reason]:
        """Return the bundle in force, or the reason why there is none.

        Each call checks the lease against the clock. Otherwise a process that was
        suspended for a while could use a bundle that has been replaced.
        """

    def gateways_by_id(self) -> Mapping[str, Gateway]:
        """Return the registered gateways, this one included."""

    def weight_versions_by_trainer(self) -> Mapping[str, int]:
        """Return the newest published versions, as of the last lease renewal.

        They may be outdated and serve as a hint only: the state group checks the
        versions of the samples that are delivered.
        """

    def crashes_index(self) -> int:
        """Return the index of the newest crash record, as of the last lease renewal.

        The record names the requests that make upstreams crash.
        """


class ControllerLease(Protocol):
    """The right to send orders to upstreams. Implemented by `state.controller`."""

    def fencing_number(self) -> int | None:
        """Return the number for an order sent now; None if none may be sent."""

    def may_order_unfenced(self) -> bool:
        """Return whether orders may be sent to upstreams that ignore the number.

        They may once the lease of any earlier controller has expired and no order that
        it sent can arrive any more.
        """


class Registry(Protocol):
    """The upstreams that this gateway may use. Implemented by `upstreams.registry`."""

    def upstreams_by_id(self) -> Mapping[str, upstream_model.Upstream]:
        """Return the upstreams that hold a valid lease and are not leaving.

        The mapping is immutable: if two calls return the same object, nothing has
        changed in between.
        """

    def owner_of(self, upstream_id: str) -> str | None:
        """Return the id of the gateway that receives the upstream's renewals."""

    def prefix_holders(self, prefix: str) -> frozenset[str]:
        """Return the engines that probably have a prompt's prefix in their cache."""


class Dispatcher(Protocol):
    """Calls to upstreams, with admission, routing and retries.

    Implemented by `requests.dispatch`; used by the callers' HTTP interface and the
    samples.
    """

    def stream(
        self, call: request_model.ModelCall
    ) -> Iterator[request_model.StreamEvent]:
        """Generate a text on an engine; the last event is `Finished` or `Failed`.

        Closing the iterator cancels the work at the engine. An attempt that fails
        after its first token is not retried here; that is left to the caller of this
        method.
        """

    def call_application(
        self, call: request_model.ApplicationCall
    ) -> result.Result[request_model.ApplicationAnswer, request_model.Failed]:
        """Call a plain service and return its complete answer."""

    def predict_refusal(
        self, call: request_model.ModelCall | request_model.ApplicationCall
    ) -> request_model.Failed | None:
        """Return the refusal that `call` would get now, without any side effect."""
