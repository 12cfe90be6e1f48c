"""Claims of non-idempotent requests in the replicated state.

A key of a caller has at most one claim, and who holds the claim is the only one that
may ever send the request. The claim ends in a result, in `unknown`, or is released by
its holder, who alone can know that nothing was sent.

Keys are forgotten after a while, or the state would grow for ever, and a forgotten key
must not run a second time. A key that carries the time it was made (`keys`) is refused
once it is older than any claim that was forgotten. A key without a time leaves a digest
behind, which is kept; there is a bound on their number, and beyond it such keys are
refused.
"""

import hashlib
from typing import Any, Final

import attrs

from bilberrydrum import codec
from bilberrydrum.requests import keys
from bilberrydrum.state import machine

SECTION: Final = "requests"

STATE_HELD: Final = "held"
STATE_DONE: Final = "done"
STATE_UNKNOWN: Final = "unknown"

# Answers to `ClaimKey`.
CLAIM_GRANTED: Final = "granted"
CLAIM_EXISTS: Final = "exists"
CLAIM_OTHER_REQUEST: Final = "other-request"
CLAIM_EXPIRED: Final = "expired"
CLAIM_TOO_NEW: Final = "too-new"
CLAIM_NO_ROOM: Final = "no-room"

# Keys without a time that are remembered, as claims or digests. A digest has 16 bytes
# and takes about 90 in memory.
MAX_FORGOTTEN: Final = 250_000
# Time by which a key's own time may be ahead of the state's. Its claim is kept that
# much longer, so without a bound a wrong clock would make claims last for ever.
MAX_AHEAD_SECONDS: Final = 3600.0
# Claims looked at for forgetting with each command; keeps a command short.
_PRUNE_PER_COMMAND: Final = 16


