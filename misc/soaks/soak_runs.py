"""The runs in which the soak's engines generate texts, and the check of texts by them.

Does no input or output: engines record each run and the events that it makes. The data
of an event contains its run, its number and the expected number of events, so that the
origin of each part of a text can be read from the text.
"""

import random
from collections.abc import Iterator
from typing import Final

import attrs

# Shares of the items that are long: those with many events, and those with slow events.
# Slow items last for seconds, so that incomplete texts are saved and items are moved.
_MANY_SHARE: Final = 0.1
_SLOW_SHARE: Final = 0.15
_EVENT_SECONDS: Final = 0.015
_SLOW_EVENT_SECONDS: Final = 0.1


@attrs.frozen
class Shape:
    """The number and the pace of the events that an engine is to make for an item."""

    n_events: int
    pause_seconds: float = _EVENT_SECONDS

    @classmethod
    def draw(cls, item_id: str, may_be_long: bool = True) -> "Shape":
        """Return the shape of an item; it depends only on the id."""
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
        """Read the shape from the body of an item's request."""
        _, n_events, pause_seconds = body.decode().split(" ")
        return cls(int(n_events), float(pause_seconds))


@attrs.define
class EngineRun:
    """One run of an item at an engine."""

    number: int
    item_id: str
    upstream_id: str
    # Number of the last event of the saved text that it resumes; 0 if it starts afresh.
    resume_after: int
    n_expected: int
    # The batch that its request names in `soak_ledger.BATCH_HEADER`; empty if none.
    batch_id: str = ""
    started_at: float = 0.0
    versions_by_number: dict[int, int] = attrs.field(factory=dict)
    end: str = "abandoned by its reader"

    def make_event(self, number: int, version: int) -> str:
        """Record an event as made and return its data."""
        self.versions_by_number[number] = version
        return event_data(self, number, version)

    def __str__(self) -> str:
        made = sorted(self.versions_by_number)
        span = f"{made[0]} to {made[-1]}" if made else "nothing"
        return (
            f"run {self.number} at {self.upstream_id} (asked to resume after "
            f"{self.resume_after}, made {span}, {self.end})"
        )


def event_data(run: EngineRun, number: int, version: int) -> str:
    """Return the data of an event of a run."""
    return f"{run.item_id}:{number}/{run.n_expected}:{version}:{run.number}"


@attrs.frozen
class _Event:
    """The fields in the data of an event."""

    item_id: str
    number: int
    n_expected: int
    version: int
    run: int

    @classmethod
    def read(cls, line: str) -> "_Event | None":
        """Parse a line of a text; return None if it is not the data of an event."""
        try:
            item_id, position, version, run = line.split(":")
            number, _, n_expected = position.partition("/")
            return cls(item_id, int(number), int(n_expected), int(version), int(run))
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
        resume_after: int,
        n_expected: int,
        batch_id: str = "",
        now: float = 0.0,
    ) -> EngineRun:
        """Record the start of a run and return the run."""
        number = len(self._runs)
        run = EngineRun(
            number, item_id, upstream_id, resume_after, n_expected, batch_id, now
        )
        self._runs.append(run)
        self._runs_by_item_id.setdefault(item_id, []).append(run)
        return run

    def of(self, item_id: str) -> list[EngineRun]:
        """Return the runs of an item, the oldest first."""
        return self._runs_by_item_id.get(item_id, [])

    def text_errors(self, item_id: str, n_expected: int, text: str) -> Iterator[str]:
        """Yield a description of the first error in a complete text.

        The events must be numbered from 1 to `n_expected`. The text may change from one
        run to another only at the event after which the new run was asked to resume.
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
            if run is not before and run.resume_after != number - 1:
                yield f"it changes after event {number - 1} from {before} to {run}"
                return
        if len(lines) != n_expected:
            yield f"it ends after event {len(lines)} of {n_expected}, made by {run}"

    def versions_in(self, text: str) -> set[int]:
        """Return the weight versions with which the events of a text were made."""
        events = map(_Event.read, text.split("\n") if text else [])
        return {each.version for each in events if each is not None}

    def n_runs_in(self, text: str) -> int:
        """Return the number of runs that have contributed to a text."""
        events = map(_Event.read, text.split("\n") if text else [])
        return len({each.run for each in events if each is not None})
