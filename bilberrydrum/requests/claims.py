"""A gateway's part in claiming non-idempotent requests and resolving the claims.

A claim gives its holder the right to send the request for a limited time. The clocks of
the gateways need not agree on the time. The holder measures from the moment at which it
requested the claim. Another gateway measures from the moment at which it first saw the
claim in an answer of the state group, which is later. It waits for the same time, plus
a margin for clocks that run at different rates. So when its wait is over, the holder's
time is over as well. This holds even if the holder was suspended in the meantime, as it
checks `Held.may_send` immediately before it sends the first byte. Only after this wait
does another gateway record the outcome of the request as unknown. Only the holder may
say that the request did not run.
"""

import collections
import uuid
from typing import Final

import attrs
import eliot
import eventlet
import eventlet.event
import result

from bilberrydrum import clock, counters, options, reasons, tasks
from bilberrydrum.requests import claims_state
from bilberrydrum.state import client

# Time from the request for a claim within which its holder may begin to send.
SEND_SECONDS: Final = 5.0
# Timeout of a command or query to the state group.
STATE_TIMEOUT_SECONDS: Final = 3.0
# Time for which the caller waits until its result is recorded. After it, recording
# continues in the background.
RECORD_WAIT_SECONDS: Final = 5.0
# Maximum number of times that a command to finish or release a claim is submitted.
_MAX_SUBMIT_TRIES: Final = 10
# Maximum number of other gateways' claims that are watched at a time.
MAX_WATCHED: Final = 10_000
_WATCH_INTERVAL_SECONDS: Final = 0.25
_TASK: Final = "claims"


@attrs.frozen
class Held:
    """A claim that this gateway holds."""

    caller: str
    key: str
    claim_id: str
    # Sending must begin before this time, in seconds of `clock.now`.
    send_before: float

    def may_send(self) -> bool:
        """Return whether the first byte may be sent now."""
        return clock.now() < self.send_before


@attrs.frozen
class Recorded:
    """The request has run, or its outcome is recorded as unknown."""

    claim: claims_state.Claim


@attrs.frozen
class InProgress:
    """Another attempt at the request holds the claim at the moment."""

    retry_after_seconds: float


@attrs.frozen
class Refusal:
    """The key can't be used for this request."""

    reason: reasons.Reason


Claimed = Held | Recorded | InProgress | Refusal


@attrs.define
class _Watched:
    claim: claims_state.Claim
    # When the holder can no longer send or get an answer, in seconds of `clock.now`.
    due: float


