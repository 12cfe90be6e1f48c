"""Choice of the upstream for a request that may crash it.

A caller may retry a crash-causing request many times, through any gateway. If it were
attempted as often as other requests, each retry would take down the complete service
and all requests that run concurrently. A request that was cut off repeatedly is
therefore tried at one upstream at a time, where no other such request is tried.
Requests without a crash history, which nearly all requests are, pass without further
checks.
"""

from typing import Final

import eliot

from bilberrydrum import clock, quarantine, reasons
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.relay import balancing, crash_watch, relayed_requests

# Upstreams that are proposed for a trial. More suspected requests than that are rarely
# tried at once, and the others are tried a moment later.
_MAX_CANDIDATES: Final = 16


def choose(
    request: relayed_requests.RelayedRequest,
    crashes: crash_watch.CrashWatch,
    balancer: balancing.Balancer,
    upstreams: list[fleet_model.FleetUpstream],
) -> fleet_model.FleetUpstream | None:
    """Return the upstream to send a request to, or None.

    If the request must not be sent because of its crash history, it is refused.
    """
    refusal = _find_refusal(request, crashes, balancer, upstreams)
    if refusal is not None:
        request.refuse(refusal)
        return None
    now = clock.now()
    granted = [
        each for each in upstreams if each.upstream_id == request.trial_upstream_id
    ]
    # A trial whose upstream was full, or has left, goes to another one, where by chance
    # another request may be tried.
    return balancer.choose(granted, request.excluded_ids, now) or balancer.choose(
        upstreams, request.excluded_ids, now
    )


def is_suspect(
    request: relayed_requests.RelayedRequest, crashes: crash_watch.CrashWatch
) -> bool:
    """Return whether a request has a history for which it is not sent as others are."""
    if crashes.is_owed:
        return False
    standing = crashes.standing(request.fingerprint)
    return standing is not quarantine.Standing.CLEAR or crashes.must_run_apart(
        request.fingerprint
    )


def _find_refusal(
    request: relayed_requests.RelayedRequest,
    crashes: crash_watch.CrashWatch,
    balancer: balancing.Balancer,
    upstreams: list[fleet_model.FleetUpstream],
) -> reasons.Reason | None:
    """Return why a request must not be sent to `upstreams`, or None if it may be."""
    if not is_suspect(request, crashes):
        return None
    standing = crashes.standing(request.fingerprint)
    refusal = _refusal_of_suspect(standing, request, crashes, balancer, upstreams)
    eliot.log_message(
        message_type="crashes:checked",
        request_id=request.inbound.request_id,
        fingerprint=request.fingerprint(),
        standing=standing.label,
        refusal=refusal.value if refusal is not None else "",
        n_run=request.n_run,
        upstream_id=request.trial_upstream_id,
    )
    return refusal


def _refusal_of_suspect(
    standing: quarantine.Standing,
    request: relayed_requests.RelayedRequest,
    crashes: crash_watch.CrashWatch,
    balancer: balancing.Balancer,
    upstreams: list[fleet_model.FleetUpstream],
) -> reasons.Reason | None:
    if standing is quarantine.Standing.QUARANTINED:
        return reasons.Reason.REQUEST_QUARANTINED
    if request.n_run:
        # A suspected request may run at one upstream for each attempt of the caller.
        return reasons.Reason.REQUEST_DOUBTFUL
    if request.is_trial:
        # The trial is granted already; the previous upstream had no capacity for it.
        return None
    now = clock.now()
    if not balancer.has_spare(upstreams, crashes.crashed_ids(), now):
        return reasons.Reason.REQUEST_DOUBTFUL
    ranked = balancer.ranked(upstreams, request.excluded_ids, now)
    candidates = [each.upstream_id for each in ranked[:_MAX_CANDIDATES]]
    trial = crashes.may_try(request.fingerprint(), candidates)
    if not trial.is_granted:
        return reasons.Reason.REQUEST_DOUBTFUL
    request.is_trial = True
    request.trial_upstream_id = trial.upstream_id
    return None
