"""Quarantine of requests that crash the upstreams that run them.

A circuit breaker by request. A crash cuts off all requests that run at the upstream,
most of which are unrelated to it, and upstreams also crash for other reasons: hosts and
racks fail, releases are faulty. A crash-causing request differs from the others in that
it was running at every one of these crashes and was never answered elsewhere. A request
is therefore classified by the upstream incarnations that crashed while they ran it,
counted since it was last answered completely:

- One crash, or two concurrent ones: clear. A popular request runs at all upstreams of a
  rack that loses its power.
- Two crashes, one after the other: suspected (`Standing.DOUBTFUL`). The request is
  tried at one upstream at a time, and not at the only healthy one while others are
  down, so that other requests are still served.
- Three crashes, not all of them within the same half second: quarantined. All processes
  refuse the request.

Where many requests run at an upstream, as items of batches do at an engine, a crash is
weak evidence about each of them. There, crashes must also correlate with the request:
of the upstreams that crashed since it was first cut off, at least twice as many must
have been running it as were not.

Once a request is quarantined, its crashes are attributed to it and no longer to the
requests that ran concurrently. For these, such crashes count only towards
`UNCONDITIONAL_THRESHOLD`: several crash-causing requests that run together would
otherwise have their crashes attributed to one another without end, so a request that
reaches that threshold is quarantined regardless of unrelated crashes, and of
attribution unless another request ran at all of its remaining crashes.

A request that was cut off repeatedly, by whatever caused the crashes, runs at no
upstream where another such request runs (`CrashHistory.must_run_apart`). Its next crash
or answer then shows whether it is the culprit. Together, culprits would have their
crashes attributed to one another, and unrelated requests would share crashes with one
culprit after the other until they reach `UNCONDITIONAL_THRESHOLD`.

Where many requests run at an upstream, a request with `WAIT_THRESHOLD` crashes waits
until no upstream crashes (`CrashHistory.must_wait`). An unrelated request that runs in
a burst of crashes would look like a culprit otherwise. The wait is bounded, so that a
culprit is quarantined in any case.

Work that was handed in for later, as an item of a batch, a sample or the scoring of
either, is owed: nobody retries it elsewhere, so a quarantine would lose it although
upstreams are there. It does not crash upstreams by itself, so it is never quarantined
(`CrashHistory.may_quarantine`). An item is held back for seconds at most, which keeps
the crashes of a burst from hitting it again at once.

A complete answer clears a request, whatever its standing. A quarantine expires, as a
new release may have fixed the service. The request is then suspected and gets one
trial; a further quarantine lasts twice as long.
"""

import enum
from collections.abc import Collection
from typing import Final

import attrs

from bilberrydrum import codec

# Crashes after which a request is suspected, and after which it is quarantined. Two can
# happen by chance to a request that is retried where the culprit runs; three do not.
SUSPECT_THRESHOLD: Final = 2
QUARANTINE_THRESHOLD: Final = 3
# Crashes after which a request is quarantined regardless of unrelated crashes, and
# mostly of attribution to other requests: the three of `QUARANTINE_THRESHOLD`, and
# three more that are tolerated until all processes have to know of the quarantine. A
# lower value would hold back unrelated items where engines crash every second for other
# reasons.
UNCONDITIONAL_THRESHOLD: Final = 6
# When a request is cut off for the first time, crashes of other upstreams within this
# time before, in seconds, count as unrelated crashes: a series of crashes that was
# under way already.
UNRELATED_CRASH_SECONDS: Final = 10.0
# Crashes from which on a request waits while upstreams crash, where many run at one.
# The two runs before `UNCONDITIONAL_THRESHOLD` then begin after a series of crashes.
WAIT_THRESHOLD: Final = UNCONDITIONAL_THRESHOLD - 2
# Time without a crash after which a series of crashes is over, in seconds. Upstreams
# that crash again and again do so about once a second, and a shorter time would let a
# request run right before the next crash of the series.
QUIET_SECONDS: Final = 2.0
# Longest time after its latest crash that a request waits for the end of a series, in
# seconds. A trainer abandons a step after about twice this time, so an item that waits
# longer has no value for it.
LONGEST_WAIT_SECONDS: Final = 6.0
# Unrelated crashes stored of each request; more would not change its standing.
MAX_UNRELATED_CRASHES: Final = 16
# Crashes of upstreams within this time of one another, in seconds, are concurrent. A
# rack loses its power within milliseconds. A request that is retried elsewhere has to
# arrive and begin to run there before it can crash the next upstream, which takes half
# of a look-up's run or more.
CONCURRENT_SECONDS: Final = 0.02
# A request is quarantined only if its crashes are at least this far apart, in seconds.
# A kill of all upstreams, or of a rack host by host, is over by then: the requests that
# ran there are answered by the remaining upstreams, or are suspected and cleared by
# their trial. The crashes of a request that a caller retries take longer.
SPREAD_SECONDS: Final = 0.5
# A run that has produced events for this long, in seconds, was healthy, and a later
# crash is not attributed to its request. Upstreams that a request crashed did so 0.04
# to 0.13 s after they had begun it. With a limit of 1 s, engines that crash all the
# time cut off unrelated items often enough to have them held back.
HEALTHY_RUN_SECONDS: Final = 0.3
# How long the first quarantine lasts, and the longest, in seconds. A wrong quarantine
# costs its callers two minutes. A justified one costs an upstream at each expiry: three
# within the first half hour.
FIRST_SECONDS: Final = 120.0
LONGEST_SECONDS: Final = 86_400.0
# The history of a request that is not quarantined is dropped after this time without a
# crash, in seconds.
RETENTION_SECONDS: Final = 600.0
# Requests with a stored history. The complete history is sent to each process at each
# change: 256 requests of 0.3 KB.
MAX_REQUESTS: Final = 256
# Crashed upstreams stored of one request: the first and the latest ones.
MAX_UPSTREAMS: Final = 8