class Claims:
    """Makes claims for one gateway, and watches those of others that it has seen."""

    def __init__(self, settings: options.Options, state: client.StateClient) -> None:
        self._settings = settings
        self._state = state
        self._watched_by_id: collections.OrderedDict[str, _Watched] = (
            collections.OrderedDict()
        )
        # Triggered when a claim is watched and no other was watched before.
        self._watch_began = eventlet.event.Event()
        self._task: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start the task that resolves the claims of crashed gateways."""
        self._task = eventlet.spawn(tasks.run_forever, _TASK, self._resolve_watched)

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
            Keys belong to their caller; the same key of another caller is a different
            one.
        digest : str
            Digest of the complete request.
        timeout : float
            Seconds that the request may take after it was sent.
        """
        requested_at = clock.now()
        command = claims_state.ClaimKey(
            caller,
            key,
            digest,
            uuid.uuid4().hex,
            self._settings.process_id,
            SEND_SECONDS + timeout,
            self._settings.requests.claim_seconds,
        )
        answer = self._state.submit(command, STATE_TIMEOUT_SECONDS)
        if isinstance(answer, result.Err):
            # The claim may still be committed. Nothing was sent and nothing will be, so
            # it is released. Otherwise retries would find the key in progress until
            # the claim expires, and then its outcome would be recorded as unknown.
            if answer.err_value.may_have_applied:
                eventlet.spawn(self.release, _held(command, requested_at))
            return answer
        return result.Ok(self._interpret(command, answer.ok_value, requested_at))

    def _interpret(
        self,
        command: claims_state.ClaimKey,
        answer: claims_state.ClaimAnswer,
        requested_at: float,
    ) -> Claimed:
        if answer.outcome == claims_state.CLAIM_GRANTED:
            return _held(command, requested_at)
        if answer.outcome == claims_state.CLAIM_OTHER_REQUEST:
            return Refusal(reasons.Reason.KEY_REUSED)
        if answer.outcome == claims_state.CLAIM_TOO_NEW:
            return Refusal(reasons.Reason.INVALID_REQUEST)
        if answer.outcome == claims_state.CLAIM_NO_ROOM:
            return Refusal(reasons.Reason.KEYS_FULL)
        if answer.claim is None:
            return Refusal(reasons.Reason.KEY_EXPIRED)
        return self._classify(answer.claim)

    def _classify(self, claim: claims_state.Claim) -> Claimed:
        if claim.state != claims_state.STATE_HELD:
            self._watched_by_id.pop(claim.claim_id, None)
            return Recorded(claim)
        due = self._watch(claim)
        return InProgress(min(1.0, max(0.05, due - clock.now())))

    def find(
        self, caller: str, key: str
    ) -> result.Result[Claimed | None, client.StateError]:
        """Return what is known about a key; None if it is unclaimed or released."""
        query = claims_state.FindClaim(
            caller, key, self._settings.requests.claim_seconds
        )
        answer = self._state.query(query, STATE_TIMEOUT_SECONDS)
        if isinstance(answer, result.Err):
            return answer
        if answer.ok_value.claim is not None:
            return result.Ok(self._classify(answer.ok_value.claim))
        if answer.ok_value.outcome == claims_state.CLAIM_EXPIRED:
            return result.Ok(Refusal(reasons.Reason.KEY_EXPIRED))
        return result.Ok(None)

    def release(self, held: Held) -> claims_state.Claim | None:
        """Release a claim whose request was not sent and will not be.

        Returns
        -------
        Claim or None
            The claim, if another gateway has recorded the outcome as unknown in the
            meantime. All retries get that answer, so it is not changed any more.
            Otherwise None, also if the state group did not answer in time.
        """
        command = claims_state.ReleaseClaim(held.caller, held.key, held.claim_id)
        answer = self._submit_bounded(command)
        return answer.claim if answer is not None else None

    def finish(self, held: Held, outcome: claims_state.Result | None) -> bool:
        """Record a result, or that the outcome is unknown.

        Parameters
        ----------
        held : Held
            The claim.
        outcome : Result or None
            The result; None if the outcome is unknown.

        Returns
        -------
        bool
            Whether it is recorded. False if the state group did not answer within
            `RECORD_WAIT_SECONDS`; recording then continues in the background.
        """
        if outcome is not None:
            outcome = self._limit_body(outcome)
        command = claims_state.FinishClaim(
            held.caller, held.key, held.claim_id, outcome
        )
        return self._submit_bounded(command) is not None

    def _submit_bounded(self, command: object) -> claims_state.ClaimAnswer | None:
        task = eventlet.spawn(self._submit_with_retries, command)
        with eventlet.Timeout(RECORD_WAIT_SECONDS, False):
            answer: claims_state.ClaimAnswer | None = task.wait()
            return answer
        return None

    def _submit_with_retries(self, command: object) -> claims_state.ClaimAnswer | None:
        for n_tries in range(_MAX_SUBMIT_TRIES):
            answer = self._state.submit(command, STATE_TIMEOUT_SECONDS)
            if isinstance(answer, result.Ok):
                known: claims_state.ClaimAnswer = answer.ok_value
                return known
            counters.retried(answer.err_value.reason)
            clock.sleep(0.1 * 2 ** min(n_tries, 5))
        return None

    def _limit_body(self, outcome: claims_state.Result) -> claims_state.Result:
        if len(outcome.body) <= self._settings.requests.max_result_bytes:
            return outcome
        return attrs.evolve(outcome, headers=(), body=b"", is_kept=False)

    def _watch(self, claim: claims_state.Claim) -> float:
        """Watch another gateway's claim; return when it can be resolved as unknown."""
        watched = self._watched_by_id.get(claim.claim_id)
        if watched is None:
            margin = 1.0 + 2.0 * self._settings.state.drift_margin
            due = clock.now() + claim.holds_seconds * margin
            watched = _Watched(claim, due)
            self._watched_by_id[claim.claim_id] = watched
            if not self._watch_began.ready():
                self._watch_began.send(None)
            if len(self._watched_by_id) > MAX_WATCHED:
                self._watched_by_id.popitem(last=False)
        return watched.due

    def _resolve_watched(self) -> None:
        self._watch_began.wait()
        clock.sleep(_WATCH_INTERVAL_SECONDS)
        self.resolve_due()
        if not self._watched_by_id:
            # Without watched claims the task sleeps until the next one is added.
            self._watch_began = eventlet.event.Event()

    def resolve_due(self) -> None:
        """Record watched claims whose time is over as having an unknown outcome."""
        now = clock.now()
        for claim_id, watched in list(self._watched_by_id.items()):
            if watched.due > now:
                continue
            claim = watched.claim
            command = claims_state.FinishClaim(claim.caller, claim.key, claim_id)
            try:
                answer = self._state.submit(command, STATE_TIMEOUT_SECONDS)
            except tasks.UNEXPECTED_ERRORS:
                # It is watched again when its key is used; others must not wait for it.
                tasks.record_error(_TASK)
                self._watched_by_id.pop(claim_id, None)
                continue
            if isinstance(answer, result.Err):
                return
            self._watched_by_id.pop(claim_id, None)
            eliot.log_message(
                message_type="claims:resolved", key=claim.key, holder=claim.holder
            )


def _held(command: claims_state.ClaimKey, requested_at: float) -> Held:
    return Held(
        command.caller, command.key, command.claim_id, requested_at + SEND_SECONDS
    )
