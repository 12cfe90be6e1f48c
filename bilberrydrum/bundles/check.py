"""Check a bundle's text: return the bundle, or all findings with their positions.

The text is read into the bundle's classes with the position of each value; then ranges
and references between the parts are checked. All checks run on every text, so that an
operator can correct all faults at once.
"""

import hashlib
import urllib.parse
from collections.abc import Callable, Mapping
from typing import Any, Final

import result

from bilberrydrum import findings, yaml_places
from bilberrydrum.bundles import model

# Other programs that read the state keep versions in 64-bit fields.
MAX_VERSION: Final = 2**53
MAX_SHARE: Final = 1e6
# Each replica keeps the complete text of every bundle that waits for its roll. Some
# 3,000 callers fit in one bundle, and the bundles that may wait take 8 MiB at most.
MAX_CONTENT_BYTES: Final = 256 * 1024
MAX_TIMEOUT_SECONDS: Final = 24 * 3600.0
# Characters that a name must not contain: names are used in URL paths and in labels of
# metrics.
_FORBIDDEN_IN_NAMES: Final = frozenset("/?#%\\\"'{}")

Reading = yaml_places.Reading[model.Bundle]
Check = Callable[[Reading], None]


def digest_of(content: str) -> str:
    """Return the digest that identifies a bundle's text, in hexadecimal."""
    return hashlib.sha256(content.encode()).hexdigest()


def check(
    content: str, file: str
) -> result.Result[model.Bundle, list[findings.Finding]]:
    """Return the bundle described by `content`, or all faults found in it.

    Parameters
    ----------
    content : str
        The YAML text.
    file : str
        Name of the file, as given in the findings.
    """
    if len(content.encode(errors="replace")) > MAX_CONTENT_BYTES:
        message = f"the document is larger than {MAX_CONTENT_BYTES} bytes"
        return result.Err([findings.Finding(file, 1, 1, message)])
    return yaml_places.read(content, file, model.Bundle).and_then(_check_reading)


def _check_reading(
    reading: Reading,
) -> result.Result[model.Bundle, list[findings.Finding]]:
    for each in _CHECKS:
        each(reading)
    return reading.finish()


def _check_versions(reading: Reading) -> None:
    bundle = reading.value
    if not 1 <= bundle.version <= MAX_VERSION:
        reading.report(f"version must be 1 to {MAX_VERSION}", ("version",))
    if bundle.parent < 0:
        reading.report("parent must be 0 or more", ("parent",))
    elif bundle.parent >= bundle.version > 0:
        message = f"parent must be lower than version {bundle.version}"
        reading.report(message, ("parent",), ("version",))
    policies = (model.CUT_REFUSE, model.CUT_HOLD)
    if bundle.cut_policy not in policies:
        message = f"cut_policy must be {' or '.join(policies)}"
        reading.report(message, ("cut_policy",))


def _check_names(reading: Reading) -> None:
    bundle = reading.value
    sections: dict[str, Mapping[str, Any]] = {
        "models": bundle.models,
        "applications": bundle.applications,
        "callers": bundle.callers,
        "trainers": bundle.trainers,
    }
    for section, rules_by_name in sections.items():
        for name in rules_by_name:
            if not _is_name(name):
                message = (
                    f"{name!r} is not a name: use printable ASCII without spaces "
                    "or /?#%\\\"'{}"
                )
                reading.report(message, (section, name))


def _is_name(name: str) -> bool:
    is_plain = name.isascii() and name.isprintable() and " " not in name
    return bool(name) and is_plain and _FORBIDDEN_IN_NAMES.isdisjoint(name)


