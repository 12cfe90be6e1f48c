"""Validation of traffic policies; all findings are reported together."""

from bilberrydrum import findings
from bilberrydrum.fleet import accounts, policy


def check(document: policy.Policy, name: str = "policy") -> list[findings.Finding]:
    """Return the faults of `document`; empty if it may be committed."""
    found: list[str] = []
    known = {each.name for each in document.services}
    if len(known) != len(document.services):
        found.append("two services have the same name")
    places = set()
    for route in document.routes:
        found += [f"route {route.name}: {text}" for text in _faults(route, known)]
        place = (route.host.lower(), route.path_prefix)
        if place in places:
            found.append(f"route {route.name}: another route has its host and prefix")
        places.add(place)
    found += accounts.faults(document.accounts or ())
    return [findings.Finding(name, 0, 0, text) for text in found]


def _faults(route: policy.Route, known: set[str]) -> list[str]:
    found = []
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        found.append("the prefix must begin and end with a slash")
    if not route.host:
        found.append("the host must not be empty")
    for share in route.shares:
        if share.service not in known:
            found.append(f"no service is named {share.service!r}")
        if share.weight < 0:
            found.append(f"the weight of {share.service!r} must not be negative")
    if sum(each.weight for each in route.shares) <= 0:
        found.append("the weights must add up to more than 0")
    if route.timeout_seconds <= 0:
        found.append("the timeout must be more than 0")
    if route.max_attempts < 1:
        found.append("the number of attempts must be at least 1")
    return found
