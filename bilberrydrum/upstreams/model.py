"""The data of an upstream: an engine or an application."""

from typing import Final

import attrs

KIND_ENGINE: Final = "engine"
KIND_APPLICATION: Final = "application"

ROLE_GENERATE: Final = "generate"


@attrs.frozen
class ServedModel:
    """One model on one engine, as the engine reports it."""

    # Version that the engine currently generates with.
    weight_version: int
    # Versions in the engine's memory.
    loaded_versions: tuple[int, ...] = ()
    adapters: tuple[str, ...] = ()


@attrs.frozen
class Load:
    """The load that an upstream reports of itself; it lags behind the actual load."""

    n_running: int = 0
    n_waiting: int = 0
    # Share of the KV cache in use, 0 to 1.
    kv_cache_used: float = 0.0
    # Tokens generated per second, all requests together.
    tokens_per_second: float = 0.0


@attrs.frozen
class Upstream:
    """One upstream as announced."""

    upstream_id: str
    kind: str
    # ``IP:port`` where it serves HTTP.
    address: str
    availability_zone: str = ""
    # Number of requests that it can work on concurrently.
    max_concurrency: int = 16
    # Engines: models by name.
    models: dict[str, ServedModel] = attrs.field(factory=dict)
    # Engines: "generate", or another role it was ordered into.
    role: str = ROLE_GENERATE
    # Engines: whether it refuses orders that carry an old fencing number.
    checks_fencing: bool = False
    # Engines: whether it can resume generation from given tokens.
    can_resume: bool = False
    # Applications: the application's name.
    application: str = ""
    load: Load = attrs.field(factory=Load)
    # Number of the owner's last change of this upstream. It rises with each change that
    # the upstream reports.
    change: int = 0
