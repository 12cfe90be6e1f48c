"""How many attempts one owner keeps in flight."""

import math
from collections.abc import Mapping
from typing import Final

from bilberrydrum.bundles import model as bundle_model
from bilberrydrum.samples import scheduling
from bilberrydrum.upstreams import model as upstream_model

# Attempts per place at the engines: groups are not spread evenly over the owners at
# every moment, and an engine should find its next request waiting.
OVERCOMMIT: Final = 2.0


def pools(
    bundle: bundle_model.Bundle,
    upstreams_by_id: Mapping[str, upstream_model.Upstream],
    n_gateways: int,
) -> list[scheduling.Pool]:
    """Return a pool for each model that trainers use.

    Each owner takes an even part of the engines' places; the engines are not known to
    be this gateway's alone.
    """
    shares_by_model: dict[str, dict[str, float]] = {}
    for name, rule in bundle.trainers.items():
        shares_by_model.setdefault(rule.model, {})[name] = max(rule.share, 1e-6)
    pools_ = []
    for model_name, shares in shares_by_model.items():
        places = _places(model_name, upstreams_by_id) / max(1, n_gateways)
        pools_.append(scheduling.Pool(math.ceil(OVERCOMMIT * places), shares))
    return pools_


def _places(
    model_name: str, upstreams_by_id: Mapping[str, upstream_model.Upstream]
) -> int:
    return sum(
        each.max_concurrency
        for each in upstreams_by_id.values()
        if each.kind == upstream_model.KIND_ENGINE
        and model_name in each.models
        and each.role == upstream_model.ROLE_GENERATE
    )
