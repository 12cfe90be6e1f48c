"""Which requests end the upstreams that run them, and what is done about it.

A crash takes along all requests that run at the upstream. Most are bystanders, and
upstreams crash for reasons of their own: hosts and racks are lost, releases fail. What
sets the guilty one apart is that it was there each time, and never came to an end
elsewhere. So a request is judged by the starts of upstreams that ended while they ran
it, since it was last answered whole:

- one, or two that ended at the same moment: nothing follows. A popular request runs at
  all upstreams of a rack that loses its power.
- two, one after the other: doubtful. It is tried at one upstream at a time, and not at
  the last that stands, so that others beside it are still served.
- three, and not all of them in the same half second: quarantined. It is refused
  everywhere.

Where many requests run at an upstream, as items of batches do at an engine, its end
says little of each. There upstreams must also end where the request is rather than
where it isn't: of those that ended since it was first cut off, twice as many with it as
without.

What ran beside a guilty request is not held to have ended those upstreams: they are
explained, and count for nothing but the bound. Several that are guilty explain one
another's ends, so after `N_REGARDLESS`, explained or not, a request is quarantined
whatever else goes on.

A whole answer clears a request, whatever it was. A quarantine lapses after a while, as
a new release may have mended the service; the request is doubtful then and gets one
trial, and the next quarantine lasts twice as long.
"""

import enum
from collections.abc import Collection
from typing import Final

import attrs

from bilberrydrum import codec

# Ended upstreams that make a request doubtful, and that have it quarantined. Two may be
# chance for a request that is tried again beside the guilty one; three are not.
N_FOR_DOUBT: Final = 2
N_FOR_QUARANTINE: Final = 3
# The same whatever else ends, and whoever is held to have ended them: the three, and
# three more that are borne until all have to know. Fewer would hold innocent items back
# where engines end every second for reasons of their own.
N_REGARDLESS: Final = 6
# Ends that say something of a request that is cut off for the first time, in seconds
# before: a storm that goes on.
BESIDE_SECONDS: Final = 10.0
# Upstreams that ended without a request, remembered of each; more change nothing.
MAX_BESIDE: Final = 16
# Upstreams that end within this time of one another, in seconds, ended together. A rack
# loses its power within milliseconds; a request that is tried elsewhere has to get
# there and begin to run before it can end the next, half of a look-up's run or more.
MOMENT_SECONDS: Final = 0.02
# A request is quarantined only if its crashes are at least this far apart, in seconds.
# A kill of all, or a rack that goes host by host, is over by then: whatever runs there
# is answered by what stands, or is doubtful and cleared by its trial. What a caller
# sends again and again takes longer.
SPREAD_SECONDS: Final = 0.5
# A run that has put out events for this long, in seconds, was well: what ends it
# afterwards is not held against its request. Upstreams that a request ended did so 0.04
# to 0.13 s after they had begun it. With a second, engines that end all the time met
# innocent items often enough to hold them back.
SURVIVED_SECONDS: Final = 0.3
# How long the first quarantine lasts, and the longest, in seconds. A wrong one costs
# its callers two minutes; one that is right costs an upstream at each lapse, three
# within the first half hour.
FIRST_SECONDS: Final = 120.0
LONGEST_SECONDS: Final = 86_400.0
# A request that is not quarantined is forgotten after this time without a crash.
FORGOTTEN_SECONDS: Final = 600.0
# Requests that are remembered: 256 of 0.3 KB are told to each process with a change.
MAX_REQUESTS: Final = 256
# Ended upstreams that are remembered of one request: the first and the latest.
MAX_UPSTREAMS: Final = 8


class Standing(enum.IntEnum):
    """What a request is held to be; the worse, the higher."""

    CLEAR = 0
    DOUBTFUL = 1
    QUARANTINED = 2

    @property
    def label(self) -> str:
        """The name in log lines and metrics."""
        return self.name.lower()


@codec.register("quarantine.crash")
@attrs.frozen
class Crash:
    """An upstream that ended while it ran a request."""

    # The same for all attempts at the same work.
    fingerprint: str
    # What the request asks for, as an operator reads it.
    subject: str
    # The start of the upstream that ended.
    upstream_id: str


