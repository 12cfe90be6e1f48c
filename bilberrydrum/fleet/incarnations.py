"""Which incarnation of an upstream an announcement speaks for, and whether to take it.

An upstream that starts again may keep its name, and its address may be taken over by
another one. Announcements are delayed by seconds when a link was cut, so the words of
an upstream that has crashed arrive after those of the one in its place. Taken at their
word they would send requests to an upstream that is gone; each of them is turned away
until the living one is heard again.

What is decided here is decided by each replica alike, from the log alone. Whether a
doubtful announcement is believed in the end depends on who is heard meanwhile, which
only the leader knows (`liveness`).
"""

import enum
from collections.abc import Iterable

import attrs

from bilberrydrum import codec
from bilberrydrum.fleet import model


class Verdict(enum.Enum):
    """What an announcement is worth."""

    # The latest word of an upstream that is there.
    TAKEN = "taken"
    # A later word of the same incarnation is known, or it has left for good.
    LATE = "late"
    # It speaks for an incarnation that another one has replaced. Most likely it was
    # held up on its way; but a clock may have gone back, or the other one is the late
    # one.
    DOUBTFUL = "doubtful"
    # It does not say when its upstream started, though the upstream of that name does.
    INCOMPLETE = "incomplete"


@attrs.frozen
class Judgement:
    """A verdict, and the incarnations in whose place the announced one would come."""

    verdict: Verdict
    holder_ids: tuple[str, ...] = ()


@codec.register("fleet.former")
@attrs.frozen
class Former:
    """The last incarnation of an upstream that is not in the registry any more."""

    started_at_ms: int | None
    # Number of its last announcement in the log.
    sequence: int
    # It said that it leaves; otherwise it was replaced, or silent for too long.
    has_left: bool
    # When it was taken out, in seconds of the log's time.
    at: float

    def is_followed_by(self, given: model.FleetUpstream) -> bool:
        """Tell whether `given` may come after this one's last word."""
        order = compare_starts(given.started_at_ms, self.started_at_ms)
        if order != 0:
            return True
        return not self.has_left and given.sequence > self.sequence


def compare_starts(given: int | None, known: int | None) -> int:
    """Return 1 if `given` is the later start, 0 if it is the same, else -1.

    A start that is not told is earlier than one that is: an announcement without it
    never takes the place of an incarnation that has it.
    """
    if given == known:
        return 0
    if given is None:
        return -1
    return 1 if known is None or given > known else -1


def judge(
    given: model.FleetUpstream,
    upstreams: Iterable[model.FleetUpstream],
    former: Former | None,
) -> Judgement:
    """Return what `given` is worth beside the registered `upstreams`.

    Parameters
    ----------
    former : Former or None
        The last incarnation of the same name that is not among `upstreams`.
    """
    known, holders = None, []
    for each in upstreams:
        if each.upstream_id == given.upstream_id:
            known = each
        elif each.announced_id == given.announced_id or each.address == given.address:
            holders.append(each)
    if _lacks_start(given, holders, former):
        return Judgement(Verdict.INCOMPLETE)
    if known is not None and given.sequence < known.sequence:
        return Judgement(Verdict.LATE)
    if known is None and former is not None and not former.is_followed_by(given):
        return Judgement(Verdict.LATE)
    holder_ids = tuple(each.upstream_id for each in holders)
    if _is_earlier(given, former) or any(
        _is_doubtful(given, each, former) for each in holders
    ):
        return Judgement(Verdict.DOUBTFUL, holder_ids)
    return Judgement(Verdict.TAKEN, holder_ids)


def _lacks_start(
    given: model.FleetUpstream,
    holders: Iterable[model.FleetUpstream],
    former: Former | None,
) -> bool:
    if given.started_at_ms is not None:
        return False
    if former is not None and former.started_at_ms is not None:
        return True
    return any(
        each.announced_id == given.announced_id and each.started_at_ms is not None
        for each in holders
    )


def _is_earlier(given: model.FleetUpstream, former: Former | None) -> bool:
    if former is None:
        return False
    return compare_starts(given.started_at_ms, former.started_at_ms) < 0


def _is_doubtful(
    given: model.FleetUpstream, holder: model.FleetUpstream, former: Former | None
) -> bool:
    """Tell whether `given` may be older than `holder`, in whose place it would come."""
    if given.announced_id == holder.announced_id:
        return compare_starts(given.started_at_ms, holder.started_at_ms) < 0
    if given.started_at_ms is not None and holder.started_at_ms is not None:
        return given.started_at_ms < holder.started_at_ms
    # Without starts to compare, who was at the address before is the older one.
    return former is not None and former.started_at_ms == given.started_at_ms
