"""Claims of non-idempotent requests, as a gateway makes and resolves them.

The right to send is bounded in time, by clocks that nobody has to agree on. The holder
counts from when it asked for the claim; another gateway counts from when it first saw
the claim in the answer of the state group, which is later. So when the other one's
time is over, with a margin for clocks that run at unlike rates, the holder's is over
as well, even if it was stopped in the meantime: it asks `Held.may_send` immediately
before the first byte and finds that it is too late. Only then is the request called
unknown, and it is never called not-run by anyone but its holder.
"""

import collections
import uuid
from typing import Final

import attrs
import eliot
import eventlet
import eventlet.event
import result

from bilberrydrum import clock, counters, options, reasons
from bilberrydrum.requests import claims_state
from bilberrydrum.state import client

# Time from the claim in which its holder may begin to send.
SEND_SECONDS: Final = 5.0
# Time for the state group to answer.
STATE_SECONDS: Final = 3.0
# Time to record a result while the caller waits; later it goes on without the caller.
RECORD_SECONDS: Final = 5.0
# Times a result is tried to be recorded.
_MAX_RECORD_TRIES: Final = 10
# Claims of other gateways watched at a time.
MAX_WATCHED: Final = 10_000
_WATCH_SECONDS: Final = 0.25


@attrs.frozen
class Held:
    """A claim that this gateway holds."""

    caller: str
    key: str
    claim_id: str
    # When it is too late to begin to send, in seconds of `clock.now`.
    send_before: float

    def may_send(self) -> bool:
        """Tell whether the first byte may go out now."""
        return clock.now() < self.send_before


@attrs.frozen
class Recorded:
    """The request ran before, or may have."""

    claim: claims_state.Claim


@attrs.frozen
class InProgress:
    """Another attempt at the request holds the claim."""

    retry_after_seconds: float


@attrs.frozen
class Refusal:
    """The key can't be used."""

    reason: reasons.Reason


Claimed = Held | Recorded | InProgress | Refusal


@attrs.define
class _Watched:
    claim: claims_state.Claim
    # When it is over for certain, in seconds of `clock.now`.
    due: float