@codec.register("quarantine.evidence")
@attrs.frozen
class Evidence:
    """What there is against one request since it was last answered."""

    fingerprint: str
    subject: str
    # When each upstream ended, by its id, in seconds of the book's clock.
    ended_at_by_id: dict[str, float] = attrs.field(factory=dict)
    # When its quarantine ends; 0: it is not quarantined.
    until: float = 0.0
    # How often it was quarantined.
    n_quarantines: int = 0
    # Upstreams that ended meanwhile without it; None: they do not matter.
    beside_ids: tuple[str, ...] | None = None
    # Those of `ended_at_by_id` that another request is held to have ended. They count
    # for `N_REGARDLESS` alone: of several guilty ones that ran together each had its
    # ends taken by the verdicts on the others, and went on past every bound.
    explained_ids: tuple[str, ...] = ()

    @property
    def last_at(self) -> float:
        """When the last upstream ended."""
        return max(self.ended_at_by_id.values(), default=0.0)

    def unexplained(self) -> dict[str, float]:
        """Return when each upstream ended that no other request is held to end."""
        explained = set(self.explained_ids)
        return {
            upstream_id: ended_at
            for upstream_id, ended_at in self.ended_at_by_id.items()
            if upstream_id not in explained
        }

    def standing(self) -> Standing:
        """Return what the request is held to be."""
        if self.until:
            return Standing.QUARANTINED
        ended = self.unexplained()
        n_ended = len(ended)
        is_repeated = _spread(ended) >= MOMENT_SECONDS
        if n_ended >= N_FOR_QUARANTINE or (n_ended >= N_FOR_DOUBT and is_repeated):
            return Standing.DOUBTFUL
        return Standing.CLEAR

    def noted(self, upstream_id: str, ended_at: float) -> "Evidence":
        """Return the evidence with one more upstream."""
        ended = _bounded({**self.ended_at_by_id, upstream_id: ended_at})
        beside = self.beside_ids
        if beside is not None:
            beside = tuple(each for each in beside if each != upstream_id)
        return attrs.evolve(self, ended_at_by_id=ended, beside_ids=beside)

    def quarantined(self) -> "Evidence":
        """Return the evidence with a quarantine, longer than the one before."""
        seconds = min(FIRST_SECONDS * 2**self.n_quarantines, LONGEST_SECONDS)
        return attrs.evolve(
            self, until=self.last_at + seconds, n_quarantines=self.n_quarantines + 1
        )

    def is_enough(self) -> bool:
        """Tell whether the request is to be quarantined."""
        if self.is_beyond_bound():
            return True
        ended = self.unexplained()
        if len(ended) < N_FOR_QUARANTINE or _spread(ended) < SPREAD_SECONDS:
            return False
        return 2 * len(self.beside_ids or ()) <= len(ended)

    def is_beyond_bound(self) -> bool:
        """Tell whether it is to be quarantined whatever else goes on."""
        ended = self.ended_at_by_id
        return len(ended) >= N_REGARDLESS and _spread(ended) >= SPREAD_SECONDS

    def noted_beside(self, upstream_id: str) -> "Evidence":
        """Return the evidence after an upstream has ended without the request."""
        beside = self.beside_ids
        if beside is None or upstream_id in beside or len(beside) >= MAX_BESIDE:
            return self
        if upstream_id in self.ended_at_by_id:
            return self
        return attrs.evolve(self, beside_ids=(*beside, upstream_id))

    def explained_by(self, upstream_ids: Collection[str]) -> "Evidence":
        """Return the evidence once another request is held to have ended these."""
        taken = self.unexplained().keys() & set(upstream_ids)
        if not taken:
            return self
        explained = self.ended_at_by_id.keys() & {*self.explained_ids, *taken}
        given = attrs.evolve(self, explained_ids=tuple(sorted(explained)))
        return given if given.is_enough() else attrs.evolve(given, until=0.0)

    def lapsed(self) -> "Evidence":
        """Return the evidence after the quarantine: one more crash renews it."""
        latest = sorted(self.ended_at_by_id.items(), key=lambda each: each[1])
        kept = dict(latest[-N_FOR_QUARANTINE:])
        return attrs.evolve(self, until=0.0, ended_at_by_id=kept, explained_ids=())


