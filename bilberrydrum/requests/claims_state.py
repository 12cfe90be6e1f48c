"""Claims of non-idempotent requests in the replicated state.

A key of a caller has at most one claim, and only the holder of the claim may send the
request. A claim ends with a result or as `unknown`, or its holder releases it. Only the
holder can know that nothing was sent.

Claims are removed after their lifetime, because the state would otherwise grow without
bound. The request of a removed key must not run a second time. A key that contains its
creation time (see `keys`) is refused if it is not newer than the newest such key
removed so far. For a key without a time, a digest of the key is kept. The number of
digests is bounded, and once the bound is reached, new keys without a time are refused.
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

# Outcomes in a `ClaimAnswer`.
CLAIM_GRANTED: Final = "granted"
CLAIM_EXISTS: Final = "exists"
CLAIM_OTHER_REQUEST: Final = "other-request"
CLAIM_EXPIRED: Final = "expired"
CLAIM_TOO_NEW: Final = "too-new"
CLAIM_NO_ROOM: Final = "no-room"

# Limit of the number of claims and digests together; once it is reached, new keys
# without a time are refused. A digest has 16 bytes and takes about 90 bytes of memory.
MAX_FORGOTTEN: Final = 250_000
# Time by which the creation time in a key may be ahead of the state time. The claim is
# kept longer by as much, so without this bound a caller with a wrong clock could create
# claims that are never removed.
MAX_AHEAD_SECONDS: Final = 3600.0
# Maximum number of expired claims that one command removes, to keep commands short.
_PRUNE_PER_COMMAND: Final = 16


@codec.register("requests.result")
@attrs.frozen
class Result:
    """A recorded answer, which is replayed to retries."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    # False if the body exceeded `max_result_bytes`; then only the status is kept.
    is_kept: bool = True


@codec.register("requests.claim")
@attrs.frozen
class Claim:
    """The claim of one key."""

    caller: str
    key: str
    # Digest of the request. The key can't be used for a different request.
    digest: str
    # Unique id of this claim among all claims of the key. A restarted gateway does not
    # know the ids of its earlier claims, and so can't act as their holder.
    claim_id: str
    # The gateway that may send the request.
    holder: str
    # Seconds from the claim after which the holder can't get an answer any more.
    holds_seconds: float
    # State time of the claim.
    made_at: float
    # State time at which the claim may be removed.
    forget_at: float
    state: str = STATE_HELD
    result: Result | None = None


@codec.register("requests.claims")
@attrs.define
class Claims:
    """The section of the replicated state that holds the claims."""

    # The claims in the order in which they were made.
    claims_by_name: dict[str, Claim] = attrs.field(factory=dict)
    # Keys whose creation time is at or before this time are refused.
    floor: float = 0.0
    # Digests of removed keys that contain no time.
    forgotten: set[bytes] = attrs.field(factory=set)
    # True if the section was restored from a backup and no `ClaimKey` has been applied
    # since. The next one raises the floor to its own time.
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
    """The outcome of a command or query (a ``CLAIM_`` constant), and the claim."""

    outcome: str
    claim: Claim | None = None


@codec.register("requests.finish_claim")
@attrs.frozen
class FinishClaim:
    """Record the result of a claimed request, or that its outcome is unknown.

    Without a `result`, the outcome is unknown.
    """

    caller: str
    key: str
    claim_id: str
    result: Result | None = None


@codec.register("requests.release_claim")
@attrs.frozen
class ReleaseClaim:
    """Release a claim.

    Only the holder may send this command, and only if it has not sent the request and
    never will.
    """

    caller: str
    key: str
    claim_id: str


@codec.register("requests.find_claim")
@attrs.frozen
class FindClaim:
    """Query what is known about a key."""

    caller: str
    key: str
    lifetime_seconds: float


def _name(caller: str, key: str) -> str:
    # The caller's name and its length come first, so that names of different callers'
    # keys never collide.
    return f"{len(caller)}:{caller}:{key}"


def _digest(name: str) -> bytes:
    return hashlib.sha256(name.encode()).digest()[:16]


def section(state: machine.State) -> Claims:
    """Return the section of the claims."""
    found: Claims = state.section(SECTION, Claims)
    return found


@machine.apply.register
def _(command: ClaimKey, state: machine.State, context: machine.Context) -> Any:
    claims = section(state)
    _forget_expired(claims, context.time)
    name = _name(command.caller, command.key)
    known = claims.claims_by_name.get(name)
    if known is not None:
        return _answer_existing(known, command)
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


def _answer_existing(known: Claim, command: ClaimKey) -> ClaimAnswer:
    if known.digest != command.digest:
        return ClaimAnswer(CLAIM_OTHER_REQUEST, known)
    # The holder repeats its command because the answer was lost. It still holds the
    # claim.
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
    # Keys that were claimed after the backup was made are missing from it, and their
    # requests would run again. If the backup is restored into a running group, the keys
    # of that group are kept. If the group was lost, its keys are not known, so each
    # key that was created before the restore is refused.
    section.is_restored = True
    if isinstance(current, Claims):
        section.claims_by_name.update(current.claims_by_name)
        section.forgotten |= current.forgotten
        section.floor = max(section.floor, current.floor)


def _forget_expired(claims: Claims, now: float) -> None:
    if claims.is_restored:
        claims.floor = max(claims.floor, now)
        claims.is_restored = False
    # The oldest claims come first. If one with a longer lifetime is ahead of others,
    # those are kept until it expires as well, which is longer than needed but safe.
    for name in list(_first_names(claims.claims_by_name, _PRUNE_PER_COMMAND)):
        claim = claims.claims_by_name[name]
        if claim.forget_at > now:
            return
        del claims.claims_by_name[name]
        key_time = keys.time_of(claim.key)
        if key_time is None:
            claims.forgotten.add(_digest(name))
        else:
            # This key must never be accepted again, even if a gateway sends a longer
            # lifetime because of other settings, or if the state time is set back.
            claims.floor = max(claims.floor, key_time)


def _first_names(mapping: dict[str, Claim], n_items: int) -> list[str]:
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
        # The holder may send its result after another gateway has recorded the outcome
        # as unknown. The result is correct, and all later retries get it instead.
        known = attrs.evolve(known, state=STATE_DONE, result=command.result)
    claims.claims_by_name[name] = known
    return ClaimAnswer(CLAIM_EXISTS, known)


@machine.apply.register
def _(command: ReleaseClaim, state: machine.State, context: machine.Context) -> Any:
    claims = section(state)
    name = _name(command.caller, command.key)
    known = claims.claims_by_name.get(name)
    if known is None or known.claim_id != command.claim_id:
        # Before a claim expires, only its holder can remove it. So an earlier copy of
        # this command has removed it, and the answer was lost.
        return ClaimAnswer(CLAIM_GRANTED)
    if known.state != STATE_HELD:
        # A caller may have received "unknown" already, so the key keeps that answer.
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
