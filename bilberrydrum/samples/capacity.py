"""The number of attempts that one owner keeps in flight."""

import math
from collections.abc import Mapping
from typing import Final

from bilberrydrum.bundles import model as bundle_model
from bilberrydrum.samples import scheduling
from bilberrydrum.upstreams import model as upstream_model

# Attempts in flight per run slot of the engines. It is above 1 because the groups are
# not always spread evenly over the owners, and because an engine should have its next
# request waiting.
OVERCOMMIT: Final = 2.0


def pools(
    bundle: bundle_model.Bundle,
    upstreams_by_id: Mapping[str, upstream_model.Upstream],
    n_gateways: int,
) -> list[scheduling.Pool]:
    """Return a pool for each model that trainers use.

    Other gateways may use the same engines, so each owner takes an equal part of their
    capacity.
    """
    shares_by_model: dict[str, dict[str, float]] = {}
    for name, rule in bundle.trainers.items():
        shares_by_model.setdefault(rule.model, {})[name] = max(rule.share, 1e-6)
    pools_ = []
    for model_name, shares in shares_by_model.items():
        capacity = _engine_capacity(model_name, upstreams_by_id) / max(1, n_gateways)
        pools_.append(scheduling.Pool(math.ceil(OVERCOMMIT * capacity), shares))
    return pools_


def _engine_capacity(
    model_name: str, upstreams_by_id: Mapping[str, upstream_model.Upstream]
) -> int:
    return sum(
        each.max_concurrency
        for each in upstreams_by_id.values()
        if each.kind == upstream_model.KIND_ENGINE
        and model_name in each.models
        and each.role == upstream_model.ROLE_GENERATE
    )
