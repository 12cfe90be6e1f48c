"""Decide when a reported load is published to the other gateways.

A report is published when it may affect routing: the expected wait at the upstream
changed by a considerable part of its capacity, it began or ceased to queue, its speed
changed, or its KV cache filled up. Between these, a gateway's own count of work in
flight is more accurate than the upstream's lagging report.
"""

from typing import Final

from bilberrydrum.upstreams import model

# Change of work at the upstream, as a share of its maximum concurrency.
WORK_STEP: Final = 0.25
# Relative change of tokens per second.
SPEED_STEP: Final = 0.25
# Share of the KV cache in use from which engines begin to preempt requests.
CACHE_FULL: Final = 0.9


def affects_routing(
    published: model.Load, load: model.Load, max_concurrency: int
) -> bool:
    """Return whether `load` differs enough from `published` to affect routing."""
    if (published.n_waiting > 0) != (load.n_waiting > 0):
        return True
    n_published = published.n_running + published.n_waiting
    n_now = load.n_running + load.n_waiting
    if abs(n_now - n_published) >= max(1.0, WORK_STEP * max_concurrency):
        return True
    if (published.kv_cache_used >= CACHE_FULL) != (load.kv_cache_used >= CACHE_FULL):
        return True
    difference = abs(load.tokens_per_second - published.tokens_per_second)
    return difference > SPEED_STEP * max(
        published.tokens_per_second, load.tokens_per_second
    )
