"""Options of a process that has one role in a deployment.

Times are in seconds; addresses are ``IP:port``. A deployment's adapter reads them from
the deployment's own settings.
"""

import enum

import attrs

from bilberrydrum import options
from bilberrydrum.usage import model as usage_model


class Role(enum.StrEnum):
    """What a process does."""

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
    # Control processes that were there when the settings were written.
    seed_addresses: tuple[str, ...]
    # The whole deployment starts for the first time, with empty disks.
    is_first_start: bool = False
    # Folder on the process's own disk; empty: it has none.
    data_folder: str = ""
    # Where clients of the role are served.
    http_address: str = ""
    # Where the balancer asks whether a gateway takes new connections.
    ready_address: str = ""
    # Where counters and histograms are served.
    metrics_address: str = ""
    # Processes with a disk that may be lost at the same time.
    n_losses: int = 1
    # How often upstreams announce themselves.
    announce_seconds: float = 1.0
    # How long an ended batch can be read, from its submission on.
    retention_seconds: float = 120.0
    # Upstreams refuse an order with a lower fencing number than one they have seen.
    do_upstreams_check_fencing: bool = True
    # Time within which a key that was taken away must be dead on every process, also on
    # one that is cut off; 0: no bound.
    revocation_seconds: float = 0.0
    # Time between the orders of two holders to upstreams that do not.
    order_lease_seconds: float = 3.0
    # How use is reported; None: it is not.
    usage: usage_model.UsageOptions | None = None
    # Time that a stopping process has.
    shutdown_seconds: float = 8.0
    # IP that the transports bind where it is not that of their addresses.
    bind_host: str = ""
    limits: options.LimitOptions = attrs.field(factory=options.LimitOptions)

    def n_voters(self) -> int:
        """Return how many replicas bear the losses and still have a majority."""
        return 2 * self.n_losses + 1