def _check_models(reading: Reading) -> None:
    for name, rule in reading.value.models.items():
        path = ("models", name)
        if rule.weight_store and not _is_base_url(rule.weight_store):
            message = f"weight_store {rule.weight_store!r} is not http://HOST:PORT"
            reading.report(message, (*path, "weight_store"))
        if rule.max_concurrent_loads < 1:
            message = "max_concurrent_loads must be 1 or more"
            reading.report(message, (*path, "max_concurrent_loads"))
        if rule.weight_version < 0:
            message = "weight_version must be 0 or more"
            reading.report(message, (*path, "weight_version"))
        _check_no_repeats(reading, (*path, "adapters"), rule.adapters)


def _is_base_url(text: str) -> bool:
    try:
        parts = urllib.parse.urlsplit(text)
        port = parts.port
    except ValueError:
        return False
    return parts.scheme == "http" and bool(parts.hostname) and port is not None


def _check_applications(reading: Reading) -> None:
    for name, rule in reading.value.applications.items():
        path = ("applications", name)
        if not 0 < rule.timeout_seconds <= MAX_TIMEOUT_SECONDS:
            message = f"timeout_seconds must be over 0, up to {MAX_TIMEOUT_SECONDS:g}"
            reading.report(message, (*path, "timeout_seconds"))
        for i, method in enumerate(rule.idempotent_methods):
            if not (method.isascii() and method.isalpha() and method.isupper()):
                message = f"{method!r} is not an HTTP method in capitals"
                reading.report(message, (*path, "idempotent_methods", i))


def _check_callers(reading: Reading) -> None:
    bundle = reading.value
    for name, rule in bundle.callers.items():
        path = ("callers", name)
        _check_share(reading, path, rule.share)
        if rule.max_in_flight < 1:
            message = "max_in_flight must be 1 or more"
            reading.report(message, (*path, "max_in_flight"))
        if rule.staleness_bound < -1:
            message = "staleness_bound must be -1 (no bound) or more"
            reading.report(message, (*path, "staleness_bound"))
        for i, used in enumerate(rule.models):
            _check_known(reading, "model", used, (*path, "models", i))
        for i, used in enumerate(rule.applications):
            _check_known(reading, "application", used, (*path, "applications", i))
        _check_no_repeats(reading, (*path, "models"), rule.models)
        _check_no_repeats(reading, (*path, "applications"), rule.applications)


def _check_trainers(reading: Reading) -> None:
    bundle = reading.value
    for name, rule in bundle.trainers.items():
        path = ("trainers", name)
        _check_share(reading, path, rule.share)
        _check_known(reading, "model", rule.model, (*path, "model"))
        _check_known(reading, "application", rule.scorer, (*path, "scorer"))
        if rule.staleness_bound < 0:
            message = "staleness_bound must be 0 or more"
            reading.report(message, (*path, "staleness_bound"))
        served = bundle.models.get(rule.model)
        if rule.adapter and served is not None and rule.adapter not in served.adapters:
            message = f"model {rule.model!r} has no adapter {rule.adapter!r}"
            reading.report(
                message, (*path, "adapter"), ("models", rule.model, "adapters")
            )


def _check_known(
    reading: Reading, kind: str, name: str, path: yaml_places.Path
) -> None:
    known: Mapping[str, Any] = reading.value.models
    if kind == "application":
        known = reading.value.applications
    if name not in known:
        reading.report(f"{kind} {name!r} is not in the bundle", path, (f"{kind}s",))


def _check_share(reading: Reading, path: yaml_places.Path, share: float) -> None:
    if not 0 < share <= MAX_SHARE:
        message = f"share must be over 0, up to {MAX_SHARE:g}"
        reading.report(message, (*path, "share"))


def _check_no_repeats(
    reading: Reading, path: yaml_places.Path, names: tuple[str, ...]
) -> None:
    for i, name in enumerate(names):
        if name in names[:i]:
            reading.report(f"{name!r} is in the list already", (*path, i))


_CHECKS: Final[tuple[Check, ...]] = (
    _check_versions,
    _check_names,
    _check_models,
    _check_applications,
    _check_callers,
    _check_trainers,
)
