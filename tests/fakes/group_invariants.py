"""The invariants of a state group, checked after each step.

The state under test is a version in force that each command increments by one.
"""

from collections.abc import Iterable

import attrs

from bilberrydrum import codec
from bilberrydrum.state import events, log, machine, node


@codec.register("test.roll")
@attrs.frozen
class Roll:
    """Increment the version in force by one."""

    client_id: str
    number: int


@codec.register("test.rolled")
@attrs.frozen
class Rolled:
    version: int


@codec.register("test.versions")
@attrs.define
class Versions:
    version: int = 0
    # How often each command took effect, by client and number.
    n_effects: dict[str, int] = attrs.field(factory=dict)


@machine.apply.register
def _apply_roll(
    command: Roll, state: machine.State, context: machine.Context
) -> Rolled:
    section: Versions = state.section("test.versions", Versions)
    section.version += 1
    key = f"{command.client_id}/{command.number}"
    section.n_effects[key] = section.n_effects.get(key, 0) + 1
    return Rolled(section.version)


class Invariants:
    """Records what was observed, and raises AssertionError on a contradiction."""

    def __init__(self) -> None:
        self.n_commits = 0
        self._leaders_by_term: dict[int, str] = {}
        self._written: dict[tuple[int, int], tuple[int | None, bytes]] = {}
        self._committed: dict[int, tuple[int, bytes]] = {}
        self._answered_version = 0
        self._read_version = 0

    @property
    def n_elections(self) -> int:
        return len(self._leaders_by_term)

    def check_leaders(self, leading: Iterable[node.Node]) -> None:
        for state in leading:
            known = self._leaders_by_term.setdefault(state.term, state.replica_id)
            assert known == state.replica_id, f"two leaders in term {state.term}"

    def check_written(self, written_to: log.Log, effect: events.Write) -> None:
        """Two logs with an entry of one index and term match up to that entry."""
        for entry in effect.entries:
            before = written_to.term_at(entry.index - 1)
            key = (entry.index, entry.term)
            known = self._written.setdefault(key, (before, entry.data))
            assert known == (before, entry.data), f"logs differ at {entry.index}"

    def check_committed(self, entry: log.Entry) -> None:
        """A committed entry is the same on every replica and never changes."""
        known = self._committed.setdefault(entry.index, (entry.term, entry.data))
        assert known == (entry.term, entry.data), f"entry {entry.index} was replaced"
        self.n_commits = max(self.n_commits, entry.index)

    def check_effects(self, state: machine.State) -> None:
        section = state.sections.get("test.versions")
        if section is not None and section.n_effects:
            most = max(section.n_effects.values())
            assert most == 1, "a command took effect twice"

    def check_answer(self, first: int, version: int) -> None:
        assert first == version, "a command has two answers"
        self._answered_version = max(self._answered_version, version)

    def check_read(self, state: machine.State) -> None:
        """A read under a lease sees all answered commands, and never goes back."""
        section = state.sections.get("test.versions", Versions())
        assert section.version >= self._answered_version, "a read is out of date"
        assert section.version >= self._read_version, "the version in force fell"
        self._read_version = section.version
