"""The control group's record of windows: which are closed, and which are reported.

One command closes a window and fixes its counts. These counts are what this leader and
any later one report, however often they report the window, so two reports of one window
cannot differ.
"""

from typing import Final

import attrs
import eliot

from bilberrydrum import codec
from bilberrydrum.state import machine
from bilberrydrum.usage import model

SECTION: Final = "usage"
# Maximum number of closed windows kept while the receiver accepts no reports: 2.7 hours
# of windows of 5 s. Beyond it the oldest are dropped to bound the group's memory.
MAX_PENDING: Final = 2_000


@codec.register("usage.section")
@attrs.define
class Section:
    """The complete record."""

    # All windows before this one are closed; 0: none is closed.
    closed_before: int = 0
    # Windows that are closed but not confirmed by the receiver, the oldest first.
    pending_by_window: dict[int, model.WindowCounts] = attrs.field(factory=dict)


def section_of(state: machine.State) -> Section:
    """Return the section of `state`."""
    found: Section = state.section(SECTION, Section)
    return found


@codec.register("usage.close-windows")
@attrs.frozen
class CloseWindows:
    """Close windows with these counts; a window that is already closed is unchanged."""

    windows: tuple[model.WindowCounts, ...]


@codec.register("usage.confirm-windows")
@attrs.frozen
class ConfirmWindows:
    """Record that the receiver has confirmed the reports of these windows."""

    windows: tuple[int, ...]


@codec.register("usage.noted")
@attrs.frozen
class Recorded:
    """The answer to both commands: all windows before this one are closed."""

    closed_before: int


@machine.apply.register
def _(
    command: CloseWindows, state: machine.State, context: machine.Context
) -> Recorded:
    section = section_of(state)
    for counts in command.windows:
        if counts.window < section.closed_before:
            continue
        section.closed_before = counts.window + 1
        section.pending_by_window[counts.window] = counts
    while len(section.pending_by_window) > MAX_PENDING:
        dropped = section.pending_by_window.pop(min(section.pending_by_window))
        eliot.log_message(message_type="usage:never-reported", window=dropped.window)
    return Recorded(section.closed_before)


@machine.apply.register
def _(
    command: ConfirmWindows, state: machine.State, context: machine.Context
) -> Recorded:
    section = section_of(state)
    for window in command.windows:
        section.pending_by_window.pop(window, None)
    return Recorded(section.closed_before)