@codec.register("quarantine.book")
@attrs.define
class Book:
    """The evidence against all requests, as one process or group has it."""

    evidence_by_fingerprint: dict[str, Evidence] = attrs.field(factory=dict)
    # Many requests run at an upstream: ends without a request speak for it.
    is_crowded: bool = False
    # When upstreams ended of late, by id; kept where it is crowded.
    ends_by_id: dict[str, float] = attrs.field(factory=dict)

    def is_empty(self) -> bool:
        """Tell whether nothing is held against any request."""
        return not self.evidence_by_fingerprint

    def standing(self, fingerprint: str) -> Standing:
        """Return what a request is held to be."""
        evidence = self.evidence_by_fingerprint.get(fingerprint)
        return evidence.standing() if evidence is not None else Standing.CLEAR

    def note(self, crash: Crash, ended_at: float) -> bool:
        """Note that an upstream ended; return whether that was news."""
        evidence = self.evidence_by_fingerprint.get(crash.fingerprint)
        self.note_end(crash.upstream_id, ended_at)
        if evidence is None:
            beside = tuple(self.ends_by_id) if self.is_crowded else None
            evidence = Evidence(crash.fingerprint, crash.subject, beside_ids=beside)
        if crash.upstream_id in evidence.ended_at_by_id:
            return False
        noted = evidence.noted(crash.upstream_id, ended_at)
        if not noted.until and self._is_explained(crash):
            noted = noted.explained_by((crash.upstream_id,))
        is_enough = not noted.until and noted.is_enough()
        if is_enough and not self._is_like_another(noted, crash.upstream_id):
            noted = noted.quarantined()
            self._explain_by(noted)
        self.evidence_by_fingerprint[crash.fingerprint] = noted
        self._make_room()
        return True

    def note_end(self, upstream_id: str, ended_at: float) -> None:
        """Note an end for all that were not there, which those that were undo."""
        if not self.is_crowded or upstream_id in self.ends_by_id:
            return
        since = ended_at - BESIDE_SECONDS
        self.ends_by_id = {
            each: at for each, at in self.ends_by_id.items() if at >= since
        }
        self.ends_by_id[upstream_id] = ended_at
        self.evidence_by_fingerprint = {
            fingerprint: each.noted_beside(upstream_id)
            for fingerprint, each in self.evidence_by_fingerprint.items()
        }

    def _is_explained(self, crash: Crash) -> bool:
        """Tell whether another request is held to have ended the upstream.

        All that ran there is cut off at once, and told of in any order: whoever comes
        after the verdict would keep an end that was taken from those before.
        """
        return any(
            each.until and crash.upstream_id in each.unexplained()
            for each in self.evidence_by_fingerprint.values()
            if each.fingerprint != crash.fingerprint
        )

    def _is_like_another(self, evidence: Evidence, newest_id: str) -> bool:
        """Tell whether another request was there at all ends but the newest.

        Where many run together, the two cannot be told apart yet: the newest end may
        have nothing to do with either. Sent to different engines, one is cleared.
        """
        if not self.is_crowded or evidence.is_beyond_bound():
            return False
        before = evidence.unexplained().keys() - {newest_id}
        return any(
            before <= each.unexplained().keys()
            for each in self.evidence_by_fingerprint.values()
            if each.fingerprint != evidence.fingerprint
        )

    def _explain_by(self, guilty: Evidence) -> None:
        """Hold the ends that a request has brought about against nobody beside it.

        Whatever was cut off with it twice is doubtful by no fault of its own; the next
        crash that it meets would have it quarantined as well.
        """
        for fingerprint, each in list(self.evidence_by_fingerprint.items()):
            if fingerprint == guilty.fingerprint:
                continue
            # Kept also if nothing else is held against it: dropped, one that is guilty
            # as well would be counted from nothing each time.
            left = each.explained_by(guilty.ended_at_by_id.keys())
            self.evidence_by_fingerprint[fingerprint] = left

    def clear(self, fingerprint: str) -> bool:
        """Forget a request that was answered; return whether anything was known."""
        return self.evidence_by_fingerprint.pop(fingerprint, None) is not None

    def is_due(self, now: float) -> bool:
        """Tell whether `lapse` would change anything."""
        known = self.evidence_by_fingerprint.values()
        return any(_end_of(each) <= now for each in known)

    def lapse(self, now: float) -> None:
        """End quarantines whose time is up, and forget what is old."""
        for fingerprint, evidence in list(self.evidence_by_fingerprint.items()):
            if _end_of(evidence) > now:
                continue
            if evidence.until:
                self.evidence_by_fingerprint[fingerprint] = evidence.lapsed()
            else:
                del self.evidence_by_fingerprint[fingerprint]

    def ended_ids(self) -> frozenset[str]:
        """Return the starts of upstreams that are known to have ended."""
        known = self.evidence_by_fingerprint.values()
        return frozenset(name for each in known for name in each.ended_at_by_id)

    def _make_room(self) -> None:
        """Forget the request with the least against it, the oldest of these.

        Whoever sends many different requests that end upstreams cannot have one that is
        quarantined forgotten, but for three upstreams each.
        """
        if len(self.evidence_by_fingerprint) <= MAX_REQUESTS:
            return
        least = min(
            self.evidence_by_fingerprint.values(),
            # Counted with what others explain, bystanders would fill the book for good:
            # who is new has the least, and would be forgotten with each end.
            key=lambda each: (
                bool(each.until),
                len(each.unexplained()),
                len(each.ended_at_by_id),
                each.last_at,
            ),
        )
        del self.evidence_by_fingerprint[least.fingerprint]


def _bounded(ended_at_by_id: dict[str, float]) -> dict[str, float]:
    """Return the first end and the latest ones: how far they are apart is kept."""
    if len(ended_at_by_id) <= MAX_UPSTREAMS:
        return ended_at_by_id
    in_order = sorted(ended_at_by_id.items(), key=lambda each: each[1])
    return dict([in_order[0], *in_order[-(MAX_UPSTREAMS - 1) :]])


def _spread(ended_at_by_id: dict[str, float]) -> float:
    """Return the time from the first end to the last, in seconds."""
    times = ended_at_by_id.values()
    return max(times) - min(times) if times else 0.0


def _end_of(evidence: Evidence) -> float:
    """Return when something becomes of the evidence by time alone."""
    if evidence.until:
        return evidence.until
    # Kept while a trial may follow a quarantine, so that the next one is longer.
    seconds = LONGEST_SECONDS if evidence.n_quarantines else FORGOTTEN_SECONDS
    return evidence.last_at + seconds
