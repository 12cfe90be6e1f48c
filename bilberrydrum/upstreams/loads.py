"""When a report of load is worth telling the other gateways.

A report is told when it may alter a choice: the expected wait at the upstream changed
by a good part of its capacity, it began or ceased to queue, its speed changed, or its
KV cache filled up. Between these, a gateway's own count of work in flight says more
than the upstream's lagging report.
"""

from typing import Final

from bilberrydrum.upstreams import model

# Change of work at the upstream, as a share of what it can work on at a time.
WORK_STEP: Final = 0.25
# Relative change of tokens per second.
SPEED_STEP: Final = 0.25
# Share of the KV cache from which requests begin to be preempted.
CACHE_FULL: Final = 0.9


def alters_choice(told: model.Load, load: model.Load, max_concurrency: int) -> bool:
    """Tell whether `load` differs from what was `told` enough to alter a choice."""
    if (told.n_waiting > 0) != (load.n_waiting > 0):
        return True
    n_told = told.n_running + told.n_waiting
    n_now = load.n_running + load.n_waiting
    if abs(n_now - n_told) >= max(1.0, WORK_STEP * max_concurrency):
        return True
    if (told.kv_cache_used >= CACHE_FULL) != (load.kv_cache_used >= CACHE_FULL):
        return True
    difference = abs(load.tokens_per_second - told.tokens_per_second)
    return difference > SPEED_STEP * max(told.tokens_per_second, load.tokens_per_second)
