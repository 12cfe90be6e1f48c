"""Whether a request that may end upstreams is sent to one more.

Answers the load in which a caller sends such a request again and again, through any
gateway: tried as often as others, it takes the whole service down each time, and all
that run beside it. Nearly all requests have nothing held against them and pass at once.
"""

import eliot

from bilberrydrum import clock, quarantine, reasons
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.relay import balancing, crash_watch, relayed_requests


def find_refusal(
    course: relayed_requests.RelayedRequest,
    crashes: crash_watch.CrashWatch,
    balancer: balancing.Balancer,
    upstreams: list[fleet_model.FleetUpstream],
) -> reasons.Reason | None:
    """Return why a request is not to be sent to any of `upstreams`; None: it may."""
    standing = crashes.standing(course.fingerprint)
    if standing is quarantine.Standing.CLEAR:
        return None
    refusal = _find_refusal(standing, course, crashes, balancer, upstreams)
    eliot.log_message(
        message_type="crashes:judged",
        request_id=course.inbound.request_id,
        fingerprint=course.fingerprint(),
        standing=standing.label,
        refusal=refusal.value if refusal is not None else "",
        n_run=course.n_run,
    )
    return refusal


def _find_refusal(
    standing: quarantine.Standing,
    course: relayed_requests.RelayedRequest,
    crashes: crash_watch.CrashWatch,
    balancer: balancing.Balancer,
    upstreams: list[fleet_model.FleetUpstream],
) -> reasons.Reason | None:
    if standing is quarantine.Standing.QUARANTINED:
        return reasons.Reason.REQUEST_QUARANTINED
    if course.n_run:
        # One upstream for each attempt of the caller.
        return reasons.Reason.REQUEST_DOUBTFUL
    if course.is_trial:
        # The upstream before had no place for it.
        return None
    if not balancer.has_spare(upstreams, crashes.ended_ids(), clock.now()):
        return reasons.Reason.REQUEST_DOUBTFUL
    if not crashes.may_try(course.fingerprint()):
        return reasons.Reason.REQUEST_DOUBTFUL
    course.is_trial = True
    return None
