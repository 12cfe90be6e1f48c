"""Merge what gateways have observed of upstreams, at the control group's leader.

Each gateway sends few requests, so what it observes itself is outdated by the time that
it needs it. The leader passes on that an upstream has failed at several gateways, and
that it has answered since. It keeps this in memory only: a new leader starts without.
"""

from collections.abc import Collection, Sequence
from typing import Final

import attrs

from bilberrydrum import codec

# Maximum number of observations in a message.
MAX_OBSERVATIONS: Final = 16
# Age in seconds beyond which an observation is neither sent nor applied: the longest
# backoff of an upstream.
EXPIRY_SECONDS: Final = 4.0
# Failures count for other gateways if two gateways saw one within this many seconds.
# One gateway that is cut off from an upstream would otherwise make it unavailable to
# all.
CONFIRMATION_SECONDS: Final = 2.0
# Failures older than this, in seconds, are not counted. If an upstream fails again
# after the longest backoff, its earlier failures still make the next pause a long one.
_HISTORY_SECONDS: Final = 2 * EXPIRY_SECONDS
# Number of gateways whose failures are kept for one upstream. As many failures reach
# the longest backoff.
_MAX_GATEWAYS: Final = 4
# A gateway's report with the same number of failures within this time, in seconds, is a
# repetition of a renewal without an answer. It covers the timeout of a renewal.
_REPETITION_SECONDS: Final = 2.5
# Indexes of a leader begin with its term, so that they are above those of the leaders
# before. This leaves room for four billion observations in a term.
_TERM_SHIFT: Final = 32


@codec.register("fleet.upstream-observation")
@attrs.frozen
class Observation:
    """A failure or an answer of an upstream."""

    # The incarnation's id.
    upstream_id: str
    # From a gateway: its own failures in a row. From the leader: the number of gateways
    # at which the upstream failed. 0: it answered.
    n_failures: int
    # Time since the last failure or the answer when the message was made.
    age_ms: int


@attrs.frozen
class Change:
    """An upstream that gateways avoid from now on, or that has answered since."""

    upstream_id: str
    # The addresses of the gateways that observed it, the latest observation first.
    gateways: tuple[str, ...]
    is_answer: bool = False


@attrs.frozen
class Missing:
    """What a gateway does not have yet."""

    # The oldest first.
    observations: tuple[Observation, ...] = ()
    # Index of the last one; 0 if there is none.
    index: int = 0


@attrs.frozen
class _Failure:
    """The last failure at one gateway."""

    gateway: str
    n_failures: int
    failed_at: float


@attrs.frozen
class _Published:
    """What is passed on about one upstream."""

    index: int
    # Number of gateways at which the upstream failed; 0: it answered.
    n_failures: int
    observed_at: float


@attrs.define
class _UpstreamRecord:
    """What is known of one upstream; times are in seconds of the leader's clock."""

    # One for each gateway, the newest first.
    failures: tuple[_Failure, ...] = ()
    answered_at: float = float("-inf")
    published: _Published | None = None

    def add_failure(self, added: _Failure) -> bool:
        """Add a failure; return whether it counts for all gateways."""
        if added.failed_at <= self.answered_at or self._is_repeated(added):
            return False
        others = [each for each in self.failures if each.gateway != added.gateway]
        found = sorted([added, *others], key=lambda each: -each.failed_at)
        self.failures = tuple(found[:_MAX_GATEWAYS])
        return self._is_confirmed()

    def _is_confirmed(self) -> bool:
        """Return whether two gateways saw the last failures at about the same time."""
        if len(self.failures) < 2:
            return False
        newest, second = self.failures[:2]
        return newest.failed_at - second.failed_at <= CONFIRMATION_SECONDS

    def _is_repeated(self, added: _Failure) -> bool:
        return any(
            each.gateway == added.gateway
            and each.n_failures == added.n_failures
            and added.failed_at - each.failed_at <= _REPETITION_SECONDS
            for each in self.failures
        )

    def add_answer(self, answered_at: float) -> bool:
        """Add an answer; return whether it ends failures that were passed on."""
        self.answered_at = max(self.answered_at, answered_at)
        self.failures = tuple(
            each for each in self.failures if each.failed_at > answered_at
        )
        return self.is_failed(answered_at) and not self._is_confirmed()

    def is_failed(self, now: float) -> bool:
        """Return whether a failure is passed on that has not expired."""
        return (
            self.published is not None
            and self.published.n_failures > 0
            and now - self.published.observed_at <= EXPIRY_SECONDS
        )

    def expire(self, now: float) -> None:
        """Remove failures that are too old to count."""
        oldest = now - _HISTORY_SECONDS
        if self.failures and self.failures[-1].failed_at < oldest:
            self.failures = tuple(
                each for each in self.failures if each.failed_at >= oldest
            )

    def is_outdated(self, now: float) -> bool:
        """Return whether nothing here can matter any more."""
        is_answer_old = now - self.answered_at > EXPIRY_SECONDS
        return is_answer_old and not self.failures and not self.is_missing(0, now)

    def is_missing(self, index: int, now: float) -> bool:
        """Return whether a gateway that has `index` lacks what is passed on."""
        known = self.published
        return (
            known is not None
            and known.index > index
            and now - known.observed_at <= EXPIRY_SECONDS
        )


