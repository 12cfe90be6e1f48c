"""Admission of requests that may crash their upstreams.

A caller may retry a crash-causing request many times, through any gateway. If it were
attempted as often as other requests, each retry would take down the complete service
and all requests that run concurrently. Requests without a crash history, which nearly
all requests are, pass without further checks.
"""

import eliot

from bilberrydrum import clock, quarantine, reasons
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.relay import balancing, crash_watch, relayed_requests


def find_refusal(
    request: relayed_requests.RelayedRequest,
    crashes: crash_watch.CrashWatch,
    balancer: balancing.Balancer,
    upstreams: list[fleet_model.FleetUpstream],
) -> reasons.Reason | None:
    """Return why a request must not be sent to `upstreams`, or None if it may be."""
    standing = crashes.standing(request.fingerprint)
    if standing is quarantine.Standing.CLEAR:
        return None
    refusal = _find_refusal(standing, request, crashes, balancer, upstreams)
    eliot.log_message(
        message_type="crashes:checked",
        request_id=request.inbound.request_id,
        fingerprint=request.fingerprint(),
        standing=standing.label,
        refusal=refusal.value if refusal is not None else "",
        n_run=request.n_run,
    )
    return refusal


def _find_refusal(
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
    if not balancer.has_spare(upstreams, crashes.crashed_ids(), clock.now()):
        return reasons.Reason.REQUEST_DOUBTFUL
    if not crashes.may_try(request.fingerprint()):
        return reasons.Reason.REQUEST_DOUBTFUL
    request.is_trial = True
    return None
