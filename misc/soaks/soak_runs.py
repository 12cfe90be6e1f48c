"""The runs by which the soak's engines make texts, and whether a text is theirs.

Pure: engines note each run and the events that it makes. An event's data names its run,
its number and how many are due, so that a text tells by itself where it comes from.
"""

import random
from collections.abc import Iterator
from typing import Final

import attrs

# Shares of the items that are long: many events at once, or slow ones, which last for
# seconds, so that unfinished texts are kept and items are moved.
_MANY_SHARE: Final = 0.1
_SLOW_SHARE: Final = 0.15
_EVENT_SECONDS: Final = 0.015
_SLOW_EVENT_SECONDS: Final = 0.1


@attrs.frozen
class Shape:
    """What an engine is to make of an item."""

    n_events: int
    pause_seconds: float = _EVENT_SECONDS

    @classmethod
    def draw(cls, item_id: str, may_be_long: bool = True) -> "Shape":
        """Return an item's shape, the same for the same id."""
        rng = random.Random(item_id)
        point = rng.random()
        if not may_be_long or point >= _MANY_SHARE + _SLOW_SHARE:
            return cls(rng.randint(3, 20))
        if point < _MANY_SHARE:
            return cls(rng.randint(60, 90))
        return cls(rng.randint(20, 40), _SLOW_EVENT_SECONDS)

    def body(self, item_id: str) -> bytes:
        """Return the body of the item's request."""
        return f"{item_id} {self.n_events} {self.pause_seconds}".encode()

    @classmethod
    def read(cls, body: bytes) -> "Shape":
        """Return the shape that a request's body asks for."""
        _, n_events, pause_seconds = body.decode().split(" ")
        return cls(int(n_events), float(pause_seconds))


@attrs.define
class EngineRun:
    """One run of an item at an engine."""

    number: int
    item_id: str
    upstream_id: str
    # The event that it was asked to go on after; 0: to begin.
    asked_after: int
    n_due: int
    # The batch that its request was sent for, as its own mark says; empty: none.
    batch_id: str = ""
    began_at: float = 0.0
    versions_by_number: dict[int, int] = attrs.field(factory=dict)
    end: str = "left by its reader"

    def make(self, number: int, version: int) -> str:
        """Note an event that is made now; return its data."""
        self.versions_by_number[number] = version
        return event_data(self, number, version)

    def __str__(self) -> str:
        made = sorted(self.versions_by_number)
        span = f"{made[0]} to {made[-1]}" if made else "nothing"
        return (
            f"run {self.number} at {self.upstream_id} (asked to go on after "
            f"{self.asked_after}, made {span}, {self.end})"
        )


def event_data(run: EngineRun, number: int, version: int) -> str:
    """Return the data of an event of a run."""
    return f"{run.item_id}:{number}/{run.n_due}:{version}:{run.number}"


@attrs.frozen
class _Event:
    """An event as its data tells."""

    item_id: str
    number: int
    n_due: int
    version: int
    run: int

    @classmethod
    def read(cls, line: str) -> "_Event | None":
        """Return what a line of a text tells; None: it is no event's data."""
        try:
            item_id, place, version, run = line.split(":")
            number, _, n_due = place.partition("/")
            return cls(item_id, int(number), int(n_due), int(version), int(run))
        except ValueError:
            return None


class Runs:
    """All runs of a soak."""

    def __init__(self) -> None:
        self._runs: list[EngineRun] = []
        self._runs_by_item_id: dict[str, list[EngineRun]] = {}

    def begin(
        self,
        item_id: str,
        upstream_id: str,
        asked_after: int,
        n_due: int,
        batch_id: str = "",
        now: float = 0.0,
    ) -> EngineRun:
        """Note a run that begins."""
        number = len(self._runs)
        run = EngineRun(number, item_id, upstream_id, asked_after, n_due, batch_id, now)
        self._runs.append(run)
        self._runs_by_item_id.setdefault(item_id, []).append(run)
        return run

    def of(self, item_id: str) -> list[EngineRun]:
        """Return the runs of an item, the oldest first."""
        return self._runs_by_item_id.get(item_id, [])

    def faults(self, item_id: str, n_due: int, text: str) -> Iterator[str]:
        """Yield the first thing that is wrong with the order of a whole text.

        Its events are 1 to the last one due. It goes on with another run only where
        that run was asked to go on.
        """
        lines = text.split("\n") if text else []
        run: EngineRun | None = None
        for number, line in enumerate(lines, 1):
            event = _Event.read(line)
            if event is None or (event.item_id, event.number) != (item_id, number):
                yield f"event {number} is {line!r}, after one of {run}"
                return
            if not 0 <= event.run < len(self._runs):
                yield f"event {number} is {line!r}, of no run"
                return
            before, run = run, self._runs[event.run]
            if run.versions_by_number.get(number) != event.version:
                yield f"event {number} is {line!r}, which {run} did not make"
                return
            if run is not before and run.asked_after != number - 1:
                yield f"it goes on after event {number - 1} of {before} with {run}"
                return
        if len(lines) != n_due:
            yield f"it ends after event {len(lines)} of {n_due}, made by {run}"

    def made_under(self, text: str) -> set[int]:
        """Return the weight versions of a text's events."""
        events = map(_Event.read, text.split("\n") if text else [])
        return {each.version for each in events if each is not None}

    def n_joined(self, text: str) -> int:
        """Return how many runs a text is joined from."""
        events = map(_Event.read, text.split("\n") if text else [])
        return len({each.run for each in events if each is not None})