class Standing(enum.IntEnum):
    """Classification of a request; a higher value is a worse one."""

    CLEAR = 0
    # Suspected. The label "doubtful" in log lines and metrics is made from this name.
    DOUBTFUL = 1
    QUARANTINED = 2

    @property
    def label(self) -> str:
        """Name of the standing in log lines and metrics."""
        return self.name.lower()


@codec.register("quarantine.crash")
@attrs.frozen
class Crash:
    """An upstream that crashed while it ran a request."""

    # Identifies the request; the same for all attempts at the same work.
    fingerprint: str
    # What the request asks for, as shown to operators.
    subject: str
    # Incarnation of the upstream that crashed.
    upstream_id: str


@codec.register("quarantine.evidence")
@attrs.frozen
class RequestHistory:
    """Crash history of one request since it was last answered."""

    fingerprint: str
    subject: str
    # When each upstream crashed, by its id, in seconds of the history's clock.
    ended_at_by_id: dict[str, float] = attrs.field(factory=dict)
    # When its quarantine expires; 0: it is not quarantined.
    until: float = 0.0
    # How often it was quarantined.
    n_quarantines: int = 0
    # Upstreams that crashed meanwhile without running it (unrelated crashes); None: few
    # requests run at an upstream, and unrelated crashes are not counted.
    beside_ids: tuple[str, ...] | None = None
    # Those of `ended_at_by_id` whose crash is attributed to another request. They count
    # only towards `UNCONDITIONAL_THRESHOLD`. If they did not count at all, several
    # crash-causing requests that run together would have their crashes attributed to
    # one another at each quarantine, and never reach any threshold.
    explained_ids: tuple[str, ...] = ()

    @property
    def last_at(self) -> float:
        """Time of the latest crash; 0 if there is none."""
        return max(self.ended_at_by_id.values(), default=0.0)

    def unattributed(self) -> dict[str, float]:
        """Return the crashes that are not attributed to another request."""
        attributed = set(self.explained_ids)
        return {
            upstream_id: ended_at
            for upstream_id, ended_at in self.ended_at_by_id.items()
            if upstream_id not in attributed
        }

    def standing(self) -> Standing:
        """Return the classification of the request."""
        if self.until:
            return Standing.QUARANTINED
        if _is_repeated(self.unattributed()):
            return Standing.DOUBTFUL
        return Standing.CLEAR

    def must_run_apart(self) -> bool:
        """Return whether it was cut off repeatedly, by whatever caused the crashes."""
        return _is_repeated(self.ended_at_by_id)

    def with_crash(self, upstream_id: str, ended_at: float) -> "RequestHistory":
        """Return the history with one more crashed upstream."""
        crashes = _bounded({**self.ended_at_by_id, upstream_id: ended_at})
        unrelated = self.beside_ids
        if unrelated is not None:
            unrelated = tuple(each for each in unrelated if each != upstream_id)
        return attrs.evolve(self, ended_at_by_id=crashes, beside_ids=unrelated)

    def quarantined(self) -> "RequestHistory":
        """Return the history with a quarantine, twice as long as the one before."""
        seconds = min(FIRST_SECONDS * 2**self.n_quarantines, LONGEST_SECONDS)
        return attrs.evolve(
            self, until=self.last_at + seconds, n_quarantines=self.n_quarantines + 1
        )

    def reaches_threshold(self) -> bool:
        """Return whether the request is to be quarantined."""
        if self.reaches_unconditional_threshold():
            return True
        crashes = self.unattributed()
        if len(crashes) < QUARANTINE_THRESHOLD or _spread(crashes) < SPREAD_SECONDS:
            return False
        return 2 * len(self.beside_ids or ()) <= len(crashes)

    def reaches_unconditional_threshold(self) -> bool:
        """Return whether to quarantine it regardless of attribution."""
        crashes = self.ended_at_by_id
        return (
            len(crashes) >= UNCONDITIONAL_THRESHOLD
            and _spread(crashes) >= SPREAD_SECONDS
        )

    def with_unrelated_crash(self, upstream_id: str) -> "RequestHistory":
        """Return the history after a crash of an upstream that did not run it."""
        unrelated = self.beside_ids
        if (
            unrelated is None
            or upstream_id in unrelated
            or len(unrelated) >= MAX_UNRELATED_CRASHES
        ):
            return self
        if upstream_id in self.ended_at_by_id:
            return self
        return attrs.evolve(self, beside_ids=(*unrelated, upstream_id))

    def with_attributed_elsewhere(
        self, upstream_ids: Collection[str]
    ) -> "RequestHistory":
        """Return the history once these crashes are attributed to another request."""
        newly_attributed = self.unattributed().keys() & set(upstream_ids)
        if not newly_attributed:
            return self
        attributed = self.ended_at_by_id.keys() & {
            *self.explained_ids,
            *newly_attributed,
        }
        updated = attrs.evolve(self, explained_ids=tuple(sorted(attributed)))
        return (
            updated if updated.reaches_threshold() else attrs.evolve(updated, until=0.0)
        )

    def expired(self) -> "RequestHistory":
        """Return the history after the quarantine, which one more crash renews."""
        latest = sorted(self.ended_at_by_id.items(), key=lambda each: each[1])
        kept = dict(latest[-QUARANTINE_THRESHOLD:])
        return attrs.evolve(self, until=0.0, ended_at_by_id=kept, explained_ids=())


