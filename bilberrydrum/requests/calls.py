"""Properties of a call that depend on its kind: need, cost, priority, fingerprint."""

import functools
import hashlib
from typing import Final

from bilberrydrum.requests import fingerprints, model, routing
from bilberrydrum.upstreams import model as upstream_model

# Engines name a prompt's prefix in their cache events by this many digits of the digest
# of this many of its first bytes.
PREFIX_BYTES: Final = 256
PREFIX_DIGITS: Final = 16

Call = model.ModelCall | model.ApplicationCall


@functools.singledispatch
def need_of(call: object) -> routing.Need:
    """Return what `call` needs of its upstream."""
    raise TypeError(
        f"expected a ModelCall or an ApplicationCall, got {type(call).__name__}"
    )


@need_of.register
def _(call: model.ModelCall) -> routing.Need:
    return routing.Need(
        upstream_model.KIND_ENGINE,
        call.model,
        call.adapter,
        call.min_weight_version,
        bool(call.resume_token_ids),
        call.excluded_upstream_ids,
        call.queue_depth,
    )


@need_of.register
def _(call: model.ApplicationCall) -> routing.Need:
    return routing.Need(upstream_model.KIND_APPLICATION, call.application)


@functools.singledispatch
def cost_of(call: object) -> float:
    """Return the expected cost of `call`: tokens of a model call, 1 of any other."""
    return 1.0


@cost_of.register
def _(call: model.ModelCall) -> float:
    n_tokens = call.expected_tokens or call.max_tokens
    return float(max(1, n_tokens - len(call.resume_token_ids)))


def priority_of(call: Call) -> int:
    """Return the call's priority among the calls of its client; lower goes first."""
    if isinstance(call, model.ModelCall) and call.resume_token_ids:
        # The client has received a part of the answer already. If the call waited
        # behind new calls until its deadline, or were refused because the queue is
        # full, the tokens generated so far would be wasted.
        return call.priority - 1
    return call.priority


@functools.singledispatch
def prefix_of(call: object) -> str:
    """Return the digest by which engines report the prefix of the call's prompt."""
    return ""


@prefix_of.register
def _(call: model.ModelCall) -> str:
    prefix = call.prompt.encode()[:PREFIX_BYTES]
    return hashlib.sha256(prefix).hexdigest()[:PREFIX_DIGITS]


@functools.singledispatch
def subject_of(call: object) -> str:
    """Return a description of `call` for operators."""
    raise TypeError(
        f"expected a ModelCall or an ApplicationCall, got {type(call).__name__}"
    )


@subject_of.register
def _(call: model.ModelCall) -> str:
    return f"{call.client}: model {call.model}"


@subject_of.register
def _(call: model.ApplicationCall) -> str:
    return f"{call.client}: {call.method} {call.application}{call.target}"


@functools.singledispatch
def fingerprint_of(call: object) -> str:
    """Return a digest that all calls of a client for the same work have in common."""
    raise TypeError(
        f"expected a ModelCall or an ApplicationCall, got {type(call).__name__}"
    )


@fingerprint_of.register
def _(call: model.ModelCall) -> str:
    # The tokens generated so far are left out: a resumed call is the same work.
    what = f"{call.adapter}/{call.max_tokens}"
    return fingerprints.of_request(
        "generate", call.model, what, call.client, call.prompt.encode()
    )


@fingerprint_of.register
def _(call: model.ApplicationCall) -> str:
    return fingerprints.of_request(
        call.method, call.application, call.target, call.client, call.body
    )
