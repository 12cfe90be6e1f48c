"""The daemon's options, which `bilberrydrum.settings` reads from a YAML file.

Times are in seconds, sizes in bytes, and addresses have the form ``IP:port``.
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
    # The address on which other processes of the system reach the member.
    peer_address: str


@attrs.frozen
class StateOptions:
    """Options of the state group."""

    # The initial members of the group. A process that joins it contacts them first.
    members: tuple[Member, ...] = ()
    # Folder of the log and the snapshots; required by the state role.
    data_folder: str = ""
    # Interval of the leader's heartbeats.
    heartbeat_seconds: float = 0.1
    # A follower starts an election after this time without a heartbeat, or up to twice
    # this time: the delay is random.
    election_timeout_seconds: float = 0.6
    # Share of a lease by which its holder shortens it, as clocks may run at different
    # rates.
    drift_margin: float = 0.05
    # Number of log entries after which a snapshot is made.
    snapshot_entries: int = 20_000
    # Bytes of the log in memory after which a snapshot is made even with fewer entries.
    max_log_bytes: int = 32 * 1024 * 1024
    # Size from which the leader transfers its leadership before it makes a snapshot.
    # Commands wait while the state is encoded, which takes 0.1 s for each 4 MiB.
    handover_bytes: int = 4 * 1024 * 1024
    # Whether this process may bootstrap the group. It must be False on a host that may
    # have lost its disk: otherwise a second group could start next to the existing one
    # and acknowledge commands that the existing one never receives.
    may_found: bool = True
    # Whether processes may join that are neither in the settings nor members.
    is_open: bool = False
    # Number of voting replicas; with 0, every process that joins gets a vote. Further
    # processes are on standby until a replica is lost or leaves.
    n_voters: int = 0
    # A replica that has not answered for this time is replaced, if there is a standby.
    lost_seconds: float = 3.0


@attrs.frozen
class GatewayOptions:
    """Options of the gateway role."""

    # Address of the HTTP server for callers, upstreams, trainers and operators.
    http_address: str = "127.0.0.1:8080"
    # Time for which a gateway may use a bundle without an answer of the state group.
    bundle_lease_seconds: float = 3.0
    # Interval at which the bundle lease is renewed.
    bundle_renew_seconds: float = 0.5
    # The lease under a bundle whose cut policy is "hold"; at least
    # `bundle_lease_seconds`.
    bundle_hold_lease_seconds: float = 600.0
    # File with the operators' bearer token; if empty, no token is required.
    operator_token_file: str = ""
    # File with the upstreams' bearer token; if empty, no token is required.
    upstream_token_file: str = ""


@attrs.frozen
class LimitOptions:
    """Limits on what a client of the HTTP edge may send."""

    # Largest request body.
    max_body_bytes: int = 4 * 1024 * 1024
    # Largest size of all headers of a request together.
    max_header_bytes: int = 16 * 1024
    # Memory of the process, in mebibytes. What clients may take together follows from
    # it.
    memory_mb: int = 512
    # Largest number of concurrent connections.
    max_connections: int = 4096
    # Longest time to read the headers of a request, and also to read its body.
    read_timeout_seconds: float = 10.0


@attrs.frozen
class UpstreamOptions:
    """Options of upstreams' leases and of sharing them among gateways."""

    # An upstream that has not renewed its lease for this time gets no new work.
    lease_seconds: float = 2.0
    # Interval at which upstreams should renew; answers to them contain it.
    renew_seconds: float = 0.5
    # Interval of the heartbeats by which a gateway confirms its upstreams to others.
    standing_seconds: float = 0.5
    # Up to this number, each gateway sends to all others; more gateways form groups
    # with relay nodes.
    max_mesh_gateways: int = 16
    # Lease of the one process that may send orders to upstreams.
    controller_lease_seconds: float = 3.0
    # Longest time that a sent order may take to arrive at the upstream.
    order_flight_seconds: float = 10.0


@attrs.frozen
class RequestOptions:
    """Options of callers' requests."""

    # Timeout of a request whose caller gives none.
    default_timeout_seconds: float = 60.0
    # Longest timeout; a longer one of a caller is reduced to it.
    max_timeout_seconds: float = 3600.0
    # Largest number of retries, as a share of first attempts.
    retry_budget: float = 0.2
    # Largest number of attempts for one idempotent request.
    max_attempts: int = 3
    # Largest number of queued requests per caller.
    max_queue_per_caller: int = 64
    # Time for which the claim and the result of a non-idempotent request are kept.
    claim_seconds: float = 24 * 3600.0
    # Largest result of a non-idempotent request that is kept.
    max_result_bytes: int = 64 * 1024


@attrs.frozen
class SampleOptions:
    """Options of groups, samples and weights."""

    # Lease of a gateway on the groups that it owns.
    owner_lease_seconds: float = 3.0
    # Largest prompt of a group.
    max_prompt_bytes: int = 16 * 1024
    # Largest number of slots of one trainer without an acknowledged sample.
    max_open_slots: int = 16_384
    # Longest time that one batch request may wait for its samples.
    max_wait_seconds: float = 30.0
    # Largest number of extra attempts, as a share of slots.
    second_attempt_budget: float = 0.05
    # Share of a model's engines that may load new weights at a time.
    swap_share: float = 0.5
    # Longest time that an engine may take to load weights.
    load_timeout_seconds: float = 300.0


@attrs.frozen
class ShutdownOptions:
    """Options of a graceful shutdown."""

    # Time for which the health check fails before the listening socket is closed, so
    # that load balancers notice.
    balancer_seconds: float = 2.0
    # Longest time to wait for requests in flight, from the start of the shutdown.
    limit_seconds: float = 600.0


@attrs.frozen
class CurveOptions:
    """Key files for the connections between processes; if empty, no encryption."""

    # File with the public and secret key of this process.
    key_file: str = ""
    # File with the public keys of all processes that may connect.
    peers_file: str = ""


@attrs.frozen
class Options:
    """All options of one daemon."""

    # Name of this process; unique in the deployment.
    process_id: str
    # Name of the state group that this process belongs to.
    group: str = "main"
    # Availability zone and region of this process.
    availability_zone: str = "local"
    region: str = "local"
    # Roles of this process: "gateway", "state" or both.
    roles: tuple[str, ...] = (ROLE_GATEWAY, ROLE_STATE)
    # Address on which other processes of the system reach this one.
    peer_address: str = "127.0.0.1:9080"
    # File to which log lines are written; if empty, standard error.
    log_file: str = ""
    state: StateOptions = attrs.field(factory=StateOptions)
    gateway: GatewayOptions = attrs.field(factory=GatewayOptions)
    limits: LimitOptions = attrs.field(factory=LimitOptions)
    upstreams: UpstreamOptions = attrs.field(factory=UpstreamOptions)
    requests: RequestOptions = attrs.field(factory=RequestOptions)
    samples: SampleOptions = attrs.field(factory=SampleOptions)
    shutdown: ShutdownOptions = attrs.field(factory=ShutdownOptions)
    curve: CurveOptions = attrs.field(factory=CurveOptions)