@codec.register("quarantine.book", added_fields=("may_quarantine",))
@attrs.define
class CrashHistory:
    """Crash histories of all requests, as one process or group stores them."""

    evidence_by_fingerprint: dict[str, RequestHistory] = attrs.field(factory=dict)
    # Whether many requests run at an upstream. If so, crashes that happen without a
    # request count in its favour.
    is_crowded: bool = False
    # When upstreams crashed within the last `UNRELATED_CRASH_SECONDS`, by id; stored
    # only if `is_crowded`.
    ends_by_id: dict[str, float] = attrs.field(factory=dict)
    # Whether requests are quarantined. If not, they run apart and wait for the end of a
    # series of crashes, for a few seconds after their latest crash.
    may_quarantine: bool = True

    def is_empty(self) -> bool:
        """Return whether no request has a crash history."""
        return not self.evidence_by_fingerprint

    def standing(self, fingerprint: str) -> Standing:
        """Return the classification of a request."""
        history = self.evidence_by_fingerprint.get(fingerprint)
        return history.standing() if history is not None else Standing.CLEAR

    def must_run_apart(self, fingerprint: str) -> bool:
        """Return whether a request must not run where another such request does.

        This holds once it was cut off repeatedly, also if its crashes are attributed to
        others. If two such requests shared an upstream, its crash would not show which
        of them caused it: one that is unrelated would be cut off by one culprit after
        the other, and the crashes of a culprit would be attributed to others.
        """
        history = self.evidence_by_fingerprint.get(fingerprint)
        return history is not None and history.must_run_apart()

    def must_run_apart_still(self, fingerprint: str, now: float) -> bool:
        """Return whether a request that is never quarantined must run apart.

        This holds for `LONGEST_WAIT_SECONDS` after its latest crash only. After a burst
        of crashes, hundreds of requests may have to run apart, and would wait for one
        another although all upstreams have room.
        """
        history = self.evidence_by_fingerprint.get(fingerprint)
        if history is None or now - history.last_at >= LONGEST_WAIT_SECONDS:
            return False
        return history.must_run_apart()

    def must_wait(self, fingerprint: str, now: float) -> bool:
        """Return whether a request must not run yet, because upstreams are crashing.

        Its next crashes would have it quarantined, whatever causes them. In a burst of
        crashes for other reasons, an unrelated request may be cut off several times in
        succession before it has run for `HEALTHY_RUN_SECONDS`. Once no upstream has
        crashed for `QUIET_SECONDS`, a crash where it runs is most likely its own.

        Parameters
        ----------
        fingerprint : str
            Identifies the request.
        now : float
            Time of the history's clock, in seconds.
        """
        history = self.evidence_by_fingerprint.get(fingerprint)
        if history is None or len(history.ended_at_by_id) < WAIT_THRESHOLD:
            return False
        if now - history.last_at >= LONGEST_WAIT_SECONDS:
            return False
        return any(now - at < QUIET_SECONDS for at in self.ends_by_id.values())

    def record(
        self, crash: Crash, ended_at: float, are_kept_apart: bool = True
    ) -> bool:
        """Record the crash of an upstream; return False if it was known already.

        Parameters
        ----------
        crash : Crash
            The upstream and the request.
        ended_at : float
            When it crashed, in seconds of the history's clock.
        are_kept_apart : bool
            Whether all senders keep requests apart that must run apart. If not, no
            request is spared at `UNCONDITIONAL_THRESHOLD`: several culprits that run
            together would crash twice as many upstreams.
        """
        history = self.evidence_by_fingerprint.get(crash.fingerprint)
        self.record_upstream_crash(crash.upstream_id, ended_at)
        if history is None:
            unrelated = tuple(self.ends_by_id) if self.is_crowded else None
            history = RequestHistory(
                crash.fingerprint, crash.subject, beside_ids=unrelated
            )
        if crash.upstream_id in history.ended_at_by_id:
            return False
        updated = history.with_crash(crash.upstream_id, ended_at)
        if not updated.until and self._is_attributed_elsewhere(crash):
            updated = updated.with_attributed_elsewhere((crash.upstream_id,))
        reaches_threshold = (
            self.may_quarantine and not updated.until and updated.reaches_threshold()
        )
        if reaches_threshold and not self._is_indistinguishable(
            updated, crash.upstream_id, are_kept_apart
        ):
            updated = updated.quarantined()
            self._attribute_crashes_to(updated)
        self.evidence_by_fingerprint[crash.fingerprint] = updated
        self._evict()
        return True

    def record_upstream_crash(self, upstream_id: str, ended_at: float) -> None:
        """Record a crash as unrelated to all known requests.

        If a request was running there, `record` later counts the crash for that request
        instead.
        """
        if not self.is_crowded or upstream_id in self.ends_by_id:
            return
        since = ended_at - UNRELATED_CRASH_SECONDS
        self.ends_by_id = {
            each: at for each, at in self.ends_by_id.items() if at >= since
        }
        self.ends_by_id[upstream_id] = ended_at
        self.evidence_by_fingerprint = {
            fingerprint: each.with_unrelated_crash(upstream_id)
            for fingerprint, each in self.evidence_by_fingerprint.items()
        }

    def _is_attributed_elsewhere(self, crash: Crash) -> bool:
        """Return whether the crash is attributed to another, quarantined request.

        All requests that ran at the upstream are cut off at once, and their crashes are
        recorded in any order. Without this check, a request recorded after the culprit
        was quarantined would keep a crash that was attributed away from the requests
        recorded before.
        """
        return any(
            each.until and crash.upstream_id in each.unattributed()
            for each in self.evidence_by_fingerprint.values()
            if each.fingerprint != crash.fingerprint
        )

    def _is_indistinguishable(
        self, history: RequestHistory, newest_id: str, are_kept_apart: bool
    ) -> bool:
        """Return whether another request ran at all its crashes but the newest.

        Either of the two may be the culprit: the newest crash may be unrelated to both,
        or is not recorded for the other one yet. The quarantine is deferred: sent to
        different upstreams (`must_run_apart`), the one that is not the culprit is
        cleared.

        Where few requests run at an upstream, three crashes that are not attributed to
        others are enough all the same.
        """
        crashes = history.unattributed()
        before = crashes.keys() - {newest_id}
        if history.reaches_unconditional_threshold():
            is_own = len(crashes) >= QUARANTINE_THRESHOLD or not before
            if is_own or not are_kept_apart:
                return False
        elif not self.is_crowded:
            return False
        return any(
            before <= each.unattributed().keys()
            for each in self.evidence_by_fingerprint.values()
            if each.fingerprint != history.fingerprint
        )

    def _attribute_crashes_to(self, culprit: RequestHistory) -> None:
        """Attribute the crashes of a quarantined request to it alone.

        A request that was cut off together with the culprit twice is suspected although
        it is unrelated, and its next crash, whatever caused it, would have it
        quarantined as well.
        """
        for fingerprint, each in list(self.evidence_by_fingerprint.items()):
            if fingerprint == culprit.fingerprint:
                continue
            # The history is stored even if all its crashes are attributed to others.
            # If it were dropped, the count of a request that causes crashes as well
            # would start from zero at each quarantine of another one.
            updated = each.with_attributed_elsewhere(culprit.ended_at_by_id.keys())
            self.evidence_by_fingerprint[fingerprint] = updated

    def clear(self, fingerprint: str) -> bool:
        """Drop the history of an answered request; return whether it had one."""
        return self.evidence_by_fingerprint.pop(fingerprint, None) is not None

    def is_due(self, now: float) -> bool:
        """Return whether `expire` would change anything."""
        known = self.evidence_by_fingerprint.values()
        return any(_expires_at(each) <= now for each in known)

    def expire(self, now: float) -> None:
        """End expired quarantines and drop histories past their retention time."""
        for fingerprint, history in list(self.evidence_by_fingerprint.items()):
            if _expires_at(history) > now:
                continue
            if history.until:
                self.evidence_by_fingerprint[fingerprint] = history.expired()
            else:
                del self.evidence_by_fingerprint[fingerprint]

    def crashed_ids(self) -> frozenset[str]:
        """Return the upstream incarnations that are known to have crashed."""
        known = self.evidence_by_fingerprint.values()
        return frozenset(name for each in known for name in each.ended_at_by_id)

    def _evict(self) -> None:
        """Drop the history with the fewest crashes if there are too many histories.

        Of several, the one with the oldest latest crash is dropped, and quarantined
        requests last of all. A caller that sends many different crash-causing requests
        can therefore evict a quarantined one only with others that are quarantined
        themselves, at three upstreams each.
        """
        if len(self.evidence_by_fingerprint) <= MAX_REQUESTS:
            return
        least = min(
            self.evidence_by_fingerprint.values(),
            # Crashes that are attributed to other requests are compared only after the
            # unattributed ones. If all counted alike, unrelated requests could fill the
            # history permanently: a new request has the fewest crashes, and would be
            # dropped after each crash.
            key=lambda each: (
                bool(each.until),
                len(each.unattributed()),
                len(each.ended_at_by_id),
                each.last_at,
            ),
        )
        del self.evidence_by_fingerprint[least.fingerprint]


