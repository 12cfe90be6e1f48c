"""Which incarnation of an upstream an announcement is from, and whether to accept it.

An upstream that restarts may keep its id, and another upstream may take over its
address. Announcements are delayed by seconds after a network partition, so those of a
crashed upstream can arrive after those of its replacement. If they were accepted,
requests would be sent to an upstream that no longer runs, and fail until the running
one announces itself again.

The decisions here depend on the log alone, so each replica makes the same ones. Whether
an unconfirmed announcement is accepted in the end depends on which upstreams announce
themselves meanwhile, which only the leader knows (see `liveness`).
"""

import enum
from collections.abc import Iterable

import attrs

from bilberrydrum import codec
from bilberrydrum.fleet import model


class Decision(enum.Enum):
    """Whether an announcement is accepted."""

    # It is the latest announcement of a running upstream.
    ACCEPTED = "taken"
    # A later announcement of the same incarnation is known, or its final departure.
    STALE = "late"
    # It is from an incarnation that another one has replaced. Most likely it was
    # delayed on its way. But the clock of its host may have gone back, or the
    # announcement of the replacement was the delayed one.
    UNCONFIRMED = "doubtful"
    # It has no start time, though the registered upstream with this id has one.
    INCOMPLETE = "incomplete"


@attrs.frozen
class Assessment:
    """A decision, and the incarnations that the announced one would replace."""

    decision: Decision
    replaced_ids: tuple[str, ...] = ()


@codec.register("fleet.former")
@attrs.frozen
class FormerIncarnation:
    """The last incarnation of an upstream that was removed from the registry."""

    started_at_ms: int | None
    # Sequence number of its last announcement in the log.
    sequence: int
    # Whether it announced its departure; otherwise it was replaced, or was silent for
    # too long.
    has_left: bool
    # When it was removed, in seconds of the log's time.
    at: float

    def is_followed_by(self, announced: model.FleetUpstream) -> bool:
        """Return whether `announced` may be newer than this one's last announcement."""
        order = compare_starts(announced.started_at_ms, self.started_at_ms)
        if order != 0:
            return True
        return not self.has_left and announced.sequence > self.sequence


def compare_starts(started: int | None, known: int | None) -> int:
    """Return 1 if `started` is the later start, 0 if it is the same, else -1.

    A missing start time counts as the earlier one, so an announcement without it never
    replaces an incarnation that has one.
    """
    if started == known:
        return 0
    if started is None:
        return -1
    return 1 if known is None or started > known else -1


def assess(
    announced: model.FleetUpstream,
    upstreams: Iterable[model.FleetUpstream],
    former: FormerIncarnation | None,
) -> Assessment:
    """Decide whether `announced` is accepted in view of the registered `upstreams`.

    Parameters
    ----------
    former : FormerIncarnation or None
        The last removed incarnation with the same id.
    """
    known, holders = None, []
    for each in upstreams:
        if each.upstream_id == announced.upstream_id:
            known = each
        elif (
            each.announced_id == announced.announced_id
            or each.address == announced.address
        ):
            holders.append(each)
    if _lacks_start(announced, holders, former):
        return Assessment(Decision.INCOMPLETE)
    if known is not None and announced.sequence < known.sequence:
        return Assessment(Decision.STALE)
    if known is None and former is not None and not former.is_followed_by(announced):
        return Assessment(Decision.STALE)
    replaced_ids = tuple(each.upstream_id for each in holders)
    if _is_earlier(announced, former) or any(
        _may_be_older(announced, each, former) for each in holders
    ):
        return Assessment(Decision.UNCONFIRMED, replaced_ids)
    return Assessment(Decision.ACCEPTED, replaced_ids)


def _lacks_start(
    announced: model.FleetUpstream,
    holders: Iterable[model.FleetUpstream],
    former: FormerIncarnation | None,
) -> bool:
    if announced.started_at_ms is not None:
        return False
    if former is not None and former.started_at_ms is not None:
        return True
    return any(
        each.announced_id == announced.announced_id and each.started_at_ms is not None
        for each in holders
    )


def _is_earlier(
    announced: model.FleetUpstream, former: FormerIncarnation | None
) -> bool:
    if former is None:
        return False
    return compare_starts(announced.started_at_ms, former.started_at_ms) < 0


def _may_be_older(
    announced: model.FleetUpstream,
    holder: model.FleetUpstream,
    former: FormerIncarnation | None,
) -> bool:
    """Return whether `announced` may be older than `holder`, which it would replace."""
    if announced.announced_id == holder.announced_id:
        return compare_starts(announced.started_at_ms, holder.started_at_ms) < 0
    if announced.started_at_ms is not None and holder.started_at_ms is not None:
        return announced.started_at_ms < holder.started_at_ms
    # Without start times to compare, an upstream that was removed earlier is older than
    # the one that has its address now.
    return former is not None and former.started_at_ms == announced.started_at_ms
