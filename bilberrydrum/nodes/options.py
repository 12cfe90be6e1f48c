"""Options of a process that has one role in a deployment.

Times are in seconds; addresses are ``IP:port``. A deployment's adapter reads them from
the deployment's own settings.
"""

import enum

import attrs

from bilberrydrum import options
from bilberrydrum.requests import answer_memory
from bilberrydrum.usage import model as usage_model


class Role(enum.StrEnum):
    """The role of a process."""

    GATEWAY = "gateway"
    CONTROL = "control"
    STORE = "store"


CONTROL_GROUP = "control"
STORE_GROUP = "stores"


@attrs.frozen
class NodeOptions:
    """All options of one process."""

    role: Role
    # Name of the host.
    name: str
    availability_zone: str
    # Address of this process in the control group's transport.
    control_address: str
    # Address of this process in the stores' group's transport.
    store_address: str
    # Addresses of the control processes at the time when the settings were written.
    seed_addresses: tuple[str, ...]
    # Whether the complete deployment starts for the first time, with empty disks.
    is_first_start: bool = False
    # Folder on the process's own disk; empty if it has none.
    data_folder: str = ""
    # Address at which clients of the role are served.
    http_address: str = ""
    # Address at which the balancer asks whether a gateway accepts new connections.
    ready_address: str = ""
    # Address at which counters and histograms are served.
    metrics_address: str = ""
    # Number of processes with a disk whose simultaneous loss is tolerated.
    n_losses: int = 1
    # Interval between the announcements of an upstream.
    announce_seconds: float = 1.0
    # How long after its submission a finished batch can be read.
    retention_seconds: float = 120.0
    # Whether upstreams refuse orders with a lower fencing number than they have seen.
    do_upstreams_check_fencing: bool = True
    # Time within which every process must refuse a revoked key, also a process that is
    # partitioned from the others; 0 if unbounded.
    revocation_seconds: float = 0.0
    # Minimum time between the orders of two successive lease holders. Applies where the
    # upstreams do not check fencing numbers.
    order_lease_seconds: float = 3.0
    # How usage is reported; None if it is not.
    usage: usage_model.UsageOptions | None = None
    # Time within which a process has to stop.
    shutdown_seconds: float = 8.0
    # IP that the transports bind to, if it differs from that of their addresses.
    bind_host: str = ""
    limits: options.LimitOptions = attrs.field(factory=options.LimitOptions)
    # Memory for all answers of upstreams that are being received.
    answer_memory_bytes: int = answer_memory.DEFAULT_MAX_BYTES

    def n_voters(self) -> int:
        """Return how many replicas still have a majority after `n_losses` losses."""
        return 2 * self.n_losses + 1
