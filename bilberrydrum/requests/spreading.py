"""Pick one of several upstreams when others pick at the same time, unseen.

The state of the upstreams is known by reports of some age. If every gateway took the
one that looked best, all of them would take the same one until the next report. So the
calls that are likely to have come since are poured over the upstreams like water, where
it is lowest first, and one is taken by chance, with the share that was poured into it
(after M. Dahlin, "Interpreting Stale Load Information", IEEE TPDS 11(10), 2000). With
no such calls the one of the least cost is taken.
"""

import random
from typing import Final

import attrs

from bilberrydrum.upstreams import model as upstream_model

# Costs that differ by less are the same.
_SMALL: Final = 1e-6


@attrs.define
class Option:
    """One upstream that could take the call."""

    upstream: upstream_model.Upstream
    # What one more call costs there.
    cost: float
    # By how much each further call makes it dearer; above 0.
    rise: float


def pick(
    options: list[Option], n_unseen: float, rng: random.Random
) -> upstream_model.Upstream:
    """Return one of the options' upstreams.

    Parameters
    ----------
    options : list of Option
        At least one.
    n_unseen : float
        Calls that are likely to have come since the costs were known.
    rng : random.Random
        Where the chance comes from.
    """
    if len(options) == 1:
        return options[0].upstream
    least = min(option.cost for option in options)
    level = _level(options, n_unseen)
    if level <= least + _SMALL:
        ties = [option for option in options if option.cost <= least + _SMALL]
        return rng.choice(ties).upstream
    weights = [max(0.0, (level - option.cost) / option.rise) for option in options]
    return rng.choices(options, weights)[0].upstream


def _level(options: list[Option], n_calls: float) -> float:
    """Return the cost that all options below it reach with `n_calls` further calls."""
    options = sorted(options, key=_cost)
    width = 1.0 / options[0].rise
    level = options[0].cost + n_calls / width
    filled = width * options[0].cost
    for option in options[1:]:
        if option.cost >= level:
            break
        width += 1.0 / option.rise
        filled += option.cost / option.rise
        level = (n_calls + filled) / width
    return level


def _cost(option: Option) -> float:
    return option.cost