@codec.register("requests.result")
@attrs.frozen
class Result:
    """An answer as it is given again."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    # False: the body was larger than results may be and is not kept.
    is_kept: bool = True


@codec.register("requests.claim")
@attrs.frozen
class Claim:
    """The claim of one key."""

    caller: str
    key: str
    # Digest of the request; the key is good for this request only.
    digest: str
    # Names this claim among all that the key ever had; a gateway that was restarted
    # does not know it and so holds none of its earlier claims.
    claim_id: str
    # The gateway that may send the request.
    holder: str
    # Seconds after the claim at which an answer can't come any more.
    holds_seconds: float
    # State time of the claim.
    made_at: float
    # State time at which it may be forgotten.
    forget_at: float
    state: str = STATE_HELD
    result: Result | None = None


@codec.register("requests.claims")
@attrs.define
class Claims:
    """The section of the state."""

    # In the order in which they were made.
    claims_by_name: dict[str, Claim] = attrs.field(factory=dict)
    # Keys made at this time or before are refused.
    floor: float = 0.0
    # Digests of forgotten keys that carry no time.
    forgotten: set[bytes] = attrs.field(factory=set)
    # Restored from a back-up; the next command raises the floor to its own time.
    is_restored: bool = False


@codec.register("requests.claim_key")
@attrs.frozen
class ClaimKey:
    """Claim a key before its request is sent."""

    caller: str
    key: str
    digest: str
    claim_id: str
    holder: str
    holds_seconds: float
    lifetime_seconds: float


@codec.register("requests.claim_answer")
@attrs.frozen
class ClaimAnswer:
    """What became of a `ClaimKey`, one of the constants, and the claim there is."""

    outcome: str
    claim: Claim | None = None


@codec.register("requests.finish_claim")
@attrs.frozen
class FinishClaim:
    """Record the result of a claimed request, or that it is unknown (no result)."""

    caller: str
    key: str
    claim_id: str
    result: Result | None = None


@codec.register("requests.release_claim")
@attrs.frozen
class ReleaseClaim:
    """Give up a claim. Only its holder may, who sent nothing and never will."""

    caller: str
    key: str
    claim_id: str


@codec.register("requests.find_claim")
@attrs.frozen
class FindClaim:
    """Ask what is known of a key."""

    caller: str
    key: str
    lifetime_seconds: float


def _name(caller: str, key: str) -> str:
    # The caller's name is in front, so that callers can't meet each other's keys.
    return f"{len(caller)}:{caller}:{key}"


def _digest(name: str) -> bytes:
    return hashlib.sha256(name.encode()).digest()[:16]


def section(state: machine.State) -> Claims:
    """Return the section of the state."""
    found: Claims = state.section(SECTION, Claims)
    return found


@machine.apply.register
def _(command: ClaimKey, state: machine.State, context: machine.Context) -> Any:
    claims = section(state)
    _forget_old(claims, context.time)
    name = _name(command.caller, command.key)
    known = claims.claims_by_name.get(name)
    if known is not None:
        return _meet(known, command)
    refusal = _refuse_new(claims, command, name, context.time)
    if refusal is not None:
        return ClaimAnswer(refusal)
    key_time = keys.time_of(command.key) or 0.0
    claim = Claim(
        command.caller,
        command.key,
        command.digest,
        command.claim_id,
        command.holder,
        command.holds_seconds,
        made_at=context.time,
        forget_at=max(key_time, context.time) + command.lifetime_seconds,
    )
    claims.claims_by_name[name] = claim
    return ClaimAnswer(CLAIM_GRANTED, claim)


def _meet(known: Claim, command: ClaimKey) -> ClaimAnswer:
    if known.digest != command.digest:
        return ClaimAnswer(CLAIM_OTHER_REQUEST, known)
    # The same command again, its answer having been lost: the claim is still the
    # sender's.
    if known.claim_id == command.claim_id and known.state == STATE_HELD:
        return ClaimAnswer(CLAIM_GRANTED, known)
    return ClaimAnswer(CLAIM_EXISTS, known)


def _refuse_new(claims: Claims, command: ClaimKey, name: str, now: float) -> str | None:
    key_time = keys.time_of(command.key)
    if key_time is not None:
        if key_time > now + MAX_AHEAD_SECONDS:
            return CLAIM_TOO_NEW
        oldest = max(claims.floor, now - command.lifetime_seconds)
        return CLAIM_EXPIRED if key_time <= oldest else None
    if _digest(name) in claims.forgotten:
        return CLAIM_EXPIRED
    if len(claims.forgotten) + len(claims.claims_by_name) >= MAX_FORGOTTEN:
        return CLAIM_NO_ROOM
    return None


@machine.keep_rising.register
def _(section: Claims, current: Any) -> None:
    # Keys claimed after the back-up was made are not in it, and would run again.
    # Those of the group that it is restored into are kept; of a group that was lost
    # nothing is known, so no key made before the restoring is taken for a new one.
    section.is_restored = True
    if isinstance(current, Claims):
        section.claims_by_name.update(current.claims_by_name)
        section.forgotten |= current.forgotten
        section.floor = max(section.floor, current.floor)


def _forget_old(claims: Claims, now: float) -> None:
    if claims.is_restored:
        claims.floor = max(claims.floor, now)
        claims.is_restored = False
    # The first claims are the oldest. Those behind one with a longer life wait for it;
    # they are only kept longer than they need to be.
    for name in list(_first(claims.claims_by_name, _PRUNE_PER_COMMAND)):
        claim = claims.claims_by_name[name]
        if claim.forget_at > now:
            return
        del claims.claims_by_name[name]
        key_time = keys.time_of(claim.key)
        if key_time is None:
            claims.forgotten.add(_digest(name))
        else:
            # Gateways with other settings, or a clock set back, must not take this
            # key for a new one, whatever lifetime they name.
            claims.floor = max(claims.floor, key_time)


def _first(mapping: dict[str, Claim], n_items: int) -> list[str]:
    return [name for name, _ in zip(mapping, range(n_items), strict=False)]


@machine.apply.register
def _(command: FinishClaim, state: machine.State, context: machine.Context) -> Any:
    claims = section(state)
    name = _name(command.caller, command.key)
    known = claims.claims_by_name.get(name)
    if known is None or known.claim_id != command.claim_id:
        return ClaimAnswer(CLAIM_EXPIRED)
    if known.state == STATE_DONE:
        return ClaimAnswer(CLAIM_EXISTS, known)
    if command.result is None:
        known = attrs.evolve(known, state=STATE_UNKNOWN)
    else:
        # A result that comes after others held the request for lost is still the
        # truth, and better than "unknown" for every retry from here on.
        known = attrs.evolve(known, state=STATE_DONE, result=command.result)
    claims.claims_by_name[name] = known
    return ClaimAnswer(CLAIM_EXISTS, known)


@machine.apply.register
def _(command: ReleaseClaim, state: machine.State, context: machine.Context) -> Any:
    claims = section(state)
    name = _name(command.caller, command.key)
    known = claims.claims_by_name.get(name)
    if known is None or known.claim_id != command.claim_id:
        # Only its holder takes a claim away before its time, so an earlier try of this
        # command did, whose answer was lost.
        return ClaimAnswer(CLAIM_GRANTED)
    if known.state != STATE_HELD:
        # A caller was told "unknown" already; the key keeps that answer.
        return ClaimAnswer(CLAIM_EXISTS, known)
    del claims.claims_by_name[name]
    return ClaimAnswer(CLAIM_GRANTED)


@machine.answer.register
def _(query: FindClaim, state: machine.State, now: float) -> Any:
    claims = section(state)
    name = _name(query.caller, query.key)
    known = claims.claims_by_name.get(name)
    if known is not None:
        return ClaimAnswer(CLAIM_EXISTS, known)
    key_time = keys.time_of(query.key)
    oldest = max(claims.floor, now - query.lifetime_seconds)
    if key_time is not None and key_time <= oldest:
        return ClaimAnswer(CLAIM_EXPIRED)
    if _digest(name) in claims.forgotten:
        return ClaimAnswer(CLAIM_EXPIRED)
    return ClaimAnswer(CLAIM_GRANTED)
