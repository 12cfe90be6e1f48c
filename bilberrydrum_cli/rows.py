"""Rows of tables with the fields that fit on a terminal; JSON output has all."""

from typing import Any


def upstream_row(upstream: dict[str, Any]) -> dict[str, Any]:
    """Return the row of one upstream of ``GET /v1/upstreams``."""
    models = upstream.get("models") or {}
    served = [f"{name}@{each['weight_version']}" for name, each in models.items()]
    load = upstream.get("load") or {}
    return {
        "upstream": upstream.get("upstream_id", ""),
        "zone": upstream.get("availability_zone", ""),
        "address": upstream.get("address", ""),
        "serves": upstream.get("application") or ",".join(served),
        "state": upstream.get("state", ""),
        "drained": upstream.get("is_drained", False),
        "home": upstream.get("home", ""),
        "running": load.get("n_running", 0),
        "waiting": load.get("n_waiting", 0),
    }


def quarantine_row(request: dict[str, Any]) -> dict[str, Any]:
    """Return the row of one request of ``GET /v1/quarantine``."""
    return {
        "fingerprint": request.get("fingerprint", ""),
        "standing": request.get("standing", ""),
        "times": request.get("n_quarantines", 0),
        "ended": ",".join(request.get("ended_ids", [])),
        "subject": request.get("subject", ""),
    }


def weight_tables(status: dict[str, Any]) -> dict[str, Any]:
    """Return the answer of ``GET /v1/weights`` with a row per model and per engine."""
    models = status.get("models", [])
    return {
        **status,
        "models": [
            {name: value for name, value in each.items() if name != "engines"}
            for each in models
        ],
        "engines": [
            _engine_row(each.get("model", ""), engine)
            for each in models
            for engine in each.get("engines", [])
        ],
    }


def _engine_row(model: str, engine: dict[str, Any]) -> dict[str, Any]:
    loaded = [str(version) for version in engine.get("loaded_versions", [])]
    failed = engine.get("failed_orders", [])
    details = [f"{each['kind']}: {each['detail']}" for each in failed]
    return {
        "engine": engine.get("upstream_id", ""),
        "model": model,
        "version": engine.get("weight_version", ""),
        "loaded": ",".join(loaded),
        "state": engine.get("state", ""),
        "order": engine.get("order", ""),
        "failed": "; ".join(details),
    }
