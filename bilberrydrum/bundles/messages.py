"""Messages between gateways and the leader about bundles and their leases."""

import attrs

from bilberrydrum import codec, interfaces


@attrs.frozen
class Directory:
    """The processes of the deployment that a gateway needs to know."""

    # Number of the change to the registered processes that this directory reflects; it
    # rises with each change.
    change: int = 0
    gateways: tuple[interfaces.Gateway, ...] = ()
    # Addresses of the processes that have the state role.
    state_addresses: tuple[str, ...] = ()


@codec.register("bundles.renewal")
@attrs.frozen
class Renewal:
    """A gateway's request to renew its lease, with what the gateway already has.

    It also confirms that the gateway acts on no bundle older than `version`.
    """

    # Rises with each renewal of one incarnation of the process.
    sequence: int
    version: int
    directory_change: int


@codec.register("bundles.grant")
@attrs.frozen
class Grant:
    """The leader's answer to a renewal."""

    sequence: int
    incarnation: int
    # The lease covers this version only.
    version: int
    lease_seconds: float
    # Text of the bundle, if the gateway's version is older.
    content: str | None = None
    # The directory, if the gateway's copy is out of date.
    directory: Directory | None = None
    weight_versions_by_trainer: dict[str, int] = attrs.field(factory=dict)
    # Index of the last change to the record of requests that crash upstreams. A gateway
    # that has an older copy of the record fetches it.
    crashes_index: int = 0


@codec.register("bundles.unregistered")
@attrs.frozen
class Unregistered:
    """The leader does not know this incarnation of the process; it must register."""

    incarnation: int
    # A newer process has registered under the same id, so this one must not register.
    is_superseded: bool = False


@codec.register("bundles.push")
@attrs.frozen
class Push:
    """A rolling bundle, which the leader sends to all gateways at once."""

    version: int
    content: str


@codec.register("bundles.release")
@attrs.frozen
class Release:
    """The gateway accepts no more work; its lease ends now."""

    incarnation: int


@codec.register("bundles.ask_roll_status")
@attrs.frozen
class AskRollStatus:
    """A request to the leader for the progress of the newest bundle's roll."""


@codec.register("bundles.roll_status")
@attrs.frozen
class RollStatus:
    """Progress of the newest bundle's roll."""

    version: int
    n_confirmed: int
    n_gateways: int
    # Gateways that may still act on an older bundle.
    waiting_for: tuple[str, ...] = ()
