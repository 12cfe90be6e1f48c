"""The content of a configuration bundle.

A bundle is one YAML document. It is identified by the digest of its content, and names
the parent version from which it was made.
"""

from typing import Final

import attrs

# What a partition between gateways and the state group does to serving. With "refuse",
# the leases of the gateways that are cut off expire after a short time, they refuse
# requests, and a roll completes without them. With "hold", they serve under the old
# bundle for a longer lease, and a roll waits until it has expired.
CUT_REFUSE: Final = "refuse"
CUT_HOLD: Final = "hold"


@attrs.frozen
class ModelRule:
    """How one model is served."""

    # Base URL of the weight store, ``http://IP:port``.
    weight_store: str = ""
    # Maximum number of engines that load from the weight store at the same time.
    max_concurrent_loads: int = 2
    # Names of the adapters that requests may name.
    adapters: tuple[str, ...] = ()
    # Weight version for callers when no trainer publishes; 0: whichever version is
    # loaded.
    weight_version: int = 0


@attrs.frozen
class ApplicationRule:
    """How one plain service is served."""

    # Timeout of one call.
    timeout_seconds: float = 30.0
    # HTTP methods that are retried even without an Idempotency-Key.
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")


@attrs.frozen
class CallerRule:
    """What one caller may use, and its share of the capacity."""

    models: tuple[str, ...] = ()
    applications: tuple[str, ...] = ()
    # Share of the engines' capacity, relative to the other callers and trainers.
    share: float = 1.0
    # Maximum number of this caller's requests in flight at one gateway.
    max_in_flight: int = 256
    # Maximum number of weight versions that an answer may lag behind the newest; -1:
    # no bound.
    staleness_bound: int = -1


@attrs.frozen
class TrainerRule:
    """How one trainer's samples are generated and scored."""

    model: str
    # Application that scores the samples.
    scorer: str
    # Maximum number of weight versions between the newest published one and the oldest
    # one in a sample.
    staleness_bound: int = 2
    share: float = 1.0
    adapter: str = ""


@attrs.frozen
class Bundle:
    """The complete configuration of a deployment."""

    version: int
    parent: int
    models: dict[str, ModelRule] = attrs.field(factory=dict)
    applications: dict[str, ApplicationRule] = attrs.field(factory=dict)
    callers: dict[str, CallerRule] = attrs.field(factory=dict)
    trainers: dict[str, TrainerRule] = attrs.field(factory=dict)
    cut_policy: str = CUT_REFUSE
