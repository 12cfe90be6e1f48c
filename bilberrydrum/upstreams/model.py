"""What is known of an upstream: an engine or an application."""

from typing import Final

import attrs

KIND_ENGINE: Final = "engine"
KIND_APPLICATION: Final = "application"

ROLE_GENERATE: Final = "generate"


@attrs.frozen
class ServedModel:
    """One model on one engine, as the engine reports it."""

    # Version that the engine generates with now.
    weight_version: int
    # Versions in the engine's memory.
    loaded_versions: tuple[int, ...] = ()
    adapters: tuple[str, ...] = ()


@attrs.frozen
class Load:
    """An upstream's own report of its load; it lags."""

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
    # Requests it can work on at a time.
    max_concurrency: int = 16
    # Engines: models by name.
    models: dict[str, ServedModel] = attrs.field(factory=dict)
    # Engines: "generate", or another role it was ordered into.
    role: str = ROLE_GENERATE
    # Engines: refuses orders that carry an old fencing number.
    checks_fencing: bool = False
    # Engines: can go on from given tokens.
    can_resume: bool = False
    # Applications: the application's name.
    application: str = ""
    load: Load = attrs.field(factory=Load)
    # Number that rises with each change the upstream reports, kept by its home gateway.
    change: int = 0
