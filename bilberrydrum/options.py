"""The daemon's options: one class, read from YAML by `bilberrydrum.settings`.

Times are in seconds, sizes in bytes. Addresses are ``IP:port``.
"""

from typing import Final

import attrs

ROLE_GATEWAY: Final = "gateway"
ROLE_STATE: Final = "state"


@attrs.frozen
class Member:
    """A process that holds a replica of the state group."""

    # The member's process id.
    process_id: str
    # The member's address for other processes of the system.
    peer_address: str


@attrs.frozen
class StateOptions:
    """Options of the state group."""

    # Members the group starts with, or is first looked for at.
    members: tuple[Member, ...] = ()
    # Folder for the log and the snapshots; needed by the state role.
    data_folder: str = ""
    # How often the leader lets followers hear from it.
    heartbeat_seconds: float = 0.1
    # A follower stands for election after this long without a leader, up to twice it.
    election_timeout_seconds: float = 0.6
    # Share of a lease taken off at its holder for clocks that run at unlike rates.
    drift_margin: float = 0.05
    # Entries in the log after which a snapshot is made.
    snapshot_entries: int = 20_000
    # The log's bytes in memory after which a snapshot is made sooner.
    max_log_bytes: int = 32 * 1024 * 1024
    # The leader hands over before it makes a snapshot of at least this size: commands
    # wait while the state is encoded, a tenth of a second for each 4 MiB.
    handover_bytes: int = 4 * 1024 * 1024
    # Whether this process may start the group. False on a host whose disk may have
    # been lost: a second group beside the first would acknowledge what the first
    # never sees.
    may_found: bool = True
    # Whether the group lets in processes that neither settings nor membership name.
    is_open: bool = False
    # Replicas with a vote that the group keeps to; 0: every process that joins gets
    # one. Further processes stand by until a replica is lost or leaves.
    n_voters: int = 0
    # A replica not heard from for this long is replaced, if another can take its place.
    lost_seconds: float = 3.0


@attrs.frozen
class GatewayOptions:
    """Options of the gateway role."""

    # Address on which callers, upstreams, trainers and operators are served.
    http_address: str = "127.0.0.1:8080"
    # How long a gateway acts on a bundle without hearing from the state group.
    bundle_lease_seconds: float = 3.0
    # How often the bundle lease is renewed.
    bundle_renew_seconds: float = 0.5
    # The same under a bundle whose cut policy is "hold"; at least the lease above.
    bundle_hold_lease_seconds: float = 600.0
    # File with the operators' bearer token; empty: no token is asked for.
    operator_token_file: str = ""
    # File with the upstreams' bearer token; empty: no token is asked for.
    upstream_token_file: str = ""


@attrs.frozen
class LimitOptions:
    """Limits on what a client of the HTTP edge may send."""

    # Largest request body.
    max_body_bytes: int = 4 * 1024 * 1024
    # Largest sum of header bytes.
    max_header_bytes: int = 16 * 1024
    # Most connections at a time.
    max_connections: int = 4096
    # Longest time to read one request.
    read_timeout_seconds: float = 10.0


@attrs.frozen
class UpstreamOptions:
    """Options for upstreams' leases and their dissemination."""

    # An upstream not heard from for this long gets no new work.
    lease_seconds: float = 2.0
    # How often upstreams are told to renew.
    renew_seconds: float = 0.5
    # How often a gateway tells the others that its upstreams still stand.
    standing_seconds: float = 0.5
    # Up to this many gateways tell each other directly; more form groups that relay.
    max_mesh_gateways: int = 16
    # The one process that orders upstreams about loses that right after this long.
    controller_lease_seconds: float = 3.0
    # Longest time between sending an order and its arrival at the upstream.
    order_flight_seconds: float = 10.0


@attrs.frozen
class RequestOptions:
    """Options for callers' requests."""

    # Time a request may take when the caller names none.
    default_timeout_seconds: float = 60.0
    # Longest time a caller may name.
    max_timeout_seconds: float = 3600.0
    # Retries allowed as a share of first attempts.
    retry_budget: float = 0.2
    # Attempts at most for one idempotent request.
    max_attempts: int = 3
    # Requests that may wait per caller.
    max_queue_per_caller: int = 64
    # How long the claim of a non-idempotent request and its result are kept.
    claim_seconds: float = 24 * 3600.0
    # Largest result kept for a non-idempotent request.
    max_result_bytes: int = 64 * 1024


@attrs.frozen
class SampleOptions:
    """Options for groups, samples and weights."""

    # A group's owner loses it after this long without renewing.
    owner_lease_seconds: float = 3.0
    # Largest prompt of a group.
    max_prompt_bytes: int = 16 * 1024
    # Slots of one trainer at most whose samples are not acknowledged.
    max_open_slots: int = 16_384
    # Longest time one batch request may wait.
    max_wait_seconds: float = 30.0
    # Extra attempts allowed as a share of slots.
    second_attempt_budget: float = 0.05
    # Share of a model's engines that may swap to new weights at a time.
    swap_share: float = 0.5
    # Longest time that an engine may take to load weights.
    load_timeout_seconds: float = 300.0


@attrs.frozen
class ShutdownOptions:
    """Options of a graceful shutdown."""

    # Time the balancer gets to notice the failing health check.
    balancer_seconds: float = 2.0
    # Longest time to wait for work in flight.
    limit_seconds: float = 600.0


@attrs.frozen
class CurveOptions:
    """Keys for the connections between processes; empty: no encryption."""

    # File with this process's public and secret key.
    key_file: str = ""
    # File with the public keys of the processes that may connect.
    peers_file: str = ""


@attrs.frozen
class Options:
    """All options of one daemon."""

    # Name of this process, unique in the deployment.
    process_id: str
    # Name of the state group that this process belongs to.
    group: str = "main"
    # Where this process runs.
    availability_zone: str = "local"
    region: str = "local"
    # Any of "gateway" and "state".
    roles: tuple[str, ...] = (ROLE_GATEWAY, ROLE_STATE)
    # Address on which other processes of the system reach this one.
    peer_address: str = "127.0.0.1:9080"
    # File for the log lines; empty: standard error.
    log_file: str = ""
    state: StateOptions = attrs.field(factory=StateOptions)
    gateway: GatewayOptions = attrs.field(factory=GatewayOptions)
    limits: LimitOptions = attrs.field(factory=LimitOptions)
    upstreams: UpstreamOptions = attrs.field(factory=UpstreamOptions)
    requests: RequestOptions = attrs.field(factory=RequestOptions)
    samples: SampleOptions = attrs.field(factory=SampleOptions)
    shutdown: ShutdownOptions = attrs.field(factory=ShutdownOptions)
    curve: CurveOptions = attrs.field(factory=CurveOptions)