class Claims:
    """The claims seen by one gateway."""

    def __init__(self, settings: options.Options, state: client.StateClient) -> None:
        self._settings = settings
        self._state = state
        self._watched_by_id: collections.OrderedDict[str, _Watched] = (
            collections.OrderedDict()
        )
        # Sent when a claim begins to be watched while none was.
        self._begun = eventlet.event.Event()
        self._task: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start the task that resolves the claims of lost gateways."""
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop the task."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    def claim(
        self, caller: str, key: str, digest: str, timeout: float
    ) -> result.Result[Claimed, client.StateError]:
        """Claim `key` for the request with `digest`.

        Parameters
        ----------
        caller, key : str
            The key is the caller's own; other callers' keys are others.
        digest : str
            Digest of the whole request.
        timeout : float
            Seconds that the request may take once it is sent.
        """
        asked_at = clock.now()
        command = claims_state.ClaimKey(
            caller,
            key,
            digest,
            uuid.uuid4().hex,
            self._settings.process_id,
            SEND_SECONDS + timeout,
            self._settings.requests.claim_seconds,
        )
        answer = self._state.submit(command, STATE_SECONDS)
        if isinstance(answer, result.Err):
            # The claim may be committed yet. Nothing was sent and nothing will be, so
            # it is given back, or the key would be in progress until it is over.
            if answer.err_value.may_have_applied:
                eventlet.spawn(self.release, _held(command, asked_at))
            return answer
        return result.Ok(self._understand(command, answer.ok_value, asked_at))

    def _understand(
        self,
        command: claims_state.ClaimKey,
        answer: claims_state.ClaimAnswer,
        asked_at: float,
    ) -> Claimed:
        if answer.outcome == claims_state.CLAIM_GRANTED:
            return _held(command, asked_at)
        if answer.outcome == claims_state.CLAIM_OTHER_REQUEST:
            return Refusal(reasons.Reason.KEY_REUSED)
        if answer.outcome == claims_state.CLAIM_TOO_NEW:
            return Refusal(reasons.Reason.INVALID_REQUEST)
        if answer.outcome == claims_state.CLAIM_NO_ROOM:
            return Refusal(reasons.Reason.KEYS_FULL)
        if answer.claim is None:
            return Refusal(reasons.Reason.KEY_EXPIRED)
        return self._known(answer.claim)

    def _known(self, claim: claims_state.Claim) -> Claimed:
        if claim.state != claims_state.STATE_HELD:
            self._watched_by_id.pop(claim.claim_id, None)
            return Recorded(claim)
        due = self._watch(claim)
        return InProgress(min(1.0, max(0.05, due - clock.now())))

    def find(
        self, caller: str, key: str
    ) -> result.Result[Claimed | None, client.StateError]:
        """Return what is known of a key; None: it was never claimed or was released."""
        query = claims_state.FindClaim(
            caller, key, self._settings.requests.claim_seconds
        )
        answer = self._state.query(query, STATE_SECONDS)
        if isinstance(answer, result.Err):
            return answer
        if answer.ok_value.claim is not None:
            return result.Ok(self._known(answer.ok_value.claim))
        if answer.ok_value.outcome == claims_state.CLAIM_EXPIRED:
            return result.Ok(Refusal(reasons.Reason.KEY_EXPIRED))
        return result.Ok(None)

    def release(self, held: Held) -> claims_state.Claim | None:
        """Give up a claim of which nothing was or will be sent.

        Returns
        -------
        Claim or None
            The claim if others recorded the request as unknown in the meantime: that
            is what each retry is told, and stays so.
        """
        command = claims_state.ReleaseClaim(held.caller, held.key, held.claim_id)
        answer = self._in_time(command)
        return answer.claim if answer is not None else None

    def finish(self, held: Held, outcome: claims_state.Result | None) -> bool:
        """Record a result, or that there is none; True once it is recorded.

        When the state group is slow to answer, recording goes on after this returns.
        """
        if outcome is not None:
            outcome = self._bounded(outcome)
        command = claims_state.FinishClaim(
            held.caller, held.key, held.claim_id, outcome
        )
        return self._in_time(command) is not None

    def _in_time(self, command: object) -> claims_state.ClaimAnswer | None:
        task = eventlet.spawn(self._submit_surely, command)
        with eventlet.Timeout(RECORD_SECONDS, False):
            answer: claims_state.ClaimAnswer | None = task.wait()
            return answer
        return None

    def _submit_surely(self, command: object) -> claims_state.ClaimAnswer | None:
        for n_tries in range(_MAX_RECORD_TRIES):
            answer = self._state.submit(command, STATE_SECONDS)
            if isinstance(answer, result.Ok):
                known: claims_state.ClaimAnswer = answer.ok_value
                return known
            counters.retried(answer.err_value.reason)
            clock.sleep(0.1 * 2 ** min(n_tries, 5))
        return None

    def _bounded(self, outcome: claims_state.Result) -> claims_state.Result:
        if len(outcome.body) <= self._settings.requests.max_result_bytes:
            return outcome
        return attrs.evolve(outcome, headers=(), body=b"", is_kept=False)

    def _watch(self, claim: claims_state.Claim) -> float:
        """Have a claim of an unknown end resolved; return when, at the latest."""
        watched = self._watched_by_id.get(claim.claim_id)
        if watched is None:
            margin = 1.0 + 2.0 * self._settings.state.drift_margin
            due = clock.now() + claim.holds_seconds * margin
            watched = _Watched(claim, due)
            self._watched_by_id[claim.claim_id] = watched
            if not self._begun.ready():
                self._begun.send(None)
            if len(self._watched_by_id) > MAX_WATCHED:
                self._watched_by_id.popitem(last=False)
        return watched.due

    def _run(self) -> None:
        while True:
            self._begun.wait()
            clock.sleep(_WATCH_SECONDS)
            self.resolve_due()
            if not self._watched_by_id:
                # An idle gateway has nothing to wake up for.
                self._begun = eventlet.event.Event()

    def resolve_due(self) -> None:
        """Record as unknown each watched claim whose holder can't send any more."""
        now = clock.now()
        for claim_id, watched in list(self._watched_by_id.items()):
            if watched.due > now:
                continue
            claim = watched.claim
            answer = self._state.submit(
                claims_state.FinishClaim(claim.caller, claim.key, claim_id),
                STATE_SECONDS,
            )
            if isinstance(answer, result.Err):
                return
            self._watched_by_id.pop(claim_id, None)
            eliot.log_message(
                message_type="claims:resolved", key=claim.key, holder=claim.holder
            )


def _held(command: claims_state.ClaimKey, asked_at: float) -> Held:
    return Held(command.caller, command.key, command.claim_id, asked_at + SEND_SECONDS)
