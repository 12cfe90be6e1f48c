"""Choose one of several upstreams when the reports of their load are stale.

Other gateways send calls to the same upstreams, and their calls are known only from
reports of some age. If every gateway chose the upstream with the lowest reported load,
all of them would choose the same one until the next report. So the calls that are
likely to have been sent since the reports are distributed over the upstreams by water
filling: those with the lowest cost are filled first, up to a common level. Then an
upstream is chosen at random, weighted by its share of these calls (after M. Dahlin,
"Interpreting Stale Load Information", IEEE TPDS 11(10), 2000). If no such calls are
expected, the upstream of the lowest cost is chosen.
"""

import random
from typing import Final

import attrs

from bilberrydrum.upstreams import model as upstream_model

# Costs that differ by no more than this are treated as equal.
_COST_TOLERANCE: Final = 1e-6


@attrs.define
class Option:
    """One upstream that could take the call."""

    upstream: upstream_model.Upstream
    # Cost of one more call at the upstream.
    cost: float
    # Increase of that cost with each further call; above 0.
    cost_per_call: float


def pick(
    options: list[Option], n_unseen: float, rng: random.Random
) -> upstream_model.Upstream:
    """Return one of the options' upstreams.

    Parameters
    ----------
    options : list of Option
        At least one.
    n_unseen : float
        Expected number of calls that were sent since the reports of the costs.
    rng : random.Random
        Source of the random choice.
    """
    if len(options) == 1:
        return options[0].upstream
    least = min(option.cost for option in options)
    level = _level(options, n_unseen)
    if level <= least + _COST_TOLERANCE:
        ties = [option for option in options if option.cost <= least + _COST_TOLERANCE]
        return rng.choice(ties).upstream
    weights = [
        max(0.0, (level - option.cost) / option.cost_per_call) for option in options
    ]
    return rng.choices(options, weights)[0].upstream


def _level(options: list[Option], n_calls: float) -> float:
    """Return the common cost level after water filling with `n_calls` calls.

    All options with a lower cost are raised to this level; the others get no call.
    """
    options = sorted(options, key=_cost)
    width = 1.0 / options[0].cost_per_call
    level = options[0].cost + n_calls / width
    filled = width * options[0].cost
    for option in options[1:]:
        if option.cost >= level:
            break
        width += 1.0 / option.cost_per_call
        filled += option.cost / option.cost_per_call
        level = (n_calls + filled) / width
    return level


def _cost(option: Option) -> float:
    return option.cost