def _bounded(ended_at_by_id: dict[str, float]) -> dict[str, float]:
    """Return the first crash and the latest ones, so that the spread is preserved."""
    if len(ended_at_by_id) <= MAX_UPSTREAMS:
        return ended_at_by_id
    in_order = sorted(ended_at_by_id.items(), key=lambda each: each[1])
    return dict([in_order[0], *in_order[-(MAX_UPSTREAMS - 1) :]])


def _spread(ended_at_by_id: dict[str, float]) -> float:
    """Return the time from the first crash to the last one, in seconds."""
    times = ended_at_by_id.values()
    return max(times) - min(times) if times else 0.0


def _is_repeated(ended_at_by_id: dict[str, float]) -> bool:
    """Return whether these crashes, by their number and times, are suspicious."""
    n_crashed = len(ended_at_by_id)
    if n_crashed >= QUARANTINE_THRESHOLD:
        return True
    return (
        n_crashed >= SUSPECT_THRESHOLD and _spread(ended_at_by_id) >= CONCURRENT_SECONDS
    )


def _expires_at(history: RequestHistory) -> float:
    """Return when the quarantine expires or, without one, the history is dropped."""
    if history.until:
        return history.until
    # Kept longer after a quarantine: if the trial crashes its upstream, the next
    # quarantine has to be longer.
    seconds = LONGEST_SECONDS if history.n_quarantines else RETENTION_SECONDS
    return history.last_at + seconds