class UpstreamHealth:
    """The observations of all gateways, as the leader of one term merges them."""

    def __init__(self, term: int = 0) -> None:
        self._index = term << _TERM_SHIFT
        self._records_by_id: dict[str, _UpstreamRecord] = {}

    def __len__(self) -> int:
        """Return the number of upstreams of which something is known."""
        return len(self._records_by_id)

    def record(
        self,
        gateway: str,
        observations: Sequence[Observation],
        known_ids: Collection[str],
        now: float,
    ) -> list[Change]:
        """Record what a gateway has observed; return which upstreams change state.

        Observations of upstreams that are not among `known_ids` are ignored, so that
        their number is bounded by that of the registered upstreams.
        """
        self.expire(now)
        changes = []
        for each in observations:
            if each.upstream_id in known_ids:
                changes += self._record_one(gateway, each, now)
        return changes

    def _record_one(
        self, gateway: str, observed: Observation, now: float
    ) -> list[Change]:
        upstream_id = observed.upstream_id
        record = self._records_by_id.setdefault(upstream_id, _UpstreamRecord())
        observed_at = now - max(observed.age_ms, 0) / 1000
        if not observed.n_failures:
            if not record.add_answer(observed_at):
                return []
            self._publish(record, 0, observed_at)
            return [Change(upstream_id, (gateway,), is_answer=True)]
        if not record.add_failure(_Failure(gateway, observed.n_failures, observed_at)):
            return []
        was_failed = record.is_failed(now)
        self._publish(record, len(record.failures), record.failures[0].failed_at)
        if was_failed:
            return []
        gateways = tuple(each.gateway for each in record.failures)
        return [Change(upstream_id, gateways)]

    def _publish(
        self, record: _UpstreamRecord, n_failures: int, observed_at: float
    ) -> None:
        self._index += 1
        if record.published is not None:
            # A late answer that leaves a failure of one gateway only: it has to reach
            # all that apply the failure, so it must not expire before that does.
            observed_at = max(observed_at, record.published.observed_at)
        record.published = _Published(self._index, n_failures, observed_at)

    def missing_after(self, index: int, now: float) -> Missing:
        """Return what a gateway that has the observations up to `index` lacks.

        What exceeds the maximum number follows in later answers.
        """
        if not self._records_by_id:
            return Missing()
        found = sorted(
            (record.published.index, upstream_id, record.published)
            for upstream_id, record in self._records_by_id.items()
            if record.published is not None and record.is_missing(index, now)
        )[:MAX_OBSERVATIONS]
        observations = tuple(
            Observation(
                upstream_id, known.n_failures, to_age_ms(now - known.observed_at)
            )
            for _, upstream_id, known in found
        )
        return Missing(observations, found[-1][0] if found else 0)

    def expire(self, now: float) -> None:
        """Remove what is too old to count; called periodically."""
        for upstream_id, record in list(self._records_by_id.items()):
            record.expire(now)
            if record.is_outdated(now):
                del self._records_by_id[upstream_id]


def to_age_ms(seconds: float) -> int:
    """Return an age in whole milliseconds, not negative."""
    return max(round(seconds * 1000), 0)
