"""What a configuration bundle says.

A bundle is one YAML document. It is identified by the digest of its content, and names
the parent version it was made from.
"""

from typing import Final

import attrs

# What happens to serving while the state group cannot be reached by some gateways:
# their leases lapse and they refuse ("refuse"), or the roll waits and they go on
# under the old bundle for a longer lease ("hold").
CUT_REFUSE: Final = "refuse"
CUT_HOLD: Final = "hold"


@attrs.frozen
class ModelRule:
    """How one model is served."""

    # Base URL of the weight store, ``http://IP:port``.
    weight_store: str = ""
    # Most engines that may load from the weight store at a time.
    max_concurrent_loads: int = 2
    # Names of the adapters that may be asked for.
    adapters: tuple[str, ...] = ()
    # Weight version for callers when no trainer publishes; 0: whatever is loaded.
    weight_version: int = 0


@attrs.frozen
class ApplicationRule:
    """How one plain service is served."""

    # Time one call may take.
    timeout_seconds: float = 30.0
    # Methods that are retried without an Idempotency-Key.
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")


@attrs.frozen
class CallerRule:
    """What one caller may use, and its share."""

    models: tuple[str, ...] = ()
    applications: tuple[str, ...] = ()
    # Share of the engines' capacity relative to the other callers and trainers.
    share: float = 1.0
    # Requests at most in flight from this caller at one gateway.
    max_in_flight: int = 256
    # Versions at most that a caller's answer may lag behind; -1: no bound.
    staleness_bound: int = -1


@attrs.frozen
class TrainerRule:
    """How one trainer's samples are made."""

    model: str
    # Application that scores the samples.
    scorer: str
    # Versions at most between the newest published and the oldest in a sample.
    staleness_bound: int = 2
    share: float = 1.0
    adapter: str = ""


@attrs.frozen
class Bundle:
    """The whole configuration of a deployment."""

    version: int
    parent: int
    models: dict[str, ModelRule] = attrs.field(factory=dict)
    applications: dict[str, ApplicationRule] = attrs.field(factory=dict)
    callers: dict[str, CallerRule] = attrs.field(factory=dict)
    trainers: dict[str, TrainerRule] = attrs.field(factory=dict)
    cut_policy: str = CUT_REFUSE
