"""What gateways tell each other of upstreams: the part of one gateway.

A gateway sends its failed attempts, and answers that end failures, to the control
group's leader with each renewal. It receives what other gateways have observed (see
`fleet.upstream_health`). Its own observations are kept apart from those of the others:
an answer to another gateway does not show that this one can reach the upstream.
"""

from collections.abc import Iterable

import attrs

from bilberrydrum import backoff
from bilberrydrum.fleet import upstream_health


@attrs.frozen(eq=False)
class _Pending:
    """An own observation that the leader has not confirmed yet."""

    # Own failures in a row; 0: the upstream answered.
    n_failures: int
    observed_at: float


@attrs.frozen
class SharedFailure:
    """A failure of an upstream that several gateways have observed."""

    n_gateways: int
    failed_at: float
    # The upstream is avoided until this time.
    until: float


@attrs.frozen
class Avoidance:
    """An upstream that is avoided from now on, or no longer, because of others."""

    upstream_id: str
    # None: another gateway has received an answer.
    failure: SharedFailure | None


@attrs.frozen
class Applied:
    """The outcome of applying observations of other gateways."""

    n_applied: int = 0
    # An own answer is later.
    n_outdated: int = 0
    changes: tuple[Avoidance, ...] = ()


class SharedHealth:
    """Exchanges observations with other gateways; times are of `clock.now`."""

    def __init__(self, first_pause_seconds: float, max_pause_seconds: float) -> None:
        """Initialise the exchange.

        Parameters
        ----------
        first_pause_seconds, max_pause_seconds : float
            First and longest pause, as those after own failures. Failures at several
            gateways count as as many failures in a row.
        """
        self._first_pause_seconds = first_pause_seconds
        self._max_pause_seconds = max_pause_seconds
        self._pending_by_id: dict[str, _Pending] = {}
        # Those in the renewal that was sent last.
        self._sent_by_id: dict[str, _Pending] = {}
        self._failures_by_id: dict[str, SharedFailure] = {}
        self._answered_at_by_id: dict[str, float] = {}
        # Index of the last observation received, and when it was.
        self._index = 0
        self._received_at = float("-inf")

    def __len__(self) -> int:
        """Return the number of upstreams of which something is known."""
        kept = (self._pending_by_id, self._failures_by_id, self._answered_at_by_id)
        return len({upstream_id for each in kept for upstream_id in each})

    # Own observations

    def record_failure(self, upstream_id: str, n_failures: int, now: float) -> None:
        """Record that an own attempt failed, as the last of `n_failures` in a row."""
        self._pending_by_id[upstream_id] = _Pending(n_failures, now)

    def record_answer(self, upstream_id: str, n_failures: int, now: float) -> None:
        """Record an answer to this gateway, after `n_failures` own failures in a row.

        It is sent only if it ends failures, so that nothing is sent where none occurs.
        """
        self._answered_at_by_id[upstream_id] = now
        ended = self._failures_by_id.pop(upstream_id, None)
        if n_failures or ended is not None:
            self._pending_by_id[upstream_id] = _Pending(0, now)

    def due(self, now: float) -> tuple[upstream_health.Observation, ...]:
        """Return the observations for the next renewal, the newest first."""
        self._expire(now)
        newest_first = sorted(
            self._pending_by_id.items(), key=lambda item: -item[1].observed_at
        )
        self._sent_by_id = dict(newest_first[: upstream_health.MAX_OBSERVATIONS])
        return tuple(
            upstream_health.Observation(
                upstream_id,
                each.n_failures,
                upstream_health.to_age_ms(now - each.observed_at),
            )
            for upstream_id, each in self._sent_by_id.items()
        )

    def confirm_sent(self) -> int:
        """Record that the last renewal was answered; return how many it contained.

        An observation of the same upstream that was made since is still to be sent.
        """
        for upstream_id, each in self._sent_by_id.items():
            if self._pending_by_id.get(upstream_id) is each:
                del self._pending_by_id[upstream_id]
        n_sent, self._sent_by_id = len(self._sent_by_id), {}
        return n_sent

    # Observations of others

    def known_index(self, now: float) -> int:
        """Return the index of the last observation received.

        It is 0 once all that was received has expired at the leader too, so that
        nothing is sent where nothing has failed for some time.
        """
        is_recent = now - self._received_at <= upstream_health.EXPIRY_SECONDS
        return self._index if is_recent else 0

    def apply(
        self,
        observations: Iterable[upstream_health.Observation],
        index: int,
        sent_at: float,
        now: float,
    ) -> Applied:
        """Apply the observations in the answer to the renewal of `sent_at`.

        The time of the answer is unknown. As it is not before `sent_at`, an observation
        is never taken for newer than it is.
        """
        n_applied = n_outdated = 0
        changes = []
        for each in observations:
            observed_at = sent_at - each.age_ms / 1000
            if not each.n_failures:
                n_applied += 1
                if self._failures_by_id.pop(each.upstream_id, None) is not None:
                    changes.append(Avoidance(each.upstream_id, None))
            elif self._has_answered_since(each.upstream_id, observed_at):
                n_outdated += 1
            else:
                n_applied += 1
                changes += self._apply_failure(each, observed_at, now)
        if index:
            self._index = index
            self._received_at = now
        return Applied(n_applied, n_outdated, tuple(changes))

    def _has_answered_since(self, upstream_id: str, observed_at: float) -> bool:
        answered_at = self._answered_at_by_id.get(upstream_id, float("-inf"))
        return answered_at >= observed_at

    def _apply_failure(
        self, observed: upstream_health.Observation, failed_at: float, now: float
    ) -> list[Avoidance]:
        was_avoided = self.remaining(observed.upstream_id, now) > 0
        pause = backoff.pause_seconds(
            observed.n_failures, self._first_pause_seconds, self._max_pause_seconds
        )
        failure = SharedFailure(observed.n_failures, failed_at, failed_at + pause)
        self._failures_by_id[observed.upstream_id] = failure
        is_avoided = failure.until > now
        if was_avoided or not is_avoided:
            return []
        return [Avoidance(observed.upstream_id, failure)]

    def remaining(self, upstream_id: str, now: float) -> float:
        """Return for how many seconds the upstream is avoided because of others."""
        failure = self._failures_by_id.get(upstream_id)
        return max(failure.until - now, 0.0) if failure is not None else 0.0

    def _expire(self, now: float) -> None:
        oldest = now - upstream_health.EXPIRY_SECONDS
        for upstream_id, pending in list(self._pending_by_id.items()):
            if pending.observed_at < oldest:
                del self._pending_by_id[upstream_id]
        for upstream_id, failure in list(self._failures_by_id.items()):
            if failure.failed_at < oldest:
                del self._failures_by_id[upstream_id]
        for upstream_id, answered_at in list(self._answered_at_by_id.items()):
            if answered_at < oldest:
                del self._answered_at_by_id[upstream_id]
