"""The replicated state machine: what commands do to the state.

Commands are attrs classes registered with the codec. Each part of the system defines
its commands next to their apply functions and keeps its own section of the state:
`bundles.commands`, `requests.claims_state`, `samples.commands`, `state.processes`.
`apply` is a `singledispatch` function, so a new command needs no change here. An apply
function must be deterministic: it reads only the command, the state and the context.
"""

import functools
from typing import Any

import attrs


@attrs.frozen
class Context:
    """The log entry that is being applied."""

    index: int
    # Wall clock of the leader that appended the entry, in seconds; never decreases from
    # one entry to the next.
    time: float


@attrs.define
class State:
    """All replicated state, with one section for each part of the system.

    A section is an attrs instance of a class registered with the codec; it is created
    empty when it is first requested.
    """

    sections: dict[str, Any] = attrs.field(factory=dict)

    def section(self, name: str, factory: type[Any]) -> Any:
        """Return the section `name`; create it with `factory` if there is none."""
        if name not in self.sections:
            self.sections[name] = factory()
        return self.sections[name]


@functools.singledispatch
def apply(command: object, state: State, context: Context) -> Any:
    """Apply `command` to `state` and return its answer, a registered attrs instance."""
    raise TypeError(f"no apply function for {type(command).__name__}")


@functools.singledispatch
def keep_rising(section: object, current: Any) -> None:
    """Raise the numbers in a restored `section` that must never decrease.

    Called for each section when a backup is restored. `current` is the section that is
    replaced, of the same class, or None. A class without a registered function has no
    such numbers.
    """


@functools.singledispatch
def answer(query: object, state: State, now: float) -> Any:
    """Answer `query`, a registered attrs instance, from `state` without changing it."""
    raise TypeError(f"no answer function for {type(query).__name__}")
